package flows

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/chart"
)

// Phase is the state of a task. The state chart in piece.json defines the allowed
// transitions, and phases change only through its events.
type Phase uint8

// The phases of a task.
const (
	// Queued tasks wait for a placement.
	Queued Phase = iota + 1
	// Placed tasks have a run that may be in progress.
	Placed
	// WaitingForGang tasks of a gang wait until the other members have stopped.
	WaitingForGang
	// Done tasks ended successfully.
	Done
)

// taskTransitions is the state chart of a task, keyed by phase.
var taskTransitions = transitionTable(chart.FlowTask, map[chart.State]Phase{
	chart.Queued: Queued, chart.Placed: Placed, chart.WaitingForGang: WaitingForGang, chart.Done: Done,
})

// flowTransitions is the state chart of a flow, keyed by the states of the API.
var flowTransitions = transitionTable(chart.Flow, map[chart.State]v1.FlowState{
	chart.Queued: v1.FlowState_FLOW_STATE_QUEUED, chart.Running: v1.FlowState_FLOW_STATE_RUNNING,
	chart.Done: v1.FlowState_FLOW_STATE_DONE, chart.Failed: v1.FlowState_FLOW_STATE_FAILED,
	chart.Cancelled: v1.FlowState_FLOW_STATE_CANCELLED,
})

// transitionTable loads a state chart and replaces its state names by the values in
// stateByName.
func transitionTable[S comparable](name chart.Name, stateByName map[chart.State]S) map[S]map[chart.Event]S {
	out := map[S]map[chart.Event]S{}
	for _, m := range chart.MustLoad(name).Transitions() {
		from := stateByName[m.From]
		if out[from] == nil {
			out[from] = map[chart.Event]S{}
		}
		out[from][m.Event] = stateByName[m.To]
	}
	return out
}

// flowEvents maps each flow state to the chart event that leads to it.
var flowEvents = map[v1.FlowState]chart.Event{
	v1.FlowState_FLOW_STATE_RUNNING:   chart.Start,
	v1.FlowState_FLOW_STATE_DONE:      chart.Finish,
	v1.FlowState_FLOW_STATE_FAILED:    chart.Fail,
	v1.FlowState_FLOW_STATE_CANCELLED: chart.Cancel,
}

// setFlowState changes the state of a flow. A transition that the chart does not allow
// is a bug of this program: the state stays as it is and invalidTransitions is
// incremented.
func (l *Ledger) setFlowState(f *Flow, to v1.FlowState) {
	next, ok := flowTransitions[f.State][flowEvents[to]]
	if !ok {
		l.invalidTransitions++
		return
	}
	f.State = next
}

// moveTask applies a chart event to a task and updates the phase counts of its step.
func (l *Ledger) moveTask(s *Step, index uint32, event chart.Event) {
	t := &s.Tasks[index]
	next, ok := taskTransitions[t.Phase][event]
	if !ok {
		l.invalidTransitions++
		return
	}
	s.adjustPhaseCount(t.Phase, -1)
	t.Phase = next
	s.adjustPhaseCount(next, 1)
}

func (s *Step) adjustPhaseCount(p Phase, n int) {
	switch p {
	case Queued:
		s.QueuedTasks += n
	case Placed:
		s.PlacedTasks += n
	case Done:
		s.DoneTasks += n
	}
}
