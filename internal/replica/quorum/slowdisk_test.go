package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/progress"
	"gypsumreel/internal/replica/quorum"
)

// Guards against a cell that has no leader as long as its disks are slow: one late sync makes a leader
// give up the lead that commits all proposals, and no election ends on these disks.
func TestLateSyncOfSlowDisksDoesNotCostTheCellItsLeader(t *testing.T) {
	for seed := range uint64(5) {
		runWithSlowDisks(t, seed+1)
	}
}

func runWithSlowDisks(t *testing.T, seed uint64) {
	t.Helper()
	const slow, late, observed = 700 * time.Millisecond, 2500 * time.Millisecond, time.Minute
	s := newSimulation(5, seed)
	s.config = quorum.Config{ElectionTimeout: time.Second, MaxElectionTimeout: 4 * time.Second}
	for _, n := range s.replicas {
		s.crash(n, 0)
		s.start(n)
	}
	s.runFor(5 * time.Second)
	former, judge, madeAt := s.leader(), progress.Judge{}, map[uint64]time.Duration{}
	begin, led, lastLed := s.now, 0, time.Duration(0)
	for abstains := false; s.now-begin < observed; s.runFor(progress.Interval) {
		s.syncDelay = slow
		if at := s.now - begin; at > 10*time.Second && at < 11*time.Second {
			s.syncDelay = late
		}
		leader, look := s.leader(), progress.Look{At: s.now}
		if leader != nil {
			led, lastLed, madeAt[leader.nextIndex] = led+1, s.now-begin, s.now
			s.propose(leader, 1)
		}
		if look.Leads = leader == former; look.Leads {
			look.ProposedAt = madeAt[s.commitIndex+1]
		}
		// As turn.Watch and leader.GiveUpLead do it.
		switch verdict := judge.Look(look); {
		case verdict != progress.Well && look.Leads && !abstains:
			abstains = true
			s.abstain(former, true)
		case abstains && !look.Leads:
			abstains = false
			s.abstain(former, false)
		}
	}
	if looks := int(observed / progress.Interval); led < looks/2 {
		t.Errorf("seed %d: a replica led at %d of %d looks, for the last time after %v", seed, led, looks, lastLed)
	}
}
