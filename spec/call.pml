/*
 * Model of one task and two backend servers that the leader calls. A start call may be
 * delivered late or never. A server may lose its lease, or crash and restart as a new
 * incarnation without any state of the previous one. The leader may be replaced by one
 * that knows the placements, but not which calls were sent or answered.
 *
 * Invariant: the task never runs on both servers at the same time. Each MUTATE_ name
 * removes one guard. spec/check shows that the invariant is then violated.
 */

#define SERVERS 2
#define RUNS 3

/* Guard: a task is placed again only after its lease has expired. */
#ifdef MUTATE_NO_WAIT_FOR_LEASE
#define leaseOver(s) true
#else
#define leaseOver(s) leaseExpired[s]
#endif

/* Guard: a list without the run frees its placement only if a stop call was answered. */
#ifdef MUTATE_TRUST_ANY_LIST
#define stopConfirmed(s) true
#else
#define stopConfirmed(s) stopAnswered
#endif

/* Guard: after a crash, the placement is kept while a start call may still reach the next
 * incarnation, or has reached it and no stop call was answered. */
#ifdef MUTATE_START_INTO_NEXT_LIFE
#define incarnationClosable(s) true
#else
#define incarnationClosable(s) (!callOpen[s] && (!startAfterCrash || stopAnswered))
#endif

/* Guard: a run that was stopped in the next incarnation must have ended, because stopping
 * takes time. */
#ifdef MUTATE_STOP_AT_ONCE
#define runStopped(s) true
#else
#define runStopped(s) (runningNumber[s] == 0)
#endif

/* Guard: a server refuses an unknown run for which it received a stop call. */
#ifdef MUTATE_FORGET_STOP
#define refuseFromNowOn(s, n) skip
#else
#define refuseFromNowOn(s, n) highestRefused[s] = n
#endif

/* Guard: the lease of a start call is a point in time, so it may expire on the way. */
#ifdef MUTATE_LENGTH_NOT_TIME
#define leaseCurrent(s) true
#else
#define leaseCurrent(s) (startLease[s] == leaseEpoch[s])
#endif

/* Per server: the number of the running run (0 for none), the highest refused run number,
 * whether the process is alive, the number of its current lease, and whether the previous
 * lease has expired. */
byte runningNumber[SERVERS];
byte highestRefused[SERVERS];
bool alive[SERVERS] = true;
byte leaseEpoch[SERVERS];
bool leaseExpired[SERVERS];
/* The leader has seen that the process crashed, because its port is closed. */
bool crashSeen[SERVERS];

/* Per server: the run number of a start call in flight (0 for none), the lease that it
 * carries, and whether its call is open. While the call is open, the start may reach the
 * next incarnation. Later only the incarnation that it was sent to may execute it. A call
 * times out long before a lease expires. */
byte startInFlight[SERVERS];
byte startLease[SERVERS];
bool callOpen[SERVERS];

/* The leader's state: the server on which the task is placed (1 or 2, 0 for none), the
 * latest run number, and whether a stop call of it was answered. */
byte placedOn;
byte latestNumber;
bool stopAnswered;
/* A start call may have reached a later incarnation than the one it was sent to. */
bool startAfterCrash;

inline checkSingleRun() { assert(!(runningNumber[0] > 0 && runningNumber[1] > 0)) }

active proctype leader() {
  byte s;
  do
  :: atomic { placedOn == 0 && latestNumber < RUNS ->
       if :: s = 0 :: s = 1 fi;
       if
       :: alive[s] && startInFlight[s] == 0 ->
            latestNumber++; placedOn = s + 1; stopAnswered = false; startAfterCrash = false; leaseExpired[s] = false; crashSeen[s] = false;
            startInFlight[s] = latestNumber; startLease[s] = leaseEpoch[s]; callOpen[s] = true
       :: else
       fi }
  /* A stop call is answered. The server refuses the run from now on and stops it. */
  :: atomic { placedOn > 0 && !stopAnswered && alive[placedOn - 1] -> refuseFromNowOn(placedOn - 1, latestNumber); stopAnswered = true }
  /* A list made after that shows that the run does not run. */
  :: atomic { placedOn > 0 && stopConfirmed(placedOn - 1) && alive[placedOn - 1] && !crashSeen[placedOn - 1] && runningNumber[placedOn - 1] != latestNumber -> placedOn = 0 }
  :: atomic { placedOn > 0 && leaseOver(placedOn - 1) -> placedOn = 0 }
  /* The process crashed. A start that may reach the next incarnation is stopped there first. */
  :: atomic { placedOn > 0 && crashSeen[placedOn - 1] && incarnationClosable(placedOn - 1) && runStopped(placedOn - 1) -> placedOn = 0 }
  /* A new leader knows only the placement. */
  :: atomic { placedOn > 0 && stopAnswered -> stopAnswered = false }
  od
}

active [SERVERS] proctype server() {
  byte s = _pid - 1;
  do
  :: atomic { startInFlight[s] > 0 && alive[s] ->
       if
       :: startInFlight[s] > highestRefused[s] && leaseCurrent(s) -> runningNumber[s] = startInFlight[s]; checkSingleRun()
       :: else
       fi;
       startInFlight[s] = 0 }
  :: atomic { startInFlight[s] > 0 -> startInFlight[s] = 0 }
  /* The call ends or times out. A start sent to a crashed incarnation is lost. */
  :: atomic { callOpen[s] -> callOpen[s] = false; if :: crashSeen[s] -> startInFlight[s] = 0 :: else fi }
  /* The run is stopped or ends. */
  :: atomic { runningNumber[s] > 0 -> runningNumber[s] = 0 }
  /* The lease expires. The run is killed, and a start call with this lease comes too late. */
  :: atomic { alive[s] && !callOpen[s] && leaseEpoch[s] < RUNS -> runningNumber[s] = 0; leaseEpoch[s]++; leaseExpired[s] = true }
  :: atomic { alive[s] && !crashSeen[s] ->
       alive[s] = false; runningNumber[s] = 0; crashSeen[s] = true;
       if
       :: callOpen[s] && placedOn == s + 1 -> startAfterCrash = true; stopAnswered = false
       :: else -> startInFlight[s] = 0
       fi }
  /* The next incarnation knows no earlier stop call. Its new clock takes any lease as valid. */
  :: atomic { !alive[s] -> alive[s] = true; highestRefused[s] = 0; startLease[s] = leaseEpoch[s] }
  od
}
