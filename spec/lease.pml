/*
 * Term, lease and placement: one task, a backend server A that holds its first
 * attempt, another server B, a leader of term 1 that may be deposed without
 * noticing, and its successor of term 2.
 *
 * Promise: the task never runs on both servers at once, and a task that may not
 * be repeated starts at most once.
 *
 * Times are kept as ages and as what is left, each up to where it stops to
 * matter, so that the model covers runs of any length. What a watchdog does at
 * an instant happens together with the tick that leads to it. Each MUTATE_ name
 * takes one guard away; spec/check shows that the promise then breaks.
 */

#define L 2                 /* length of a lease, in ticks */
#define MARGIN 1            /* what the slowest permitted clock loses over a lease */
#define LONG (L + MARGIN)   /* ages stop here */
#define PATIENCE 1          /* how long a leader may hold a request back */

#define A 0
#define B 1

/* What server A reports of attempt 1. */
#define ABSENT 0
#define HELD 1
#define ENDED 2
#define DECLINED 3

/*
 * The guards, each with what takes it away.
 */

/* A leader takes attempt 1 for over only when its server says so, not when a
 * sync does not show it: its order may still arrive. */
#ifdef MUTATE_TRUST_ABSENCE
#define reportedOver (report != HELD)
#else
#define reportedOver (report == ENDED || report == DECLINED)
#endif

/* What may not be repeated is placed again only if it was never started. */
#ifdef MUTATE_REPEAT
#define mayRepeat(r) true
#else
#define mayRepeat(r) (!once || r == DECLINED || r == ABSENT)
#endif

/* The time granted ends with the lease that began with the round. Age is that of
 * the round, held how long ago the request came in. */
#ifdef MUTATE_GRANT_FROM_SEND
#define reach(age) L
#else
#define reach(age) (L + held - age)
#endif

/* It is never longer than a lease, also from a round that began after the request
 * came in: the margin covers what a clock loses over one lease. */
#ifdef MUTATE_GRANT_BEYOND
#define span(age) reach(age)
#else
#define span(age) (reach(age) > L -> L : reach(age))
#endif

/* A leader notes what it grants from before the answer leaves. */
#ifdef MUTATE_NOT_NOTED
#define notes(t0) false
#else
#define notes(t0) (t0 < used)
#endif

/* A placement counts when a quorum has it. */
#ifdef MUTATE_UNCOMMITTED
#define mayCommit true
#else
#define mayCommit (!candidate)
#endif

/* A server drops an answer to a request that it gave up. */
#ifdef MUTATE_LATE_ORDER
#define dropsLate false
#else
#define dropsLate true
#endif

/* A server drops an attempt that it has seen. */
#ifdef MUTATE_FORGET_SEEN
#define fresh1 (runs == 0)
#else
#define fresh1 (!seen1)
#endif

/* A server looks at its lease before it starts anything. */
#ifdef MUTATE_START_EXPIRED
#define mayStart true
#else
#define mayStart (left > 0)
#endif

/* A server looks at its lease before it goes on after a pause. */
#ifdef MUTATE_RESUME_BLIND
#define look() skip
#else
#define look() watchdog()
#endif

/* A replica confirms no round of a term that it has left. */
#ifdef MUTATE_CONFIRM_OLD_TERM
#define confirms true
#else
#define confirms (!voted || !candidate)
#endif

/* The sitting leader waits from the newest round that it granted from. */
#ifdef MUTATE_NO_SITTING_WAIT
#define waitedFirst true
#else
#define waitedFirst (used == LONG)
#endif

/* The wait covers the drift of clocks. */
#ifdef MUTATE_NO_MARGIN
#define WAIT L
#else
#define WAIT LONG
#endif

/* A new leader waits from its own election, and from its own grants. */
#ifdef MUTATE_NO_WAIT
#define waitedElection true
#else
#define waitedElection (elected1 >= WAIT)
#endif
#define waitedSecond (waitedElection && granted >= WAIT)

