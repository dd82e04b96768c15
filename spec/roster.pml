/*
 * Model of a consensus group of three voters that replaces failed members automatically. A
 * voter may stop and restart, or lose its disk and restart at its address with an empty
 * one. No second disk is lost before the group has three running voters again. That is
 * the fault tolerance of the real group at a smaller scale.
 *
 * Invariant: acknowledged entries are never lost. Every quorum of voters that can elect a
 * leader includes a voter that has the entries, and such a quorum always exists. Each
 * MUTATE_ name removes one guard. spec/check shows that the invariant is then violated.
 */

#define TARGET_VOTERS 3
#define IDENTITIES 6 /* identities; the first three are the initial voters */
#define ADDRESSES 4  /* one machine more than the group needs */

/* A replica with an empty disk gets a new identity and never votes under its old one. */
#ifdef MUTATE_OLD_IDENTITY
#define returnAfterDiskLoss(v) diskIntact[v] = true; processUp[v] = true
#else
#define returnAfterDiskLoss(v) joinWithNewIdentity(address[v])
#endif

/* A learner becomes a voter only when it has the whole log. */
#ifdef MUTATE_PROMOTE_BEFORE_SYNCED
#define mayVote(i) true
#else
#define mayVote(i) hasLog[i]
#endif

bool voter[IDENTITIES];
bool learner[IDENTITIES];
bool registered[IDENTITIES];
/* Per identity: the disk is intact, the process runs, and the acknowledged entries are on
 * the disk. */
bool diskIntact[IDENTITIES];
bool processUp[IDENTITIES];
bool hasLog[IDENTITIES];
byte address[IDENTITIES];
byte nextIdentity;
/* Per machine: a replica has been started on it. */
bool machineInUse[ADDRESSES];
/* The voter whose machine restarts next with an empty disk; IDENTITIES for none. */
byte lostVoter = IDENTITIES;

/* Recomputed in each step and excluded from the state. */
hidden byte i, j, n, voterCount, intactVoters, votersWithoutLog, runningVoters;

inline countVoters() {
  voterCount = 0; intactVoters = 0; votersWithoutLog = 0; runningVoters = 0; n = 0;
  do
  :: n < IDENTITIES ->
       if
       :: voter[n] ->
            voterCount++;
            if :: diskIntact[n] -> intactVoters++; if :: !hasLog[n] -> votersWithoutLog++ :: else fi; if :: processUp[n] -> runningVoters++ :: else fi :: else fi
       :: else
       fi;
       n++
  :: else -> break
  od
}

/* More than half of the voters. */
#define quorum (voterCount / 2 + 1)
#define hasLeader (runningVoters >= quorum)
#define groupComplete (voterCount == TARGET_VOTERS && runningVoters == voterCount && intactVoters == voterCount)

inline joinWithNewIdentity(a) {
  if
  :: nextIdentity < IDENTITIES -> address[nextIdentity] = a; diskIntact[nextIdentity] = true; processUp[nextIdentity] = true; registered[nextIdentity] = true; machineInUse[a] = true; nextIdentity++
  :: else
  fi
}

inline checkInvariant() {
  countVoters();
  assert(intactVoters >= quorum);
  assert(votersWithoutLog < quorum)
}

active proctype group() {
  atomic {
    i = 0;
    do
    :: i < TARGET_VOTERS -> voter[i] = true; registered[i] = true; diskIntact[i] = true; processUp[i] = true; address[i] = i; machineInUse[i] = true; i++
    :: else -> break
    od;
    nextIdentity = TARGET_VOTERS;
    /* The entries are acknowledged, because a quorum has them on disk. */
    hasLog[0] = true; hasLog[1] = true
  }
  do
  /* While there is a leader, the log reaches a running voter or learner. */
  :: atomic { countVoters();
       if
       :: hasLeader -> if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
            if :: processUp[i] && diskIntact[i] && (voter[i] || learner[i]) -> hasLog[i] = true :: else fi
       :: else
       fi }
  /* One process stops, while all voters run, or a stopped process restarts. */
  :: atomic { countVoters();
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
       if
       :: diskIntact[i] && processUp[i] && groupComplete -> processUp[i] = false
       :: diskIntact[i] && !processUp[i] -> processUp[i] = true
       :: else
       fi }
  /* A voter loses its disk. In the next step its machine restarts with an empty disk. */
  :: atomic { countVoters();
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
       if
       :: groupComplete && voter[i] && lostVoter == IDENTITIES && nextIdentity < IDENTITIES ->
            diskIntact[i] = false; processUp[i] = false; hasLog[i] = false; lostVoter = i; checkInvariant()
       :: else
       fi }
  :: atomic { lostVoter < IDENTITIES -> i = lostVoter; lostVoter = IDENTITIES; returnAfterDiskLoss(i); checkInvariant() }
  /* The spare machine starts. */
  :: atomic { !machineInUse[3] -> joinWithNewIdentity(3) }
  /* The leader changes one member at a time. */
  :: atomic { countVoters();
       if
       :: hasLeader ->
            if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
            if :: j = 0 :: j = 1 :: j = 2 :: j = 3 :: j = 4 :: j = 5 fi;
            if
            :: voter[i] && registered[j] && processUp[j] && i != j && !voter[j] && address[i] == address[j] -> voter[i] = false; registered[i] = false
            :: registered[i] && processUp[i] && !voter[i] && !learner[i] -> learner[i] = true
            :: learner[i] && processUp[i] && mayVote(i) && voterCount < TARGET_VOTERS -> learner[i] = false; voter[i] = true
            :: voter[i] && !processUp[i] && voterCount == TARGET_VOTERS && learner[j] && processUp[j] && mayVote(j) -> voter[i] = false
            :: else
            fi;
            checkInvariant()
       :: else
       fi }
  od
}
