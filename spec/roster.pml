/*
 * A control group of three voters that replaces its members by itself. A voter may
 * be stopped and come back, or lose its disk and come back at its address with a
 * blank one. No further disk is lost before the group has its three voters again
 * and all of them run: that is what the group is built to bear, scaled down.
 *
 * Promise: what was acknowledged stays. Whatever quorum of voters elects a leader,
 * one of them has it; and there always is one that could. Each MUTATE_ name takes
 * one guard away; spec/check shows that the promise then breaks.
 */

#define TARGET 3
#define IDS 6       /* identities, of which the first three found the group */
#define ADDRESSES 4 /* one machine more than the group needs */

/* A blank disk gets an identity of its own, and never votes as the one before it. */
#ifdef MUTATE_OLD_IDENTITY
#define returns(v) intact[v] = true; up[v] = true
#else
#define returns(v) fresh(address[v])
#endif

/* A learner votes when it has the whole log. */
#ifdef MUTATE_PROMOTE_BEFORE_SYNCED
#define synced(i) true
#else
#define synced(i) has[i]
#endif

bool voter[IDS];
bool learner[IDS];
bool known[IDS];
/* The disk is there, the process runs, what was acknowledged is on the disk. */
bool intact[IDS];
bool up[IDS];
bool has[IDS];
byte address[IDS];
byte born;
/* At each machine: a process of its own, or none. */
bool occupied[ADDRESSES];
/* The voter whose machine is about to come back with a blank disk. */
byte blank = IDS;

/* Set anew in each step, and no part of the state. */
hidden byte i, j, n, voters, able, lacking, running;

inline count() {
  voters = 0; able = 0; lacking = 0; running = 0; n = 0;
  do
  :: n < IDS ->
       if
       :: voter[n] ->
            voters++;
            if :: intact[n] -> able++; if :: !has[n] -> lacking++ :: else fi; if :: up[n] -> running++ :: else fi :: else fi
       :: else
       fi;
       n++
  :: else -> break
  od
}

/* More than half of the voters. */
#define quorum (voters / 2 + 1)
#define leads (running >= quorum)
#define whole (voters == TARGET && running == voters && able == voters)

inline fresh(a) {
  if
  :: born < IDS -> address[born] = a; intact[born] = true; up[born] = true; known[born] = true; occupied[a] = true; born++
  :: else
  fi
}

inline check() {
  count();
  assert(able >= quorum);
  assert(lacking < quorum)
}

active proctype group() {
  atomic {
    i = 0;
    do
    :: i < TARGET -> voter[i] = true; known[i] = true; intact[i] = true; up[i] = true; address[i] = i; occupied[i] = true; i++
    :: else -> break
    od;
    born = TARGET;
    /* Acknowledged: on a quorum's disks. */
    has[0] = true; has[1] = true
  }
  do
  /* The log reaches whoever runs, while somebody leads. */
  :: atomic { count();
       if
       :: leads -> if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
            if :: up[i] && intact[i] && (voter[i] || learner[i]) -> has[i] = true :: else fi
       :: else
       fi }
  /* A process is stopped, one at a time, or comes back. */
  :: atomic { count();
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
       if
       :: intact[i] && up[i] && whole -> up[i] = false
       :: intact[i] && !up[i] -> up[i] = true
       :: else
       fi }
  /* A voter loses its disk, and its machine comes back. */
  :: atomic { count();
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
       if
       :: whole && voter[i] && blank == IDS && born < IDS ->
            intact[i] = false; up[i] = false; has[i] = false; blank = i; check()
       :: else
       fi }
  :: atomic { blank < IDS -> i = blank; blank = IDS; returns(i); check() }
  /* A machine that waits for a place starts. */
  :: atomic { !occupied[3] -> fresh(3) }
  /* The leader changes one member at a time. */
  :: atomic { count();
       if
       :: leads ->
            if :: i = 0 :: i = 1 :: i = 2 :: i = 3 :: i = 4 :: i = 5 fi;
            if :: j = 0 :: j = 1 :: j = 2 :: j = 3 :: j = 4 :: j = 5 fi;
            if
            :: voter[i] && known[j] && up[j] && i != j && !voter[j] && address[i] == address[j] -> voter[i] = false; known[i] = false
            :: known[i] && up[i] && !voter[i] && !learner[i] -> learner[i] = true
            :: learner[i] && up[i] && synced(i) && voters < TARGET -> learner[i] = false; voter[i] = true
            :: voter[i] && !up[i] && voters == TARGET && learner[j] && up[j] && synced(j) -> voter[i] = false
            :: else
            fi;
            check()
       :: else
       fi }
  od
}
