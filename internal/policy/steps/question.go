package steps

import (
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// QuestionDuration returns how long a question about so many servers should take.
func QuestionDuration(a *v1.Advice, servers int) time.Duration {
	return time.Duration((a.GetBase() + a.GetEach()*float64(servers)) * float64(time.Millisecond))
}

// questionParts is the part of a step's run time that a question about it may take
// where a shorter one would do: with more servers to choose from, a step waits less
// for room on one of them.
const questionParts = 20

// QuestionSize returns how many servers a question names about a step whose tasks run so
// long, where no more are needed: as many as a short part of that time allows for,
// and at least so many that they cost as much as the question itself does. What the
// adviser says of a server holds for the whole step, and a helper that asks about
// one server at a time is as busy as one that asks about seventy.
func QuestionSize(a *v1.Advice, takes time.Duration) int {
	if a.GetEach() <= 0 {
		return MinServersPerQuestion
	}
	ms := float64(takes/questionParts) / float64(time.Millisecond)
	within, worth := (ms-a.GetBase())/a.GetEach(), a.GetBase()/a.GetEach()
	return min(max(int(max(within, worth)), MinServersPerQuestion), MaxServersPerQuestion)
}
