package flow

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/capacity"
)

// Limits on a flow. They prevent a single flow from filling the ledger.
const (
	// MaxIDBytes is the maximum length of the id of a flow.
	MaxIDBytes = 256
	// MaxInputBytes is the maximum size of the input that is passed to each task.
	MaxInputBytes = 16 << 10
	// MaxSteps is the maximum number of steps of a flow.
	MaxSteps = 256
	// MaxTasksPerTurn is the maximum number of tasks in one turn of a flow.
	MaxTasksPerTurn = 10_000
)

// CheckSpec returns an error that describes why a flow is invalid, or nil.
func CheckSpec(s *v1.FlowSpec) *code.Error {
	switch {
	case s.GetId() == "" || len(s.GetId()) > MaxIDBytes:
		return code.New(code.Malformed, "the id of the flow has %d bytes, 1 to %d are allowed", len(s.GetId()), MaxIDBytes)
	case len(s.GetInput()) > MaxInputBytes:
		return code.New(code.TooLarge, "the input has %d bytes, at most %d are allowed", len(s.GetInput()), MaxInputBytes)
	case len(s.GetSteps()) == 0 || len(s.GetSteps()) > MaxSteps:
		return code.New(code.Malformed, "the flow has %d steps, 1 to %d are allowed", len(s.GetSteps()), MaxSteps)
	}
	taskCount := uint32(0)
	for i, step := range s.GetSteps() {
		if err := checkStep(i, step); err != nil {
			return err
		}
		if taskCount += step.GetCount(); taskCount > MaxTasksPerTurn {
			return code.New(code.TooLarge, "the flow has more than %d tasks", MaxTasksPerTurn)
		}
	}
	return nil
}

// checkStep validates step number i. A step may depend on earlier steps only, so
// that dependencies have no cycle.
func checkStep(i int, s *v1.FlowStep) *code.Error {
	if s.GetCount() == 0 || s.GetCount() > MaxTasksPerTurn {
		return code.New(code.Malformed, "step %d has %d tasks, 1 to %d are allowed", i, s.GetCount(), MaxTasksPerTurn)
	}
	if size := TaskSize(s); !size.InRange() {
		return code.New(code.Malformed, "step %d has a size with a field that is not from 0 to %d", i, int64(capacity.MaxAmount))
	}
	if millis.Duration(s.GetRuntime()) == millis.MaxDuration {
		return code.New(code.Malformed, "step %d has an estimated run time of %d ms", i, s.GetRuntime())
	}
	for _, dependency := range s.GetAfter() {
		if int(dependency) >= i {
			return code.New(code.Malformed, "step %d depends on step %d, which is not an earlier step", i, dependency)
		}
	}
	return nil
}
