// Package flow names the parts of flows: jobs of several steps that depend on
// each other. The names are values that can be compared and used as keys.
package flow

import (
	"fmt"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
)

// StepID names one step in one of a flow's turns. Turn is 0 for a flow that
// runs once.
type StepID struct {
	Flow string
	Turn uint32
	Step uint32
}

// TaskID names one task of a step.
type TaskID struct {
	StepID
	Index uint32
}

// RunID names one run of a task; the runs of a task are numbered from 1 on.
type RunID struct {
	TaskID
	Number uint32
}

// String returns FLOW.TURN.STEP.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Flow, id.Turn, id.Step) }

// String returns FLOW.TURN.STEP.INDEX.
func (id TaskID) String() string { return fmt.Sprintf("%s.%d", id.StepID, id.Index) }

// String returns FLOW.TURN.STEP.INDEX#NUMBER.
func (id RunID) String() string { return fmt.Sprintf("%s#%d", id.TaskID, id.Number) }

// RunIDFromMessage returns the name that a message carries.
func RunIDFromMessage(m *inner.Run) RunID {
	step := StepID{Flow: m.GetFlow(), Turn: m.GetTurn(), Step: m.GetStep()}
	return RunID{TaskID: TaskID{StepID: step, Index: m.GetIndex()}, Number: m.GetNumber()}
}

// Message returns the name as a message carries it.
func (id RunID) Message() *inner.Run {
	return &inner.Run{Flow: id.Flow, Turn: id.Turn, Step: id.Step, Index: id.Index, Number: id.Number}
}

// TaskSize returns what a task of the step takes from a server's capacity. A task
// that fills takes no processor time: it runs on what others leave.
func TaskSize(s *v1.FlowStep) capacity.Size {
	m := s.GetSize()
	size := capacity.Size{CPU: m.GetCpu(), Memory: m.GetMemory(), Accel: m.GetAccel()}
	if s.GetFills() {
		size.CPU = 0
	}
	return size
}
