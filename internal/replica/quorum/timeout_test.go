package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Load of a new leader on a machine with one processor.
const (
	// takeoverWorkDuration is how long a new leader is busy with the takeover.
	takeoverWorkDuration = 1500 * time.Millisecond
	// maxTakeoverMessageDelay limits the delay of a message while a leader takes over.
	maxTakeoverMessageDelay = 600 * time.Millisecond
	// maxStartMessageDelay limits the delay of a message when the whole group starts.
	maxStartMessageDelay = 450 * time.Millisecond
)

// delayMessagesOfNewLeaders simulates the load of a takeover on each new leader: the greetings
// and task lists of all backend servers. Messages from and to the leader are delayed meanwhile.
func delayMessagesOfNewLeaders(s *simulation, maxDelay time.Duration) {
	busyUntil := map[string]time.Duration{}
	seenElections := 0
	s.messageDelay = func(n *simReplica) time.Duration {
		for ; seenElections < len(s.elections); seenElections++ {
			busyUntil[s.leaderByTerm[s.elections[seenElections].Term]] = s.now + takeoverWorkDuration
		}
		return max(0, min(busyUntil[n.id]-s.now, maxDelay))
	}
}

// electionsAfterPause pauses the leader of five replicas and returns the number of elections in
// the next twenty seconds.
func electionsAfterPause(seed uint64, cfg quorum.Config) int {
	s := newSimulation(0, seed)
	s.config = cfg
	s.bootstrap(5)
	delayMessagesOfNewLeaders(s, maxTakeoverMessageDelay)
	s.runFor(3 * time.Second)
	if leader := s.leader(); leader != nil {
		leader.paused = true
		s.schedule(1500*time.Millisecond, func() { leader.paused = false })
	}
	electionsBefore := len(s.elections)
	s.runFor(20 * time.Second)
	return len(s.elections) - electionsBefore
}

// The work of a takeover can delay the heartbeats of the new leader until it is deposed too.
// Such an election storm must end by itself, even with short election timeouts.
func TestElectionStormEnds(t *testing.T) {
	const maxElections = 6
	for _, electionTimeout := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(20) {
			n := electionsAfterPause(seed, quorum.Config{HeartbeatInterval: electionTimeout / 4, ElectionTimeout: electionTimeout, MaxElectionTimeout: time.Second})
			if n > maxElections {
				t.Errorf("election timeout %v, seed %d: %d elections after one pause, want at most %d", electionTimeout, seed, n, maxElections)
			}
		}
	}
}

// TestElectionStormEnds is only meaningful if its load causes an election storm. With a fixed
// short election timeout the storm does not end.
func TestFixedShortTimeoutCausesElectionStorm(t *testing.T) {
	const minElections = 10
	for seed := range uint64(5) {
		if n := electionsAfterPause(seed, quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond}); n < minElections {
			t.Errorf("seed %d: %d elections, want at least %d; the load is too low to test for a storm", seed, n, minElections)
		}
	}
}

// Without delayed messages, the election timeout stays short and a silent leader is replaced
// soon.
func TestSilentLeaderIsReplacedSoon(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		s.bootstrap(5)
		s.runFor(20 * time.Second)
		leader := s.leader()
		leader.paused = true
		pausedAt, electionsBefore := s.now, len(s.elections)
		for s.now < pausedAt+2*time.Second && len(s.elections) == electionsBefore {
			s.runFor(5 * time.Millisecond)
		}
		if elapsed := s.now - pausedAt; elapsed > 450*time.Millisecond {
			t.Errorf("seed %d: next leader elected after %v, want at most 450ms", seed, elapsed)
		}
	}
}

// The heartbeats of a busy leader are delayed during every other second. The election timeout
// must adapt to the delay. A fixed timeout would depose the leader again and again.
func TestLateHeartbeatsExtendElectionTimeout(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond, MaxElectionTimeout: time.Second}
		s.bootstrap(5)
		s.runFor(3 * time.Second)
		s.messageDelay = func(n *simReplica) time.Duration {
			if s.leader() != n || s.now%(2*time.Second) > time.Second {
				return 0
			}
			return 180 * time.Millisecond
		}
		s.runFor(10 * time.Second)
		electionsBefore := len(s.elections)
		s.runFor(20 * time.Second)
		if n := len(s.elections) - electionsBefore; n > 0 {
			t.Errorf("seed %d: %d elections although all leaders were alive", seed, n)
		}
	}
}

// When all replicas start at once, the first leader is busy with the takeover of the whole
// cell. The other replicas must not replace it before they have measured its silences.
func TestFirstLeaderIsNotReplacedDuringTakeover(t *testing.T) {
	const maxElections = 2
	for seed := range uint64(20) {
		s := newSimulation(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		delayMessagesOfNewLeaders(s, maxStartMessageDelay)
		s.bootstrap(5)
		s.runFor(10 * time.Second)
		if n := len(s.elections); n > maxElections {
			t.Errorf("seed %d: %d elections after the start, want at most %d", seed, n, maxElections)
		}
	}
}
