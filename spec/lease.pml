/*
 * Model of terms, leases and placement: one task, a backend server A with its first
 * attempt, a second server B, a leader of term 1 that may be deposed without noticing,
 * and its successor of term 2.
 *
 * Invariant: the task never runs on both servers at the same time, and a task that must
 * not be repeated starts at most once.
 *
 * Times are stored as ages and as remaining times, each limited to the range that
 * matters, so that the model covers runs of any length. A lease timer fires in the same
 * step as the clock tick at which it is due. Each MUTATE_ name removes one guard.
 * spec/check shows that the invariant is then violated.
 */

#define LEASE 2                    /* length of a lease, in clock ticks */
#define MARGIN 1                   /* ticks that the slowest permitted clock loses over a lease */
#define AGE_LIMIT (LEASE + MARGIN) /* ages do not grow beyond this */
#define MAX_HOLD 1                 /* longest time that a leader holds a request open, in ticks */

#define A 0
#define B 1

/* The phase of attempt 1 that server A reports. */
#define ABSENT 0
#define RUNNING 1
#define ENDED 2
#define DECLINED 3

/*
 * The guards, each with the mutation that removes it.
 */

/* A leader treats attempt 1 as ended only if its server reports the end. A sync request
 * without the attempt is not enough, because the order may still arrive. */
#ifdef MUTATE_TRUST_ABSENCE
#define reportedEnded (reportedPhase != RUNNING)
#else
#define reportedEnded (reportedPhase == ENDED || reportedPhase == DECLINED)
#endif

/* A task that must not be repeated is placed again only if it was never started. */
#ifdef MUTATE_REPEAT
#define mayRepeat(r) true
#else
#define mayRepeat(r) (!notRepeatable || r == DECLINED || r == ABSENT)
#endif

/* A granted lease ends with the lease that began with the heartbeat round. The parameter
 * age is the age of the round, and holdTime is the time since the request arrived. */
#ifdef MUTATE_GRANT_FROM_SEND
#define leaseFromRound(age) LEASE
#else
#define leaseFromRound(age) (LEASE + holdTime - age)
#endif

/* A grant is never longer than one lease, even if the round began after the request
 * arrived, because the margin covers only the loss of a clock over one lease. */
#ifdef MUTATE_GRANT_BEYOND
#define grantFromRound(age) leaseFromRound(age)
#else
#define grantFromRound(age) (leaseFromRound(age) > LEASE -> LEASE : leaseFromRound(age))
#endif

/* A leader records the round of a grant before it sends the reply. */
#ifdef MUTATE_NOT_NOTED
#define recordsRound(t0) false
#else
#define recordsRound(t0) (t0 < usedRoundAge)
#endif

/* A placement takes effect only when a quorum has stored it. */
#ifdef MUTATE_UNCOMMITTED
#define mayCommit true
#else
#define mayCommit (!candidate)
#endif

/* A server drops a reply to a request that it abandoned. */
#ifdef MUTATE_LATE_ORDER
#define dropsLateReplies false
#else
#define dropsLateReplies true
#endif

/* A server ignores an order for an attempt that it has already seen. */
#ifdef MUTATE_FORGET_SEEN
#define startable1 (runningAttempt == 0)
#else
#define startable1 (!seen1)
#endif

/* A server checks its lease before it starts an attempt. */
#ifdef MUTATE_START_EXPIRED
#define mayStart true
#else
#define mayStart (leaseLeft > 0)
#endif

/* A server checks its lease before it continues after a pause. */
#ifdef MUTATE_RESUME_BLIND
#define checkLeaseOnResume() skip
#else
#define checkLeaseOnResume() stopIfLeaseExpired()
#endif

/* A replica does not confirm a round of a term older than its current term. */
#ifdef MUTATE_CONFIRM_OLD_TERM
#define confirms true
#else
#define confirms (!voted || !candidate)
#endif

/* The current leader waits from the newest round that it used for a grant. */
#ifdef MUTATE_NO_SITTING_WAIT
#define waited1 true
#else
#define waited1 (usedRoundAge == AGE_LIMIT)
#endif

/* The wait includes the margin for clock drift. */
#ifdef MUTATE_NO_MARGIN
#define LEASE_WAIT LEASE
#else
#define LEASE_WAIT AGE_LIMIT
#endif

/* A new leader waits from its election and from its newest grant. */
#ifdef MUTATE_NO_WAIT
#define waitedElection true
#else
#define waitedElection (electionAge >= LEASE_WAIT)
#endif
#define waited2 (waitedElection && grantAge >= LEASE_WAIT)

bool notRepeatable; /* the task must not be repeated */
byte clockLoss;     /* ticks that the clock of server A loses over a lease */
byte starts;

