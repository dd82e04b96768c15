package steps_test

import (
	"iter"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// maxPlanTime is far beyond the time of any plan of a few servers, also on a busy machine.
const maxPlanTime = 10 * time.Second

// makeInTime makes a plan and fails the test if the plan does not end within maxPlanTime.
func makeInTime(t rapid.TB, v steps.View) steps.Plan {
	t.Helper()
	made := make(chan steps.Plan, 1)
	go func() { made <- steps.Make(v) }()
	select {
	case p := <-made:
		return p
	case <-time.After(maxPlanTime):
		t.Fatalf("the plan has not ended after %v", maxPlanTime)
		return steps.Plan{}
	}
}

// notAsked returns permissions of an adviser that was asked about no server.
func notAsked(flow.StepID) iter.Seq2[string, steps.Permission] {
	return func(func(string, steps.Permission) bool) {}
}

// Guards against a plan that never ends because the capacity of a server has shrunk below what
// runs on it.
func TestPlanWithAnOvercommittedServerEnds(t *testing.T) {
	full, free := server("full", 100), server("free", 4000)
	full.Used = capacity.Size{CPU: 200}
	asking := item("x", tasks(1, 1000))
	asking.NeedsPermit = true
	v := view([]steps.Server{full, free}, asking)
	v.Permissions, v.MaxQuestions = notAsked, 8
	plan := makeInTime(t, v)
	if len(plan.Questions) != 1 || len(plan.Questions[0].Servers) == 0 || plan.Questions[0].Servers[0] != "free" {
		t.Errorf("the plan asks %v, want a question that begins with the free server", plan.Questions)
	}
}
