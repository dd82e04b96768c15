package leader_test

import (
	"context"
	"testing"
	"time"

	"gypsumreel/internal/ledger/state"
)

// Work that is due at noon begins seconds early: a replica whose time of day has
// jumped ahead was elected, and the ledger's time, which never goes back, with it.
// It goes on from the ledger until the others have told what time it is.
func TestLeadersOwnClockDoesNotMoveTheLedgers(t *testing.T) {
	run(t, func(c *cell) {
		var heard bool
		on := func(fn func(*state.State)) {
			if err := c.l.Execute(context.Background(), fn); err != nil {
				t.Fatal(err)
			}
		}
		on(func(*state.State) {
			c.l.WallClock = func() time.Time { return time.Now().Add(time.Hour) }
			c.l.AgreedTime = func(time.Duration) (time.Duration, bool) { return time.Duration(time.Now().UnixNano()), heard }
		})
		c.elect(2)
		for _, told := range []bool{false, true} {
			on(func(*state.State) { heard = told })
			time.Sleep(time.Second)
			c.accepted(spec(map[bool]string{false: "before", true: "after"}[told]))
			on(func(st *state.State) {
				if off := st.Now() - time.Duration(time.Now().UnixNano()); off > 0 || off < -2*time.Second {
					t.Errorf("told %v: the ledger's time is off by %v", told, off)
				}
			})
		}
	})
}