bool once;                  /* the task may not be repeated */
byte slow;                  /* what the clock of server A loses over a lease */
byte starts;

/* The replicas besides the leader of term 1: one votes, one becomes leader. */
bool voted;                 /* the voter has given its vote in term 2 */
bool candidate;             /* the other has gone to term 2 */
bool elected;
byte elected1;              /* age of the election */

/* The leader of term 1. */
byte confirmed;             /* age of its newest confirmed round */
byte round;                 /* age of the round under way */
bool asked;                 /* a round is under way */
bool acked;                 /* a replica has confirmed it; the leader may not know yet */
byte used;                  /* age of the newest round used for a grant to A */
byte attempt1 = 1;          /* the attempt and its server, as it knows them */
bit place1 = A;
bool stopping1;             /* it wants attempt 1 stopped */

/* The leader of term 2, and the committed ledger, which it begins with. */
byte granted = LONG;        /* age of its newest grant to A */
byte attempt = 1;
bit place = A;
bool stopping2;

/* Server A. */
byte left;                  /* time until its watchdog stops what runs */
byte sent;                  /* age of its newest sync request */
bool waiting;               /* for the answer to it */
byte runs;                  /* attempt that runs; 0 for none */
bool seen1, seen2;          /* attempts whose orders it has seen */
bool began1;
bool paused;

/* Server B. What it runs, it runs for good: the worst that it can do. */
bool other;

/* The network: the newest request of A, the answer to it, and an answer to a
 * request that A gave up. */
bool asks;
byte report;
byte held;                  /* how long ago the leader that answers received it */
bool answers, late;
byte grant, lateGrant;
byte order, lateOrder;
bool stop, lateStop;

#define executes (runs > 0 && !paused)
#define check() assert(!(executes && other)); assert(!(once && starts > 1))

inline older(age, most) {
  if
  :: age < most -> age++
  :: else
  fi
}

inline watchdog() {
  if
  :: !paused && left == 0 -> runs = 0
  :: else
  fi
}

inline tick() {
  older(confirmed, L + PATIENCE);
  if
  :: asked -> older(round, L + PATIENCE)
  :: else
  fi;
  older(used, LONG);
  older(granted, LONG);
  if
  :: elected -> older(elected1, LONG)
  :: else
  fi;
  older(sent, LONG);
  if
  :: left > 0 -> left--
  :: else
  fi;
  watchdog()
}

/* A sends a cumulative sync; it gives up the request before. */
inline sendSync() {
  if
  :: answers -> late = true; lateGrant = grant; lateOrder = order; lateStop = stop; loseAnswer()
  :: true -> loseAnswer()
  fi;
  if
  :: runs == 1 -> report = HELD
  :: runs != 1 && seen1 && began1 -> report = ENDED
  :: runs != 1 && seen1 && !began1 -> report = DECLINED
  :: else -> report = ABSENT
  fi;
  sent = 0;
  waiting = true;
  asks = true
}

inline loseAnswer() {
  answers = false; grant = 0; order = 0; stop = false
}

inline loseLate() {
  late = false; lateGrant = 0; lateOrder = 0; lateStop = false
}

/* The answer may come some time after the request. */
inline holdBack() {
  if
  :: held = 0
  :: sent >= PATIENCE -> held = PATIENCE
  fi
}

/* The leader of term 1 answers, deposed or not. */
inline answerFirst() {
  holdBack();
  if
  :: attempt1 == 1 && reportedOver && mayRepeat(report) -> commitFirst()
  :: true
  fi;
  if
  :: confirmed < L + held ->
    if
    :: notes(confirmed) -> used = confirmed
    :: else
    fi;
    answers = true;
    grant = span(confirmed);
    order = (place1 == A && !(stopping1 && attempt1 == 1) -> attempt1 : 0);
    stop = stopping1
  :: else
  fi;
  asks = false;
  report = 0;
  held = 0
}

