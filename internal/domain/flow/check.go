package flow

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// Bounds of a flow. They keep one caller's flow from filling the ledger.
const (
	// MaxInputBytes bounds what is passed to each task, in bytes.
	MaxInputBytes = 16 << 10
	// MaxSteps bounds the steps of a flow.
	MaxSteps = 256
	// MaxTasksPerTurn bounds the tasks of one turn of a flow.
	MaxTasksPerTurn = 10_000
)

// CheckSpec tells what is wrong with a flow, or nil.
func CheckSpec(s *v1.FlowSpec) *code.Error {
	switch {
	case s.GetId() == "":
		return code.New(code.Malformed, "a flow needs an id")
	case len(s.GetInput()) > MaxInputBytes:
		return code.New(code.TooLarge, "%d bytes of input, at most %d", len(s.GetInput()), MaxInputBytes)
	case len(s.GetSteps()) == 0 || len(s.GetSteps()) > MaxSteps:
		return code.New(code.Malformed, "%d steps, 1 to %d are allowed", len(s.GetSteps()), MaxSteps)
	}
	tasks := uint32(0)
	for i, step := range s.GetSteps() {
		if err := checkStep(i, step); err != nil {
			return err
		}
		if tasks += step.GetCount(); tasks > MaxTasksPerTurn {
			return code.New(code.TooLarge, "more than %d tasks", MaxTasksPerTurn)
		}
	}
	return nil
}

// checkStep looks at one step. Steps depend on earlier ones only, so that no
// circle can keep a flow waiting for itself for ever.
func checkStep(i int, s *v1.FlowStep) *code.Error {
	if s.GetCount() == 0 || s.GetCount() > MaxTasksPerTurn {
		return code.New(code.Malformed, "step %d has %d tasks, 1 to %d are allowed", i, s.GetCount(), MaxTasksPerTurn)
	}
	if size := TaskSize(s); !size.Valid() {
		return code.New(code.Malformed, "step %d has a negative size", i)
	}
	for _, before := range s.GetAfter() {
		if int(before) >= i {
			return code.New(code.Malformed, "step %d depends on step %d, which is not before it", i, before)
		}
	}
	return nil
}
