package state

import "gypsumreel/internal/ledger/chart"

// Phase is the state of a task. The state chart in task.json defines the allowed
// transitions, and phases change only through its events.
type Phase uint8

// The phases of a task. Placed and Stopping hold capacity.
const (
	// Queued tasks wait for a placement.
	Queued Phase = iota + 1
	// Placed tasks have an attempt that may be running.
	Placed
	// Stopping tasks have an attempt that was ordered to stop.
	Stopping
	// WaitingForGang tasks of a gang wait until the other members have stopped.
	WaitingForGang
	// Done tasks ended by themselves, or were stopped after their job was cancelled or
	// given up.
	Done
	// NotRun tasks never started and never will start.
	NotRun
	// Unknown tasks may not be repeated, and it is not known whether their program ran
	// to its end.
	Unknown
)

// phaseNames maps each phase to its name in the state chart.
var phaseNames = [...]chart.State{
	Queued: chart.Queued, Placed: chart.Placed, Stopping: chart.Stopping, WaitingForGang: chart.WaitingForGang,
	Done: chart.Done, NotRun: chart.NotRun, Unknown: chart.Unknown,
}

// taskTransitions is the state chart of a task, keyed by phase.
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

// moveTask applies a state chart event to a task and stores the task. A transition that
// the chart does not allow is a bug of this program: the task keeps its phase and
// invalidTransitions is incremented.
func (s *State) moveTask(t *Task, event chart.Event) {
	next, ok := taskTransitions[t.Phase][event]
	if !ok {
		s.invalidTransitions++
		return
	}
	t.Phase, t.PhaseSince = next, s.now
	s.putTask(t)
}

// InvalidTransitions returns the number of events that the state chart did not allow.
func (s *State) InvalidTransitions() int { return s.invalidTransitions }

// String returns the name of the phase in the state chart.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) || p == 0 {
		return "none"
	}
	return string(phaseNames[p])
}

// HoldsCapacity reports whether a task in this phase holds capacity on a server.
func (p Phase) HoldsCapacity() bool { return p == Placed || p == Stopping }

// Final reports whether a task in this phase has ended. Only the restart of a whole
// gang leads out of Done.
func (p Phase) Final() bool { return p >= Done }
