package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Work that a takeover brings, and the longest that a message waits beside it, then and at a start, at a
// replica with one processor.
const (
	takeoverWorkDuration    = 1500 * time.Millisecond
	maxTakeoverMessageDelay = 600 * time.Millisecond
	maxStartMessageDelay    = 450 * time.Millisecond
)

// delayMessagesOfNewLeaders lets each new leader work off what a takeover brings: greetings, and the
// lists of all backend servers. Messages from and to it wait meanwhile.
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

// play runs five replicas whose leader stands still for a moment, and returns how
// often one was elected in the twenty seconds after.
func electionsAfterPause(seed uint64, cfg quorum.Config) int {
	s := newSimulation(0, seed)
	s.config = cfg
	s.bootstrap(5)
	delayMessagesOfNewLeaders(s, maxTakeoverMessageDelay)
	s.runFor(3 * time.Second)
	if l := s.leader(); l != nil {
		l.paused = true
		s.schedule(1500*time.Millisecond, func() { l.paused = false })
	}
	electionsBefore := len(s.elections)
	s.runFor(20 * time.Second)
	return len(s.elections) - electionsBefore
}

// A takeover brings so much work that the next leader's heartbeats come too late, and
// so on: the storm of elections has to end by itself, however short the timeout.
func TestElectionStormEnds(t *testing.T) {
	const maxElections = 6
	for _, election := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(20) {
			n := electionsAfterPause(seed, quorum.Config{HeartbeatInterval: election / 4, ElectionTimeout: election, MaxElectionTimeout: time.Second})
			if n > maxElections {
				t.Errorf("timeout %v, seed %d: %d leaders after one fault", election, seed, n)
			}
		}
	}
}

// The storm that the test above is about: with timeouts that stay short it never ends.
func TestFixedShortTimeoutCausesElectionStorm(t *testing.T) {
	const minElections = 10
	for seed := range uint64(5) {
		if n := electionsAfterPause(seed, quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond}); n < minElections {
			t.Errorf("seed %d: %d leaders, the load is no test", seed, n)
		}
	}
}

// A leader in a calm network is replaced soon after it falls silent.
func TestSilentLeaderIsReplacedSoon(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		s.bootstrap(5)
		s.runFor(20 * time.Second)
		l := s.leader()
		l.paused = true
		pausedAt, electionsBefore := s.now, len(s.elections)
		for s.now < pausedAt+2*time.Second && len(s.elections) == electionsBefore {
			s.runFor(5 * time.Millisecond)
		}
		if elapsed := s.now - pausedAt; elapsed > 450*time.Millisecond {
			t.Errorf("seed %d: the next leader came after %v", seed, elapsed)
		}
	}
}

// Heartbeats of a busy leader come late by turns. Once that was seen, it is waited
// for; a fixed timeout would depose it again and again.
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
			t.Errorf("seed %d: %d leaders were deposed for being slow", seed, n)
		}
	}
}

// All replicas start at once, and the first leader has the whole cell to take over. It is
// waited for: nobody has seen yet how long its silences are.
func TestFirstLeaderIsNotReplacedDuringTakeover(t *testing.T) {
	const maxElections = 2
	for seed := range uint64(20) {
		s := newSimulation(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		delayMessagesOfNewLeaders(s, maxStartMessageDelay)
		s.bootstrap(5)
		s.runFor(10 * time.Second)
		if n := len(s.elections); n > maxElections {
			t.Errorf("seed %d: %d leaders after the start", seed, n)
		}
	}
}
