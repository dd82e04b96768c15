// Package blame decides which runs on a backend server may have caused its crash. It has no
// side effects. A task that crashes its servers does so while it starts, and other runs on the
// server are lost without a fault of their own. If all runs were blamed alike, healthy tasks
// would be given up together with the faulty one.
package blame

import "time"

// ProbationPeriod is the time after its start order within which a run may crash its server by
// starting. A suspect task does not start together with other tasks during this period.
const ProbationPeriod = 250 * time.Millisecond

// Run is a run on a server that crashed.
type Run struct {
	// Age is the maximum time from the start order of the run to the crash.
	Age time.Duration
	// Blamed is the number of earlier crashes that the task may have caused.
	Blamed uint32
}

// Suspects returns the indexes of the runs that may have caused the crash. Only runs that had
// just started can have caused it. Of these, it returns the ones that were blamed most often
// before.
func Suspects(runs []Run) []int {
	var out []int
	maxBlamed := uint32(0)
	for i, r := range runs {
		switch {
		case r.Age > ProbationPeriod || r.Blamed < maxBlamed:
			continue
		case r.Blamed > maxBlamed:
			maxBlamed, out = r.Blamed, out[:0]
		}
		out = append(out, i)
	}
	return out
}
