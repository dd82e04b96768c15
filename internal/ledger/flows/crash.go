package flows

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// Bounds of what a task may take down with it.
const (
	// MostBlamed is after how many crashes in a row, each of which it may have caused
	// itself, a task is given up: two may come by chance where servers crash often.
	MostBlamed = 3
	// MostCrashes is the same whoever caused them: a task that crashes its servers only
	// after a while is not told from those beside it.
	MostCrashes = 4
	// soundTime is how long a run works until its task is taken for sound: it did not
	// crash this server, and what it is suspected of is forgotten.
	soundTime = time.Minute
)

// Planned tells whether the end of a server's life was announced: it leaves, or its
// machine is down for its upkeep.
func (l *Ledger) Planned(b *Server) bool {
	if b.Leaving {
		return true
	}
	for _, w := range l.waves {
		if slices.ContainsFunc(w.Machines, func(m *Machine) bool { return m.Name == b.Machine && m.Begun && !m.Done }) {
			return true
		}
	}
	return false
}

// crash counts the crash of a server under all that it held.
func (l *Ledger) crash(at time.Duration, b *Server, blamed []*inner.Run) {
	for id, h := range b.Held {
		s, ok := l.Step(id.StepID)
		if !ok || int(id.Index) >= len(s.Tasks) || s.Tasks[id.Index].Number != h.Number {
			continue
		}
		t := &s.Tasks[id.Index]
		if at-h.Since >= soundTime {
			t.Crashes, t.Blamed = 0, 0
		}
		t.Crashes++
	}
	for _, m := range blamed {
		id := flow.RunOf(m)
		if h := b.Held[id.TaskID]; h == nil || h.Number != id.Number {
			continue
		}
		if s, ok := l.Step(id.StepID); ok && int(id.Index) < len(s.Tasks) && s.Tasks[id.Index].Number == id.Number {
			s.Tasks[id.Index].Blamed++
		}
	}
}

// crashing tells whether a task has taken down more servers than it may.
func (t *Task) crashing() bool { return t.Blamed >= MostBlamed || t.Crashes >= MostCrashes }
