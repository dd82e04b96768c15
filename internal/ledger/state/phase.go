package state

import "gypsumreel/internal/ledger/chart"

// Phase is where a task stands in the ledger. The chart in task.json says which
// phase follows which; nothing here changes a phase but by an event of it.
type Phase uint8

// The phases of a task. Placed and Stopping hold capacity.
const (
	// Queued tasks wait for a placement.
	Queued Phase = iota + 1
	// Placed tasks have an attempt that may be running.
	Placed
	// Stopping tasks have an attempt that is ordered to stop.
	Stopping
	// WaitingForGang tasks of a gang wait for its other tasks to stop.
	WaitingForGang
	// Done tasks ended by themselves, or were stopped for good.
	Done
	// NotRun tasks never started and never will.
	NotRun
	// Unknown tasks may not be repeated and were lost with their server.
	Unknown
)

// names are the chart's names of the phases.
var names = [...]chart.State{
	Queued: chart.Queued, Placed: chart.Placed, Stopping: chart.Stopping, WaitingForGang: chart.WaitingForGang,
	Done: chart.Done, NotRun: chart.NotRun, Unknown: chart.Unknown,
}

// tasks is the chart of a task, with phases in place of names.
var tasks = phases(chart.MustLoad(chart.Task))

func phases(c *chart.Chart) map[Phase]map[chart.Event]Phase {
	number := map[chart.State]Phase{}
	for p, name := range names {
		number[name] = Phase(p)
	}
	out := map[Phase]map[chart.Event]Phase{}
	for _, m := range c.Transitions() {
		from := number[m.From]
		if out[from] == nil {
			out[from] = map[chart.Event]Phase{}
		}
		out[from][m.Event] = number[m.To]
	}
	return out
}

// move stores a changed task in the phase that the event leads to. An event
// that the chart does not allow is a fault of this program: the task keeps its
// phase, and the fault is counted for the checks to see.
func (s *State) move(t *Task, on chart.Event) {
	next, ok := tasks[t.Phase][on]
	if !ok {
		s.faults++
		return
	}
	t.Phase, t.PhaseSince = next, s.at
	s.putTask(t)
}

// InvalidTransitions returns how often an event came that the charts do not allow.
func (s *State) InvalidTransitions() int { return s.faults }

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(names) || p == 0 {
		return "none"
	}
	return string(names[p])
}

// HoldsCapacity tells whether a task in this phase counts as running.
func (p Phase) HoldsCapacity() bool { return p == Placed || p == Stopping }

// Final tells whether a task in this phase has ended, as far as it goes alone.
func (p Phase) Final() bool { return p >= Done }