/* The two other replicas: a voter, and the candidate that becomes leader of term 2. */
bool voted;     /* the voter has voted in term 2 */
bool candidate; /* the candidate has entered term 2 */
bool elected;
byte electionAge; /* age of the election */

/* The leader of term 1. */
byte confirmedRoundAge; /* age of its newest confirmed round */
byte openRoundAge;      /* age of the round in progress */
bool roundOpen;         /* a round is in progress */
bool roundAcked;        /* a replica has confirmed it; the leader may not know yet */
byte usedRoundAge;      /* age of the newest round used for a grant to A */
byte attempt1 = 1;      /* the attempt and its server in the leader's state */
bit place1 = A;
bool stopping1; /* the leader wants attempt 1 stopped */

/* The leader of term 2, and the committed ledger that it starts from. */
byte grantAge = AGE_LIMIT; /* age of its newest grant to A */
byte attempt = 1;
bit place = A;
bool stopping2;

/* Server A. */
byte leaseLeft;      /* time until its lease timer stops the running attempt */
byte requestAge;     /* age of its newest sync request */
bool awaitsReply;    /* waits for the reply to that request */
byte runningAttempt; /* the running attempt; 0 for none */
bool seen1, seen2;   /* attempts for which it has received orders */
bool started1;
bool paused;

/* Server B. It never stops the task, which is the worst case. */
bool runsOnB;

/* The network: the newest request of A, the reply to it, and a late reply to a request
 * that A abandoned. */
bool requestInFlight;
byte reportedPhase;
byte holdTime; /* time since the replying leader received the request */
bool replyInFlight, lateReplyInFlight;
byte replyGrant, lateGrant;
byte replyOrder, lateOrder;
bool replyStop, lateStop;

#define executesOnA (runningAttempt > 0 && !paused)
#define checkInvariant() assert(!(executesOnA && runsOnB)); assert(!(notRepeatable && starts > 1))

inline increaseAge(age, limit) {
  if
  :: age < limit -> age++
  :: else
  fi
}

inline stopIfLeaseExpired() {
  if
  :: !paused && leaseLeft == 0 -> runningAttempt = 0
  :: else
  fi
}

inline advanceTime() {
  increaseAge(confirmedRoundAge, LEASE + MAX_HOLD);
  if
  :: roundOpen -> increaseAge(openRoundAge, LEASE + MAX_HOLD)
  :: else
  fi;
  increaseAge(usedRoundAge, AGE_LIMIT);
  increaseAge(grantAge, AGE_LIMIT);
  if
  :: elected -> increaseAge(electionAge, AGE_LIMIT)
  :: else
  fi;
  increaseAge(requestAge, AGE_LIMIT);
  if
  :: leaseLeft > 0 -> leaseLeft--
  :: else
  fi;
  stopIfLeaseExpired()
}

/* A sends a cumulative sync request and abandons the previous one. */
inline sendSync() {
  if
  :: replyInFlight -> lateReplyInFlight = true; lateGrant = replyGrant; lateOrder = replyOrder; lateStop = replyStop; dropReply()
  :: true -> dropReply()
  fi;
  if
  :: runningAttempt == 1 -> reportedPhase = RUNNING
  :: runningAttempt != 1 && seen1 && started1 -> reportedPhase = ENDED
  :: runningAttempt != 1 && seen1 && !started1 -> reportedPhase = DECLINED
  :: else -> reportedPhase = ABSENT
  fi;
  requestAge = 0;
  awaitsReply = true;
  requestInFlight = true
}

inline dropReply() {
  replyInFlight = false; replyGrant = 0; replyOrder = 0; replyStop = false
}

inline dropLateReply() {
  lateReplyInFlight = false; lateGrant = 0; lateOrder = 0; lateStop = false
}

/* The leader may hold the request open before it replies. */
inline chooseHoldTime() {
  if
  :: holdTime = 0
  :: requestAge >= MAX_HOLD -> holdTime = MAX_HOLD
  fi
}

/* The leader of term 1 replies, whether or not it is deposed. */
inline replyFromTerm1() {
  chooseHoldTime();
  if
  :: attempt1 == 1 && reportedEnded && mayRepeat(reportedPhase) -> placeSecondAttempt()
  :: true
  fi;
  if
  :: confirmedRoundAge < LEASE + holdTime ->
    if
    :: recordsRound(confirmedRoundAge) -> usedRoundAge = confirmedRoundAge
    :: else
    fi;
    replyInFlight = true;
    replyGrant = grantFromRound(confirmedRoundAge);
    replyOrder = (place1 == A && !(stopping1 && attempt1 == 1) -> attempt1 : 0);
    replyStop = stopping1
  :: else
  fi;
  requestInFlight = false;
  reportedPhase = 0;
  holdTime = 0
}

