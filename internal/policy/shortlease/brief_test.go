package shortlease_test

import (
	"fmt"
	"testing"

	"gypsumreel/internal/policy/shortlease"
)

func servers(n int) []shortlease.Server {
	var out []shortlease.Server
	for i := range n {
		out = append(out, shortlease.Server{ID: fmt.Sprint("s", i), CPU: 32})
	}
	return out
}

func chosen(c *shortlease.Selection, n int) map[string]bool {
	out := map[string]bool{}
	for _, s := range servers(n) {
		if c.Contains(s.ID) {
			out[s.ID] = true
		}
	}
	return out
}

func TestRoomForUrgentWorkTwice(t *testing.T) {
	for _, test := range []struct{ servers, used, want int }{
		{48, 0, 4}, {48, 160, 10}, {48, 10000, 16}, {2, 160, 0},
	} {
		var c shortlease.Selection
		c.Update(servers(test.servers), int64(test.used))
		if got := len(chosen(&c, test.servers)); got != test.want {
			t.Errorf("%+v: %d servers", test, got)
		}
	}
}

// Urgent work comes in waves and servers come and go. Leases that went to and fro
// with them would leave urgent work on servers whose long lease is not over yet.
func TestFewServersChange(t *testing.T) {
	var c shortlease.Selection
	c.Update(servers(48), 160)
	before := chosen(&c, 48)
	c.Update(servers(48)[2:], 130)
	changed := 0
	for id := range chosen(&c, 48) {
		if !before[id] {
			changed++
		}
	}
	if changed > 2 {
		t.Errorf("%d of %d servers changed", changed, len(before))
	}
}
