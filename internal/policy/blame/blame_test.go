package blame_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/blame"
)

// If every run on a crashed server is blamed, healthy tasks are given up. If too few are, the
// faulty task is never found.
func TestSuspects(t *testing.T) {
	const recent, old = 30 * time.Millisecond, 2 * time.Second
	for name, c := range map[string]struct {
		runs []blame.Run
		want []int
	}{
		"no run":                              {},
		"a single recent run":                 {runs: []blame.Run{{Age: recent}}, want: []int{0}},
		"all runs are old":                    {runs: []blame.Run{{Age: old}, {Age: old, Blamed: 1}}},
		"one recent run":                      {runs: []blame.Run{{Age: old}, {Age: recent}, {Age: old, Blamed: 1}}, want: []int{1}},
		"two recent runs":                     {runs: []blame.Run{{Age: recent}, {Age: recent}}, want: []int{0, 1}},
		"one recent run was blamed before":    {runs: []blame.Run{{Age: recent}, {Age: recent, Blamed: 1}, {Age: recent}}, want: []int{1}},
		"end of the probation period":         {runs: []blame.Run{{Age: blame.ProbationPeriod + 1}, {Age: blame.ProbationPeriod}}, want: []int{1}},
		"two recent runs were blamed equally": {runs: []blame.Run{{Age: recent, Blamed: 1}, {Age: recent, Blamed: 1}}, want: []int{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, blame.Suspects(c.runs)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
