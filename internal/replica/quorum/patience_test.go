package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// Work that a takeover brings, and the longest that a message waits beside it, then and at a start, at a
// replica with one processor.
const (
	takeoverWork = 1500 * time.Millisecond
	longestTurn  = 600 * time.Millisecond
	startTurn    = 450 * time.Millisecond
)

// burden lets each new leader work off what a takeover brings: greetings, and the
// lists of all backend servers. Messages from and to it wait meanwhile.
func burden(s *sim, longest time.Duration) {
	until := map[string]time.Duration{}
	known := 0
	s.wait = func(n *node) time.Duration {
		for ; known < len(s.elections); known++ {
			until[s.leaders[s.elections[known].Term]] = s.now + takeoverWork
		}
		return max(0, min(until[n.id]-s.now, longest))
	}
}

// play runs five replicas whose leader stands still for a moment, and returns how
// often one was elected in the twenty seconds after.
func storm(seed uint64, cfg quorum.Config) int {
	s := newSim(0, seed)
	s.config = cfg
	s.found(5)
	burden(s, longestTurn)
	s.run(3 * time.Second)
	if l := s.leader(); l != nil {
		l.paused = true
		s.after(1500*time.Millisecond, func() { l.paused = false })
	}
	before := len(s.elections)
	s.run(20 * time.Second)
	return len(s.elections) - before
}

// A takeover brings so much work that the next leader's heartbeats come too late, and
// so on: the storm of elections has to end by itself, however short the timeout.
func TestStormOfElectionsEnds(t *testing.T) {
	const most = 6
	for _, election := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(20) {
			n := storm(seed, quorum.Config{HeartbeatInterval: election / 4, ElectionTimeout: election, MaxElectionTimeout: time.Second})
			if n > most {
				t.Errorf("timeout %v, seed %d: %d leaders after one fault", election, seed, n)
			}
		}
	}
}

// The storm that the test above is about: with timeouts that stay short it never ends.
func TestShortTimeoutsThatStayAreAStorm(t *testing.T) {
	const least = 10
	for seed := range uint64(5) {
		if n := storm(seed, quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond}); n < least {
			t.Errorf("seed %d: %d leaders, the load is no test", seed, n)
		}
	}
}

// A leader in a calm network is replaced soon after it falls silent.
func TestSilenceInCalmShowsSoon(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		s.found(5)
		s.run(20 * time.Second)
		l := s.leader()
		l.paused = true
		begin, before := s.now, len(s.elections)
		for s.now < begin+2*time.Second && len(s.elections) == before {
			s.run(5 * time.Millisecond)
		}
		if took := s.now - begin; took > 450*time.Millisecond {
			t.Errorf("seed %d: the next leader came after %v", seed, took)
		}
	}
}

// Heartbeats of a busy leader come late by turns. Once that was seen, it is waited
// for; a fixed timeout would depose it again and again.
func TestLateHeartbeatsAreWaitedFor(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond, MaxElectionTimeout: time.Second}
		s.found(5)
		s.run(3 * time.Second)
		s.wait = func(n *node) time.Duration {
			if s.leader() != n || s.now%(2*time.Second) > time.Second {
				return 0
			}
			return 180 * time.Millisecond
		}
		s.run(10 * time.Second)
		before := len(s.elections)
		s.run(20 * time.Second)
		if n := len(s.elections) - before; n > 0 {
			t.Errorf("seed %d: %d leaders were deposed for being slow", seed, n)
		}
	}
}

// All replicas start at once, and the first leader has the whole cell to take over. It is
// waited for: nobody has seen yet how long its silences are.
func TestFirstLeaderAfterAStartIsWaitedFor(t *testing.T) {
	const most = 2
	for seed := range uint64(20) {
		s := newSim(0, seed)
		s.config = quorum.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, MaxElectionTimeout: time.Second}
		burden(s, startTurn)
		s.found(5)
		s.run(10 * time.Second)
		if n := len(s.elections); n > most {
			t.Errorf("seed %d: %d leaders after the start", seed, n)
		}
	}
}
