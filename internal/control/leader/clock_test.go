package leader_test

import (
	"context"
	"testing"
	"time"

	"gypsumreel/internal/ledger/state"
)

// Guards against timed work that starts too early. A replica whose time of day has
// jumped ahead is elected and moves the ledger's time, which never goes back. The
// new leader must continue from the ledger's time until other processes have
// reported theirs.
func TestLeaderClockJumpDoesNotMoveLedgerTime(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		var timeAgreed bool
		onControlThread := func(fn func(*state.State)) {
			if err := h.leader.Execute(context.Background(), fn); err != nil {
				t.Fatal(err)
			}
		}
		onControlThread(func(*state.State) {
			h.leader.WallClock = func() time.Time { return time.Now().Add(time.Hour) }
			h.leader.AgreedTime = func(time.Duration) (time.Duration, bool) { return time.Duration(time.Now().UnixNano()), timeAgreed }
		})
		h.elect(2)
		for _, agreed := range []bool{false, true} {
			onControlThread(func(*state.State) { timeAgreed = agreed })
			time.Sleep(time.Second)
			h.submitAndReply(batchSpec(map[bool]string{false: "before", true: "after"}[agreed]))
			onControlThread(func(st *state.State) {
				if offset := st.Now() - time.Duration(time.Now().UnixNano()); offset > 0 || offset < -2*time.Second {
					t.Errorf("with agreed time %v: the ledger's time differs from the time of day by %v", agreed, offset)
				}
			})
		}
	})
}
