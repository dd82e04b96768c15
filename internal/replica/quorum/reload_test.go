package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// A control thread reloads while its replica leads, and the core had told it of
// a confirmed round before. The thread starts over and knows of none: unless it
// is told again it refuses every read until the next round.
func TestReloadReportsConfirmedRoundAgain(t *testing.T) {
	c := quorum.New(quorum.Config{ID: "a/0", Address: "a", InitialMembers: []quorum.Member{{ID: "a/0", Address: "a"}}}, quorum.PersistedState{})
	now := time.Duration(0)
	step := func(ev quorum.Event) (reports []quorum.Report) {
		fx := c.Step(now, ev)
		for fx.Write != nil {
			reports = append(reports, fx.Reports...)
			fx = c.Step(now, quorum.WriteSynced{Seq: fx.Write.Seq})
		}
		return append(reports, fx.Reports...)
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
		t.Errorf("after a reload: told to lead %v, told of a confirmed round since %v", isLeader, roundConfirmed)
	}
}
