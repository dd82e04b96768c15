// Package flow defines the identifiers of flows, which are jobs made up of steps
// that depend on each other, and validates flows and configuration documents.
// Identifiers are comparable values and can be used as map keys.
package flow

import (
	"fmt"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
)

// LastingStartTime is the time after which a run of a lasting task has begun its work. That it fails
// later says nothing about its server: such tasks may fail at any time.
const LastingStartTime = 2 * time.Second

// StepID identifies a step within one turn of a flow. A turn is one execution of all
// steps; Turn is 0 for a flow that runs once.
type StepID struct {
	Flow string
	Turn uint32
	Step uint32
}

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index uint32
}

// RunID identifies one run of a task. The runs of a task are numbered from 1.
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

// RunIDFromMessage returns the identifier that a message contains.
func RunIDFromMessage(m *inner.Run) RunID {
	step := StepID{Flow: m.GetFlow(), Turn: m.GetTurn(), Step: m.GetStep()}
	return RunID{TaskID: TaskID{StepID: step, Index: m.GetIndex()}, Number: m.GetNumber()}
}

// Message returns the identifier in its message form.
func (id RunID) Message() *inner.Run {
	return &inner.Run{Flow: id.Flow, Turn: id.Turn, Step: id.Step, Index: id.Index, Number: id.Number}
}

// TaskSize returns the capacity that a task of the step uses on a server. A task
// of a step that fills spare capacity reserves no processor time, because it runs
// on what other tasks leave unused.
func TaskSize(s *v1.FlowStep) capacity.Size {
	m := s.GetSize()
	size := capacity.Size{CPU: m.GetCpu(), Memory: m.GetMemory(), Accel: m.GetAccel()}
	if s.GetFills() {
		size.CPU = 0
	}
	return size
}
