/*
 * Model of the team table and its revisions. Two operators have one change each and send
 * it any number of times, to a leader of term 1 that may be deposed without noticing and
 * to its successor of term 2, which may restart. An entry serves the table.
 *
 * Invariants: of two changes with the same base revision, only one is accepted. Every
 * retry of a change gets the first answer. Answered changes and served revisions never
 * revert. Each MUTATE_ name removes one guard. spec/check shows that an invariant is then
 * violated.
 */

#define NONE 0
/* Outcomes 1 and 2: the change was accepted and created that revision. */
#define CONFLICT 3
#define accepted(result) (result == 1 || result == 2)

/* A change is accepted only if its base is the current revision. */
#ifdef MUTATE_EQUAL_BASE
#define baseMatches(revision, author) true
#else
#define baseMatches(revision, author) (base[author] == revision)
#endif

/* The outcome of a change is stored by the ID of the change and looked up first. */
#ifdef MUTATE_REPEAT_CHANGE
#define hasOutcome(result) false
#else
#define hasOutcome(result) (result != NONE)
#endif

/* Like the table, outcomes survive snapshots, restarts and failovers. */
#ifdef MUTATE_FORGET_CHANGE
#define outcomeAfterRestart(result) NONE
#else
#define outcomeAfterRestart(result) result
#endif

/* A leader answers only when a quorum has stored the outcome. */
#ifdef MUTATE_ANSWER_EARLY
#define answerState(leader) decided[leader]
#else
#define answerState(leader) committed[leader]
#endif

/* A leader sends a table to entries only when a quorum has stored it. */
#ifdef MUTATE_SPREAD_EARLY
#define servedState(leader) decided[leader]
#else
#define servedState(leader) committed[leader]
#endif

/* A replica that voted in term 2 accepts no log entries of term 1. */
#ifdef MUTATE_APPEND_OLD_TERM
#define mayAppend true
#else
#define mayAppend (!voted)
#endif

/* An entry accepts a table only if it is newer than the one that it serves. */
#ifdef MUTATE_OLD_TABLE
#define acceptsTable(revision) true
#else
#define acceptsTable(revision) (revision > servedRevision)
#endif

typedef Ledger {
  byte revision;
  byte outcome[2] /* outcome of each operator's change */
}

Ledger decided[2];   /* ledger with all decisions, per leader */
Ledger committed[2]; /* ledger known to be stored by a quorum, per leader */
Ledger voterLog;     /* ledger that the voter has synced to disk */
Ledger electedLog;   /* voterLog at the time of the vote; the new leader has the same */

bool voted, elected;
byte base[2];
bool sent[2];
byte firstAnswer[2];   /* first answer to each operator */
byte servedRevision;   /* revision that the entry serves */
byte servedOwner;      /* 1 + the operator whose change created servedRevision; 0 for none */
byte leader, operator; /* the leader and operator of the current step */

/* A field of the ledger that a quorum has stored durably. */
#define durable(field) (elected -> committed[1].field : (voted -> electedLog.field : voterLog.field))

inline copyLedger(to, from) {
  to.revision = from.revision; to.outcome[0] = from.outcome[0]; to.outcome[1] = from.outcome[1]
}

/* The leader decides the operator's change. */
inline decide() {
  if
  :: hasOutcome(decided[leader].outcome[operator]) -> skip
  :: !hasOutcome(decided[leader].outcome[operator]) && baseMatches(decided[leader].revision, operator) && decided[leader].revision < 2 ->
    decided[leader].revision++;
    decided[leader].outcome[operator] = decided[leader].revision
  :: else -> decided[leader].outcome[operator] = CONFLICT
  fi
}

/* The operator receives an answer from the leader. */
inline answerOperator() {
  assert(firstAnswer[operator] == NONE || firstAnswer[operator] == answerState(leader).outcome[operator]);
  firstAnswer[operator] = answerState(leader).outcome[operator];
  checkInvariant()
}

/* The entry receives the table of the leader, possibly late. */
inline serveTable() {
  if
  :: acceptsTable(servedState(leader).revision) ->
    assert(servedState(leader).revision >= servedRevision);
    servedRevision = servedState(leader).revision;
    servedOwner = 0;
    if
    :: servedRevision > 0 && servedState(leader).outcome[0] == servedRevision -> servedOwner = 1
    :: servedRevision > 0 && servedState(leader).outcome[1] == servedRevision -> servedOwner = 2
    :: else
    fi;
    checkInvariant()
  :: else
  fi
}

inline checkInvariant() {
  assert(!accepted(firstAnswer[0]) || durable(outcome[0]) == firstAnswer[0]);
  assert(!accepted(firstAnswer[1]) || durable(outcome[1]) == firstAnswer[1]);
  assert(!(accepted(firstAnswer[0]) && accepted(firstAnswer[1]) && base[0] == base[1]));
  assert(servedRevision <= durable(revision));
  assert(servedOwner != 1 || servedRevision > durable(revision) || durable(outcome[0]) == servedRevision);
  assert(servedOwner != 2 || servedRevision > durable(revision) || durable(outcome[1]) == servedRevision)
}

/* The leader of term 2 restarts from the durable ledger. */
inline restart() {
  committed[1].outcome[0] = outcomeAfterRestart(committed[1].outcome[0]);
  committed[1].outcome[1] = outcomeAfterRestart(committed[1].outcome[1]);
  copyLedger(decided[1], committed[1])
}

inline chooseOperator(chosen) {
  if
  :: chosen = 0
  :: chosen = 1
  fi
}

active proctype System() {
  do
  /* An operator reads the table at the entry, and sends and resends a change. */
  :: atomic { chooseOperator(operator); if :: !sent[operator] -> sent[operator] = true; base[operator] = servedRevision :: else fi; operator = 0 }
  :: atomic { chooseOperator(operator); if :: sent[operator] -> leader = 0; decide() :: else fi; leader = 0; operator = 0 }
  :: atomic { elected -> chooseOperator(operator); if :: sent[operator] -> leader = 1; decide() :: else fi; leader = 0; operator = 0 }

  /* The log of term 1 reaches the voter, and the leader of term 1 learns this later. */
  :: atomic { mayAppend -> copyLedger(voterLog, decided[0]) }
  :: atomic { true -> copyLedger(committed[0], voterLog) }

  /* The vote, the election, a commit and a restart of term 2. */
  :: atomic { !voted -> voted = true; copyLedger(electedLog, voterLog) }
  :: atomic { voted && !elected -> elected = true; copyLedger(committed[1], electedLog); restart(); checkInvariant() }
  :: atomic { elected -> copyLedger(committed[1], decided[1]) }
  :: atomic { elected -> restart(); checkInvariant() }

  /* Answers to operators, and tables sent to the entry. */
  :: atomic { chooseOperator(operator); if :: answerState(0).outcome[operator] != NONE -> leader = 0; answerOperator() :: else fi; leader = 0; operator = 0 }
  :: atomic { elected -> chooseOperator(operator); if :: answerState(1).outcome[operator] != NONE -> leader = 1; answerOperator() :: else fi; leader = 0; operator = 0 }
  :: atomic { leader = 0; serveTable() }
  :: atomic { elected -> leader = 1; serveTable(); leader = 0 }
  od
}
