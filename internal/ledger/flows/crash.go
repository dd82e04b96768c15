package flows

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// Bounds of what a task may take down with it.
const (
	// MaxBlamedCrashes is after how many crashes in a row, each of which it may have caused
	// itself, a task is given up: two may come by chance where servers crash often.
	MaxBlamedCrashes = 3
	// MaxConsecutiveCrashes is the same whoever caused them: a task that crashes its servers only
	// after a while is not told from those beside it.
	MaxConsecutiveCrashes = 4
	// soundTime is how long a run works until its task is taken for sound: it did not
	// crash this server, and what it is suspected of is forgotten.
	soundTime = time.Minute
)

// ShutdownPlanned tells whether the end of a server's life was announced: it leaves, or its
// machine is down for its upkeep.
func (l *Ledger) ShutdownPlanned(b *Server) bool {
	if b.ShuttingDown {
		return true
	}
	for _, w := range l.waves {
		if slices.ContainsFunc(w.Machines, func(m *Machine) bool { return m.Name == b.Machine && m.MaintenanceStarted && !m.MaintenanceDone }) {
			return true
		}
	}
	return false
}

// crash counts the crash of a server under all that it held.
func (l *Ledger) crash(at time.Duration, b *Server, blamed []*inner.Run) {
	for id, h := range b.HeldRuns {
		s, ok := l.Step(id.StepID)
		if !ok || int(id.Index) >= len(s.Tasks) || s.Tasks[id.Index].LatestRun != h.Number {
			continue
		}
		t := &s.Tasks[id.Index]
		if at-h.PlacedAt >= soundTime {
			t.ConsecutiveCrashes, t.BlamedCrashes = 0, 0
		}
		t.ConsecutiveCrashes++
	}
	for _, m := range blamed {
		id := flow.RunOf(m)
		if h := b.HeldRuns[id.TaskID]; h == nil || h.Number != id.Number {
			continue
		}
		if s, ok := l.Step(id.StepID); ok && int(id.Index) < len(s.Tasks) && s.Tasks[id.Index].LatestRun == id.Number {
			s.Tasks[id.Index].BlamedCrashes++
		}
	}
}

// crashing tells whether a task has taken down more servers than it may.
func (t *Task) crashing() bool {
	return t.BlamedCrashes >= MaxBlamedCrashes || t.ConsecutiveCrashes >= MaxConsecutiveCrashes
}
