package quorum_test

import (
	"testing"
	"time"

	"gypsumreel/internal/replica/quorum"
)

// A control thread reloads while its replica leads, and the core had told it of
// a confirmed round before. The thread starts over and knows of none: unless it
// is told again it refuses every read until the next round.
func TestAReloadTellsTheConfirmedRoundAgain(t *testing.T) {
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
	confirmed := func(reports []quorum.Report) (led, round bool) {
		for _, r := range reports {
			switch r.(type) {
			case quorum.BecameLeader:
				led, round = true, false
			case quorum.LeadershipConfirmed:
				round = true
			}
		}
		return led, round
	}
	for range 400 {
		now += 10 * time.Millisecond
		step(quorum.Tick{})
	}
	step(quorum.ConfirmLeadership{})
	led, round := confirmed(step(quorum.ReloadState{}))
	if !led || !round {
		t.Errorf("after a reload: told to lead %v, told of a confirmed round since %v", led, round)
	}
}