/* The leader of term 1 places the second attempt. */
inline commitFirst() {
  if
  :: mayCommit ->
    attempt1 = 2;
    choose(place1);
    if
    :: !candidate -> attempt = 2; place = place1
    :: else
    fi
  :: else
  fi
}

inline choose(place) {
  if
  :: place = A
  :: place = B
  fi
}

/* The leader of term 2 answers. Its rounds are as fresh as can be. */
inline answerSecond() {
  holdBack();
  if
  :: attempt == 1 && reportedOver && mayRepeat(report) -> attempt = 2; choose(place)
  :: true
  fi;
  granted = 0;
  answers = true;
  grant = span(0);
  order = (place == A && !(stopping2 && attempt == 1) -> attempt : 0);
  stop = stopping2;
  asks = false;
  report = 0;
  held = 0
}

/* What a slow clock loses grows with what it measures. */
#define lost(g) (g > L -> 2 * slow : slow)

/* A takes an answer. It counts the time granted from when it sent the request. */
inline takeAnswer(g, o, s) {
  waiting = false;
  if
  :: g + lost(g) > sent && g + lost(g) - sent > left -> left = g + lost(g) - sent
  :: else
  fi;
  if
  :: s -> stopFirst()
  :: else
  fi;
  start(o)
}

/* A stops attempt 1, and drops its order if that is still to come. */
inline stopFirst() {
  seen1 = true;
  if
  :: runs == 1 -> runs = 0
  :: else
  fi
}

/* A starts an attempt. */
inline start(o) {
  if
  :: o == 1 && fresh1 && mayStart -> assert(runs == 0); runs = 1; seen1 = true; began1 = true; count()
  :: o == 2 && !seen2 && mayStart -> assert(runs == 0); runs = 2; seen2 = true; count()
  :: else
  fi
}

inline count() {
  if
  :: starts < 2 -> starts++
  :: else
  fi;
  check()
}

active proctype System() {
  atomic {
    if
    :: once = true
    :: once = false
    fi;
    if
    :: slow = 0
    :: slow = MARGIN
    fi
  }
  do
  :: atomic { true -> tick() }

  /* Rounds of term 1. */
  :: atomic { !asked || round > 0 -> asked = true; acked = false; round = 0 }
  :: atomic { asked && !acked && confirms -> acked = true }
  :: atomic { acked -> confirmed = round; asked = false; acked = false; round = 0 }

  /* The election of term 2. */
  :: atomic { !candidate -> candidate = true }
  :: atomic { candidate && !voted -> voted = true }
  :: atomic { voted && !elected -> elected = true }

  /* The leader of term 1 wants attempt 1 stopped, or gives its server up. */
  :: atomic { !stopping1 && attempt1 == 1 -> stopping1 = true }
  :: atomic { attempt1 == 1 && mayRepeat(ENDED) && waitedFirst && mayCommit -> commitFirst() }

  /* So does the leader of term 2. */
  :: atomic { elected && !stopping2 && attempt == 1 -> stopping2 = true }
  :: atomic { elected && attempt == 1 && mayRepeat(ENDED) && waitedSecond -> attempt = 2; choose(place) }

  /* Syncs of A. Any message may be lost or late. */
  :: atomic { !paused -> sendSync() }
  :: atomic { asks -> answerFirst() }
  :: atomic { asks && elected -> answerSecond() }
  :: atomic { answers && waiting && !paused -> takeAnswer(grant, order, stop); loseAnswer() }
  :: atomic { late && !paused && dropsLate -> loseLate() }
  :: atomic { late && !paused && !dropsLate -> takeAnswer(lateGrant, lateOrder, lateStop); loseLate() }

  /* An order reaches B. */
  :: atomic { !other && (attempt1 == 2 && place1 == B || elected && attempt == 2 && place == B) ->
      other = true; count() }

  /* The task ends by itself on A. */
  :: atomic { executes -> runs = 0 }

  /* A is paused as a whole, and goes on. */
  :: atomic { !paused -> paused = true }
  :: atomic { paused -> paused = false; look(); check() }
  od
}
