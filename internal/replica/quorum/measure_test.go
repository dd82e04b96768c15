package quorum_test

import (
	"slices"
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// A leader's instance dies under load. Callers wait until another leads.
// Over 500 seeds the time from the crash to the new leader's first decision has
// a p99 of at most three election timeouts, and at most 2 s.
func TestFailoverTime(t *testing.T) {
	var took []time.Duration
	for seed := range uint64(500) {
		s := newSim(3, seed)
		s.run(2*time.Second + time.Duration(seed)*time.Millisecond)
		old := s.leader()
		s.propose(old, 5)
		s.run(time.Duration(seed%7) * time.Millisecond)
		s.crash(old, 0)
		began := s.now
		for s.leader() == nil && s.now-began < 10*time.Second {
			s.run(time.Millisecond)
		}
		took = append(took, s.now-began)
	}
	slices.Sort(took)
	p50, p99, worst := took[250], took[495], took[499]
	t.Logf("failover p50 %v, p99 %v, worst of %d %v", p50, p99, len(took), worst)
	if p99 > 3*quorum.DefaultElection || p99 > 2*time.Second {
		t.Errorf("p99 %v", p99)
	}
}

// An idle group's heartbeats cost every instance bytes all day.
// A replica sends and receives at most 2 KB of messages a second.
func TestIdleBytes(t *testing.T) {
	s := newSim(3, 1)
	s.run(5 * time.Second)
	clear(s.bytes)
	s.run(60 * time.Second)
	for id, n := range s.bytes {
		perSecond := n / 60
		t.Logf("%s: %d bytes a second sent and received", id, perSecond)
		if perSecond > 2048 {
			t.Errorf("%s: %d bytes a second", id, perSecond)
		}
	}
}

// A replica is away while work goes on for long, as in an outage of an hour.
// The leader's memory must not grow with it: the log behind the snapshot goes,
// and the replica gets the snapshot and the rest when it is back.
func TestAwayForAnHour(t *testing.T) {
	s := newSim(3, 3)
	s.run(2 * time.Second)
	away := s.other()
	s.crash(away, 0)
	for range 50 {
		s.propose(s.leader(), 60)
		s.run(time.Second)
		if l := s.leader(); l.index > 200 {
			s.compact(l)
		}
		base, _ := s.leader().core.Base()
		if last := s.leader().core.Mark()[0]; last-base > 300 {
			t.Fatalf("the leader keeps the entries from %d to %d", base, last)
		}
	}
	s.heal()
	if s.failed != "" {
		t.Error(s.failed)
	}
}