/* The leader of term 1 places the second attempt. */
inline placeSecondAttempt() {
  if
  :: mayCommit ->
    attempt1 = 2;
    chooseServer(place1);
    if
    :: !candidate -> attempt = 2; place = place1
    :: else
    fi
  :: else
  fi
}

inline chooseServer(place) {
  if
  :: place = A
  :: place = B
  fi
}

/* The leader of term 2 replies. Its newest round always has age 0. */
inline replyFromTerm2() {
  chooseHoldTime();
  if
  :: attempt == 1 && reportedEnded && mayRepeat(reportedPhase) -> attempt = 2; chooseServer(place)
  :: true
  fi;
  grantAge = 0;
  replyInFlight = true;
  replyGrant = grantFromRound(0);
  replyOrder = (place == A && !(stopping2 && attempt == 1) -> attempt : 0);
  replyStop = stopping2;
  requestInFlight = false;
  reportedPhase = 0;
  holdTime = 0
}

/* The loss of a slow clock grows with the measured time. */
#define lossOver(g) (g > LEASE -> 2 * clockLoss : clockLoss)

/* A receives a reply. The granted lease starts when A sent the request. */
inline receiveReply(g, o, s) {
  awaitsReply = false;
  if
  :: g + lossOver(g) > requestAge && g + lossOver(g) - requestAge > leaseLeft -> leaseLeft = g + lossOver(g) - requestAge
  :: else
  fi;
  if
  :: s -> stopAttempt1()
  :: else
  fi;
  startAttempt(o)
}

/* A stops attempt 1, and ignores the order for it if that arrives later. */
inline stopAttempt1() {
  seen1 = true;
  if
  :: runningAttempt == 1 -> runningAttempt = 0
  :: else
  fi
}

/* A starts an attempt. */
inline startAttempt(o) {
  if
  :: o == 1 && startable1 && mayStart -> assert(runningAttempt == 0); runningAttempt = 1; seen1 = true; started1 = true; countStart()
  :: o == 2 && !seen2 && mayStart -> assert(runningAttempt == 0); runningAttempt = 2; seen2 = true; countStart()
  :: else
  fi
}

inline countStart() {
  if
  :: starts < 2 -> starts++
  :: else
  fi;
  checkInvariant()
}

active proctype System() {
  atomic {
    if
    :: notRepeatable = true
    :: notRepeatable = false
    fi;
    if
    :: clockLoss = 0
    :: clockLoss = MARGIN
    fi
  }
  do
  :: atomic { true -> advanceTime() }

  /* Heartbeat rounds of term 1. */
  :: atomic { !roundOpen || openRoundAge > 0 -> roundOpen = true; roundAcked = false; openRoundAge = 0 }
  :: atomic { roundOpen && !roundAcked && confirms -> roundAcked = true }
  :: atomic { roundAcked -> confirmedRoundAge = openRoundAge; roundOpen = false; roundAcked = false; openRoundAge = 0 }

  /* The election of term 2. */
  :: atomic { !candidate -> candidate = true }
  :: atomic { candidate && !voted -> voted = true }
  :: atomic { voted && !elected -> elected = true }

  /* The leader of term 1 wants attempt 1 stopped, or treats its server as failed. */
  :: atomic { !stopping1 && attempt1 == 1 -> stopping1 = true }
  :: atomic { attempt1 == 1 && mayRepeat(ENDED) && waited1 && mayCommit -> placeSecondAttempt() }

  /* The leader of term 2 does the same. */
  :: atomic { elected && !stopping2 && attempt == 1 -> stopping2 = true }
  :: atomic { elected && attempt == 1 && mayRepeat(ENDED) && waited2 -> attempt = 2; chooseServer(place) }

  /* Sync requests of A. Any message may be lost or late. */
  :: atomic { !paused -> sendSync() }
  :: atomic { requestInFlight -> replyFromTerm1() }
  :: atomic { requestInFlight && elected -> replyFromTerm2() }
  :: atomic { replyInFlight && awaitsReply && !paused -> receiveReply(replyGrant, replyOrder, replyStop); dropReply() }
  :: atomic { lateReplyInFlight && !paused && dropsLateReplies -> dropLateReply() }
  :: atomic { lateReplyInFlight && !paused && !dropsLateReplies -> receiveReply(lateGrant, lateOrder, lateStop); dropLateReply() }

  /* An order reaches B. */
  :: atomic { !runsOnB && (attempt1 == 2 && place1 == B || elected && attempt == 2 && place == B) ->
      runsOnB = true; countStart() }

  /* The task finishes on A. */
  :: atomic { executesOnA -> runningAttempt = 0 }

  /* The whole process of A is paused and later resumed. */
  :: atomic { !paused -> paused = true }
  :: atomic { paused -> paused = false; checkLeaseOnResume(); checkInvariant() }
  od
}
