package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// A control thread that reloads its state on the leader does not know the last confirmed round.
// The core must report the round again. Otherwise the control thread would refuse all reads until
// the next round is confirmed.
func TestReloadReportsConfirmedRoundAgain(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "a/0", Address: "a", InitialMembers: []quorum.Member{{ID: "a/0", Address: "a"}}}, quorum.PersistedState{})
	now := time.Duration(0)
	step := func(ev quorum.Event) (reports []quorum.Report) {
		effects := c.Step(now, ev)
		for effects.Write != nil {
			reports = append(reports, effects.Reports...)
			effects = c.Step(now, quorum.WriteSynced{Seq: effects.Write.Seq})
		}
		return append(reports, effects.Reports...)
	}
	reportedState := func(reports []quorum.Report) (isLeader, roundConfirmed bool) {
		for _, r := range reports {
			switch r.(type) {
			case quorum.BecameLeader:
				isLeader, roundConfirmed = true, false
			case quorum.LeadershipConfirmed:
				roundConfirmed = true
			}
		}
		return isLeader, roundConfirmed
	}
	for range 400 {
		now += 10 * time.Millisecond
		step(quorum.Tick{})
	}
	step(quorum.ConfirmLeadership{})
	isLeader, roundConfirmed := reportedState(step(quorum.ReloadState{}))
	if !isLeader || !roundConfirmed {
		t.Errorf("after a reload: leadership reported %v, confirmed round reported %v; want both", isLeader, roundConfirmed)
	}
}
