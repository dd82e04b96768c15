// Package blame decides which of the runs on a backend server may have crashed it. It
// is pure. A task that crashes its servers does so as it begins, and what works there
// beside it is lost without fault: counted alike, sound work would be given up with it.
package blame

import "time"

// ProbationPeriod is how long after its order left a run may still crash its server by its
// beginning. A task that is suspected begins apart from others that begin, for so long.
const ProbationPeriod = 250 * time.Millisecond

// Run is one run on a server that crashed.
type Run struct {
	// Age is how long before the crash it was ordered to start, at the most.
	Age time.Duration
	// Blamed is how many crashes before this one its task may have caused.
	Blamed uint32
}

// Suspects returns the places of the runs that may have crashed their server: of those
// that had just begun, the ones suspected most before.
func Suspects(runs []Run) []int {
	var out []int
	most := uint32(0)
	for i, r := range runs {
		switch {
		case r.Age > ProbationPeriod || r.Blamed < most:
			continue
		case r.Blamed > most:
			most, out = r.Blamed, out[:0]
		}
		out = append(out, i)
	}
	return out
}
