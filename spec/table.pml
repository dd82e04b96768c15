/*
 * Table and revision: two operators with one change each, sent any number of
 * times to a leader of term 1 that may be deposed without noticing and to its
 * successor of term 2, which may restart; and an entry that serves the table.
 *
 * Promise: of changes with equal base revisions one wins; every resend gets the
 * first answer; what was answered or shown never reverts. Each MUTATE_ name
 * takes one guard away; spec/check shows that the promise then breaks.
 */

#define NONE 0
/* 1 and 2: accepted as that revision. */
#define CONFLICT 3
#define accepted(o) (o == 1 || o == 2)

/* A change is compared with the current revision. */
#ifdef MUTATE_EQUAL_BASE
#define fits(rev, op) true
#else
#define fits(rev, op) (base[op] == rev)
#endif

/* The outcome of a change is kept with its id, and looked up first. */
#ifdef MUTATE_REPEAT_CHANGE
#define known(o) false
#else
#define known(o) (o != NONE)
#endif

/* Outcomes outlast snapshot, restart and failover, as the table does. */
#ifdef MUTATE_FORGET_CHANGE
#define kept(o) NONE
#else
#define kept(o) o
#endif

/* An answer leaves when a quorum has what it tells. */
#ifdef MUTATE_ANSWER_EARLY
#define mayTell(v) work[v]
#else
#define mayTell(v) sure[v]
#endif

/* A leader spreads a table when a quorum has it. */
#ifdef MUTATE_SPREAD_EARLY
#define maySpread(v) work[v]
#else
#define maySpread(v) sure[v]
#endif

/* A replica that voted in term 2 takes nothing from term 1. */
#ifdef MUTATE_APPEND_OLD_TERM
#define mayAppend true
#else
#define mayAppend (!voted)
#endif

/* An entry takes a table only if it is newer than what it serves. */
#ifdef MUTATE_OLD_TABLE
#define newer(rev) true
#else
#define newer(rev) (rev > shown)
#endif

typedef Ledger {
  byte rev;
  byte out[2]   /* outcome per operator's change */
}

Ledger work[2];     /* what each leader has decided */
Ledger sure[2];     /* what each knows that a quorum has */
Ledger log;         /* what the voter between the two leaders has synced */
Ledger won;         /* what it had when it voted; the new leader has as much */

bool voted, elected;
byte base[2];
bool sent[2];
byte got[2];        /* first answer per operator */
byte shown;         /* revision that the entry serves */
byte owner;         /* operator whose change made it, and one; 0 for none */
byte l, o;          /* leader, operator */

/* What a quorum has for good. */
#define lasting(f) (elected -> sure[1].f : (voted -> won.f : log.f))

inline copy(to, from) {
  to.rev = from.rev; to.out[0] = from.out[0]; to.out[1] = from.out[1]
}

/* Leader l takes the change of operator o. */
inline decide() {
  if
  :: known(work[l].out[o]) -> skip
  :: !known(work[l].out[o]) && fits(work[l].rev, o) && work[l].rev < 2 ->
    work[l].rev++;
    work[l].out[o] = work[l].rev
  :: else -> work[l].out[o] = CONFLICT
  fi
}

/* Operator o gets an answer of leader l. */
inline tell() {
  assert(got[o] == NONE || got[o] == mayTell(l).out[o]);
  got[o] = mayTell(l).out[o];
  check()
}

/* The entry gets the table of leader l, which may be late. */
inline spread() {
  if
  :: newer(maySpread(l).rev) ->
    assert(maySpread(l).rev >= shown);
    shown = maySpread(l).rev;
    owner = 0;
    if
    :: shown > 0 && maySpread(l).out[0] == shown -> owner = 1
    :: shown > 0 && maySpread(l).out[1] == shown -> owner = 2
    :: else
    fi;
    check()
  :: else
  fi
}

inline check() {
  assert(!accepted(got[0]) || lasting(out[0]) == got[0]);
  assert(!accepted(got[1]) || lasting(out[1]) == got[1]);
  assert(!(accepted(got[0]) && accepted(got[1]) && base[0] == base[1]));
  assert(shown <= lasting(rev));
  assert(owner != 1 || shown > lasting(rev) || lasting(out[0]) == shown);
  assert(owner != 2 || shown > lasting(rev) || lasting(out[1]) == shown)
}

/* The leader of term 2 goes on from what is lasting. */
inline restart() {
  sure[1].out[0] = kept(sure[1].out[0]);
  sure[1].out[1] = kept(sure[1].out[1]);
  copy(work[1], sure[1])
}

inline choose(v) {
  if
  :: v = 0
  :: v = 1
  fi
}

active proctype System() {
  do
  /* An operator reads the table at the entry, and sends and resends a change. */
  :: atomic { choose(o); if :: !sent[o] -> sent[o] = true; base[o] = shown :: else fi; o = 0 }
  :: atomic { choose(o); if :: sent[o] -> l = 0; decide() :: else fi; l = 0; o = 0 }
  :: atomic { elected -> choose(o); if :: sent[o] -> l = 1; decide() :: else fi; l = 0; o = 0 }

  /* The log of term 1 reaches the voter; its leader learns that later. */
  :: atomic { mayAppend -> copy(log, work[0]) }
  :: atomic { true -> copy(sure[0], log) }

  /* Term 2. */
  :: atomic { !voted -> voted = true; copy(won, log) }
  :: atomic { voted && !elected -> elected = true; copy(sure[1], won); restart(); check() }
  :: atomic { elected -> copy(sure[1], work[1]) }
  :: atomic { elected -> restart(); check() }

  /* Answers and tables. */
  :: atomic { choose(o); if :: mayTell(0).out[o] != NONE -> l = 0; tell() :: else fi; l = 0; o = 0 }
  :: atomic { elected -> choose(o); if :: mayTell(1).out[o] != NONE -> l = 1; tell() :: else fi; l = 0; o = 0 }
  :: atomic { l = 0; spread() }
  :: atomic { elected -> l = 1; spread(); l = 0 }
  od
}
