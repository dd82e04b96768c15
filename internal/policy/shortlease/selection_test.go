package shortlease_test

import (
	"fmt"
	"testing"

	"gypsumreel/internal/policy/shortlease"
)

// servers returns n servers of equal capacity.
func servers(n int) []shortlease.Server {
	var out []shortlease.Server
	for i := range n {
		out = append(out, shortlease.Server{ID: fmt.Sprint("s", i), CPU: 32})
	}
	return out
}

// selectedIDs returns the IDs of the selected servers among the first n.
func selectedIDs(c *shortlease.Selection, n int) map[string]bool {
	out := map[string]bool{}
	for _, s := range servers(n) {
		if c.Contains(s.ID) {
			out[s.ID] = true
		}
	}
	return out
}

func TestSelectionHasTwiceTheUrgentDemand(t *testing.T) {
	for _, tc := range []struct{ servers, used, want int }{
		{48, 0, 4}, {48, 160, 10}, {48, 10000, 16}, {2, 160, 0},
	} {
		var c shortlease.Selection
		c.Update(servers(tc.servers), int64(tc.used))
		if got := len(selectedIDs(&c, tc.servers)); got != tc.want {
			t.Errorf("%+v: %d servers selected", tc, got)
		}
	}
}

// The urgent demand varies, and servers come and go. If the selection changed with them, urgent
// tasks would run on servers whose long lease has not expired yet.
func TestSelectionChangesFewServers(t *testing.T) {
	var c shortlease.Selection
	c.Update(servers(48), 160)
	before := selectedIDs(&c, 48)
	c.Update(servers(48)[2:], 130)
	changed := 0
	for id := range selectedIDs(&c, 48) {
		if !before[id] {
			changed++
		}
	}
	if changed > 2 {
		t.Errorf("%d of %d selected servers changed, want at most 2", changed, len(before))
	}
}
