package steps

import (
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/millis"
)

// QuestionDuration returns the expected duration of a question about the given number of
// servers.
func QuestionDuration(a *v1.Advice, servers int) time.Duration {
	return millis.Scale(a.GetBase() + a.GetEach()*float64(servers))
}

// questionTimeDivisor limits the duration of a question that is larger than necessary to one
// twentieth of the run time of a task. With more allowed servers, a step waits less for room on
// one of them.
const questionTimeDivisor = 20

// QuestionSize returns the number of servers in a question about a step when the step does not
// need more. It is the number that can be asked about in one twentieth of the run time, or the
// number whose cost equals the base cost of the question if that is larger. The answer for a
// server is valid for the whole step. Without the second bound, a helper would be busy for as
// long with a question about one server as with one about seventy.
func QuestionSize(a *v1.Advice, runtime time.Duration) int {
	if a.GetEach() <= 0 {
		return MinServersPerQuestion
	}
	ms := float64(runtime/questionTimeDivisor) / float64(time.Millisecond)
	byTime, byBaseCost := (ms-a.GetBase())/a.GetEach(), a.GetBase()/a.GetEach()
	return min(max(int(max(byTime, byBaseCost)), MinServersPerQuestion), MaxServersPerQuestion)
}
