package steps

import (
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// Cost returns how long a question about so many servers should take.
func Cost(a *v1.Advice, servers int) time.Duration {
	return time.Duration((a.GetBase() + a.GetEach()*float64(servers)) * float64(time.Millisecond))
}

// questionParts is the part of a step's run time that a question about it may take
// where a shorter one would do: with more servers to choose from, a step waits less
// for room on one of them.
const questionParts = 20

// Width returns how many servers a question names about a step whose tasks run so
// long, where no more are needed.
func Width(a *v1.Advice, takes time.Duration) int {
	ms := float64(takes/questionParts) / float64(time.Millisecond)
	if a.GetEach() <= 0 || ms <= a.GetBase() {
		return LeastAsked
	}
	return min(max(int((ms-a.GetBase())/a.GetEach()), LeastAsked), MostAsked)
}
