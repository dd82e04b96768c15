/*
 * One task and two backend servers that the leader calls. A start may be
 * delivered late or never; a server may lose its lease, or crash and begin
 * another life that knows nothing of the one before; the leader may be replaced
 * by one that knows what was placed and nothing of what was sent or answered.
 *
 * Promise: the task never runs on both servers at the same time. Each MUTATE_
 * name takes one guard away; spec/check shows that the promise then breaks.
 */

#define SERVERS 2
#define RUNS 3

/* A task is placed again without proof that its lease is over. */
#ifdef MUTATE_NO_WAIT_FOR_LEASE
#define over(s) true
#else
#define over(s) lapsed[s]
#endif

/* A list that does not show the run frees it, though nothing was answered. */
#ifdef MUTATE_TRUST_ANY_LIST
#define settled(s) true
#else
#define settled(s) answered
#endif

/* A life is closed while a start may still reach the next one, or has. */
#ifdef MUTATE_START_INTO_NEXT_LIFE
#define closable(s) true
#else
#define closable(s) (!open[s] && (!ghost || answered))
#endif

/* What a stop found in the next life works on for a while. */
#ifdef MUTATE_STOP_AT_ONCE
#define stopped(s) true
#else
#define stopped(s) (running[s] == 0)
#endif

/* A server refuses a run that it was told to stop and did not know. */
#ifdef MUTATE_FORGET_STOP
#define remember(s, n) skip
#else
#define remember(s, n) highest[s] = n
#endif

/* The lease that comes with a start is a time, and passes on its way. */
#ifdef MUTATE_LENGTH_NOT_TIME
#define inTime(s) true
#else
#define inTime(s) (granted[s] == epoch[s])
#endif

/* At each server: the run that works, the highest run refused, whether the
 * process lives, the lease that is in force and whether the last one is over. */
byte running[SERVERS];
byte highest[SERVERS];
bool alive[SERVERS] = true;
byte epoch[SERVERS];
bool lapsed[SERVERS];
/* A crash is seen: nobody listens. */
bool gone[SERVERS];

/* On the way: the number of a start, and the lease that it carries. While its
 * call is open it may reach the next life; after that only the one it was sent to,
 * which may carry it out late. A call is given up long before a lease is over. */
byte flying[SERVERS];
byte granted[SERVERS];
bool open[SERVERS];

/* The leader: where the task is placed (0 nowhere), its latest number, whether a
 * stop of it was answered. */
byte at;
byte number;
bool answered;
/* A start may have reached another life than it was sent to. */
bool ghost;

inline once() { assert(!(running[0] > 0 && running[1] > 0)) }

active proctype leader() {
  byte s;
  do
  :: atomic { at == 0 && number < RUNS ->
       if :: s = 0 :: s = 1 fi;
       if
       :: alive[s] && flying[s] == 0 ->
            number++; at = s + 1; answered = false; ghost = false; lapsed[s] = false; gone[s] = false;
            flying[s] = number; granted[s] = epoch[s]; open[s] = true
       :: else
       fi }
  /* A stop that is answered: the server remembers it, and stops what it has. */
  :: atomic { at > 0 && !answered && alive[at - 1] -> remember(at - 1, number); answered = true }
  /* A list made after that shows what works. */
  :: atomic { at > 0 && settled(at - 1) && alive[at - 1] && !gone[at - 1] && running[at - 1] != number -> at = 0 }
  :: atomic { at > 0 && over(at - 1) -> at = 0 }
  /* The process is gone: what may reach the next life is stopped there first. */
  :: atomic { at > 0 && gone[at - 1] && closable(at - 1) && stopped(at - 1) -> at = 0 }
  /* Another leader knows the placement alone. */
  :: atomic { at > 0 && answered -> answered = false }
  od
}

active [SERVERS] proctype server() {
  byte s = _pid - 1;
  do
  :: atomic { flying[s] > 0 && alive[s] ->
       if
       :: flying[s] > highest[s] && inTime(s) -> running[s] = flying[s]; once()
       :: else
       fi;
       flying[s] = 0 }
  :: atomic { flying[s] > 0 -> flying[s] = 0 }
  /* The call ends, or is given up; what was sent to a life that has ended is lost. */
  :: atomic { open[s] -> open[s] = false; if :: gone[s] -> flying[s] = 0 :: else fi }
  /* The stop of a run, or its end. */
  :: atomic { running[s] > 0 -> running[s] = 0 }
  /* The lease runs out: all is killed, and what carries it comes too late. */
  :: atomic { alive[s] && !open[s] && epoch[s] < RUNS -> running[s] = 0; epoch[s]++; lapsed[s] = true }
  :: atomic { alive[s] && !gone[s] ->
       alive[s] = false; running[s] = 0; gone[s] = true;
       if
       :: open[s] && at == s + 1 -> ghost = true; answered = false
       :: else -> flying[s] = 0
       fi }
  /* The next life knows no stop, and its clock takes any lease for a later one. */
  :: atomic { !alive[s] -> alive[s] = true; highest[s] = 0; granted[s] = epoch[s] }
  od
}
