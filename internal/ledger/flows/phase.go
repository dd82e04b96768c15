package flows

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/chart"
)

// Phase is where a task stands. The chart in piece.json says which phase
// follows which; nothing here changes a phase but by an event of it.
type Phase uint8

// The phases of a task.
const (
	// Queued tasks wait for a placement.
	Queued Phase = iota + 1
	// Placed tasks have a run that may be running.
	Placed
	// WaitingForGang tasks of a gang wait until the others run no more.
	WaitingForGang
	// Done tasks ended well.
	Done
)

// pieces is the chart of a task, with phases in place of names.
var pieces = table(chart.FlowTask, map[chart.State]Phase{
	chart.Queued: Queued, chart.Placed: Placed, chart.WaitingForGang: WaitingForGang, chart.Done: Done,
})

// states is the chart of a flow, with the states of messages in place of names.
var states = table(chart.Flow, map[chart.State]v1.FlowState{
	chart.Queued: v1.FlowState_FLOW_STATE_QUEUED, chart.Running: v1.FlowState_FLOW_STATE_RUNNING,
	chart.Done: v1.FlowState_FLOW_STATE_DONE, chart.Failed: v1.FlowState_FLOW_STATE_FAILED,
	chart.Cancelled: v1.FlowState_FLOW_STATE_CANCELLED,
})

// table reads a chart into a table of the caller's own states.
func table[S comparable](name chart.Name, number map[chart.State]S) map[S]map[chart.Event]S {
	out := map[S]map[chart.Event]S{}
	for _, m := range chart.MustLoad(name).Transitions() {
		from := number[m.From]
		if out[from] == nil {
			out[from] = map[chart.Event]S{}
		}
		out[from][m.Event] = number[m.To]
	}
	return out
}

// ends gives the event that leads to each final state of a flow.
var ends = map[v1.FlowState]chart.Event{
	v1.FlowState_FLOW_STATE_RUNNING:   chart.Start,
	v1.FlowState_FLOW_STATE_DONE:      chart.Finish,
	v1.FlowState_FLOW_STATE_FAILED:    chart.Fail,
	v1.FlowState_FLOW_STATE_CANCELLED: chart.Cancel,
}

// state moves a flow. An event that the chart does not allow is a fault of this
// program: the state stays, and the fault is counted for the checks to see.
func (l *Ledger) state(f *Flow, to v1.FlowState) {
	next, ok := states[f.State][ends[to]]
	if !ok {
		l.faults++
		return
	}
	f.State = next
}

// move moves one task of a step and keeps the step's counts.
func (l *Ledger) move(s *Step, index uint32, on chart.Event) {
	t := &s.Tasks[index]
	next, ok := pieces[t.Phase][on]
	if !ok {
		l.faults++
		return
	}
	s.count(t.Phase, -1)
	t.Phase = next
	s.count(next, 1)
}

func (s *Step) count(p Phase, n int) {
	switch p {
	case Queued:
		s.QueuedTasks += n
	case Placed:
		s.PlacedTasks += n
	case Done:
		s.DoneTasks += n
	}
}
