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

// phaseNames are the chart's names of the phases.
var phaseNames = [...]chart.State{
	Queued: chart.Queued, Placed: chart.Placed, Stopping: chart.Stopping, WaitingForGang: chart.WaitingForGang,
	Done: chart.Done, NotRun: chart.NotRun, Unknown: chart.Unknown,
}

// taskTransitions is the chart of a task, with phases in place of names.
var taskTransitions = transitionTable(chart.MustLoad(chart.Task))

func transitionTable(c *chart.Chart) map[Phase]map[chart.Event]Phase {
	phaseByName := map[chart.State]Phase{}
	for p, name := range phaseNames {
		phaseByName[name] = Phase(p)
	}
	out := map[Phase]map[chart.Event]Phase{}
	for _, m := range c.Transitions() {
		from := phaseByName[m.From]
		if out[from] == nil {
			out[from] = map[chart.Event]Phase{}
		}
		out[from][m.Event] = phaseByName[m.To]
	}
	return out
}

// moveTask stores a changed task in the phase that the event leads to. An event
// that the chart does not allow is a fault of this program: the task keeps its
// phase, and the fault is counted for the checks to see.
func (s *State) moveTask(t *Task, event chart.Event) {
	next, ok := taskTransitions[t.Phase][event]
	if !ok {
		s.invalidTransitions++
		return
	}
	t.Phase, t.PhaseSince = next, s.now
	s.putTask(t)
}

// InvalidTransitions returns how often an event came that the charts do not allow.
func (s *State) InvalidTransitions() int { return s.invalidTransitions }

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) || p == 0 {
		return "none"
	}
	return string(phaseNames[p])
}

// HoldsCapacity tells whether a task in this phase counts as running.
func (p Phase) HoldsCapacity() bool { return p == Placed || p == Stopping }

// Final tells whether a task in this phase has ended, as far as it goes alone.
func (p Phase) Final() bool { return p >= Done }
