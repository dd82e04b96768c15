package quorum_test

import (
	"slices"
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// failovers gives the sorted times from the crash of a leader to the first
// decision of the next, one for each seed.
func failovers(way time.Duration, seeds uint64) []time.Duration {
	var took []time.Duration
	for seed := range seeds {
		s := newSim(3, seed)
		s.way = way
		s.run(3*time.Second + time.Duration(seed)*time.Millisecond)
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
	return took
}

// A leader's instance dies under load. Callers wait until another leads.
// Over 500 seeds the time from the crash to the new leader's first decision has
// a p99 of at most three election timeouts, and at most 2 s, between zones that
// are 1.5 ms apart; the other distances show the slope.
func TestFailoverTime(t *testing.T) {
	for _, way := range []time.Duration{0, oneWay, 10 * time.Millisecond, 20 * time.Millisecond} {
		took := failovers(way, 500)
		p50, p99, worst := took[250], took[495], took[499]
		t.Logf("%v one way: p50 %v, p99 %v, worst of %d %v", way, p50, p99, len(took), worst)
		if way <= oneWay && (p99 > 3*quorum.DefaultElectionTimeout || p99 > 2*time.Second) {
			t.Errorf("p99 %v", p99)
		}
	}
}

// An idle group's heartbeats cost every instance bytes all day.
// A replica of three sends and receives at most 2 KB of messages a second.
func TestIdleBytes(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		s := newSim(size, 1)
		s.run(5 * time.Second)
		clear(s.bytes)
		s.run(60 * time.Second)
		lead := s.bytes[s.leader().id] / 60
		other := s.bytes[s.other().id] / 60
		t.Logf("%d replicas: leader %d, another %d bytes a second", size, lead, other)
		if size == 3 && lead > 2048 {
			t.Errorf("%d bytes a second", lead)
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
		base, _ := s.leader().core.LogBase()
		if last := s.leader().core.LastEntry()[0]; last-base > 300 {
			t.Fatalf("the leader keeps the entries from %d to %d", base, last)
		}
	}
	s.heal()
	if s.failed != "" {
		t.Error(s.failed)
	}
}
