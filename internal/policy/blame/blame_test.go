package blame_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/blame"
)

// Whatever ran on a server that crashed is taken to be at fault, or what is at fault is
// not found among the rest.
func TestSuspects(t *testing.T) {
	const young, old = 30 * time.Millisecond, 2 * time.Second
	for name, c := range map[string]struct {
		runs []blame.Run
		want []int
	}{
		"nothing ran":                 {},
		"it ran alone":                {runs: []blame.Run{{Age: young}}, want: []int{0}},
		"all have worked for long":    {runs: []blame.Run{{Age: old}, {Age: old, Blamed: 1}}},
		"one has just begun":          {runs: []blame.Run{{Age: old}, {Age: young}, {Age: old, Blamed: 1}}, want: []int{1}},
		"two have just begun":         {runs: []blame.Run{{Age: young}, {Age: young}}, want: []int{0, 1}},
		"one was suspected before":    {runs: []blame.Run{{Age: young}, {Age: young, Blamed: 1}, {Age: young}}, want: []int{1}},
		"the last one is on trial":    {runs: []blame.Run{{Age: blame.ProbationPeriod + 1}, {Age: blame.ProbationPeriod}}, want: []int{1}},
		"two were suspected the same": {runs: []blame.Run{{Age: young, Blamed: 1}, {Age: young, Blamed: 1}}, want: []int{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, blame.Suspects(c.runs)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
