package flows

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// Limits on the server crashes under one task before its flow fails.
const (
	// MaxBlamedCrashes is the number of consecutive crashes, each possibly caused by
	// the task itself, after which the task is given up. Two such crashes can be a
	// coincidence where servers crash often.
	MaxBlamedCrashes = 3
	// MaxConsecutiveCrashes is the number of consecutive crashes, whatever their cause,
	// after which the task is given up. It covers a task that crashes its servers only
	// after running for a while, because such a task cannot be
	// distinguished from the other tasks on the server.
	MaxConsecutiveCrashes = 4
	// stableRunTime is the run time after which a task is considered stable. Its crash
	// counts are then reset.
	stableRunTime = time.Minute
)

// ShutdownPlanned reports whether the end of a server was announced: the server is
// shutting down, or its machine is in maintenance.
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

// countCrash adds the crash of a server to the crash counts of the tasks that it held.
// Tasks whose run is listed in blamed may have caused the crash.
func (l *Ledger) countCrash(now time.Duration, b *Server, blamed []*inner.Run) {
	for id, h := range b.HeldRuns {
		s, ok := l.Step(id.StepID)
		if !ok || int(id.Index) >= len(s.Tasks) || s.Tasks[id.Index].LatestRun != h.Number {
			continue
		}
		t := &s.Tasks[id.Index]
		if now-h.PlacedAt >= stableRunTime {
			t.ConsecutiveCrashes, t.BlamedCrashes = 0, 0
		}
		t.ConsecutiveCrashes++
	}
	for _, m := range blamed {
		id := flow.RunIDFromMessage(m)
		if h := b.HeldRuns[id.TaskID]; h == nil || h.Number != id.Number {
			continue
		}
		if s, ok := l.Step(id.StepID); ok && int(id.Index) < len(s.Tasks) && s.Tasks[id.Index].LatestRun == id.Number {
			s.Tasks[id.Index].BlamedCrashes++
		}
	}
}

// HasOneCrashLeft reports whether one more server crash under the task may exceed the limits.
func (t *Task) HasOneCrashLeft() bool {
	return t.BlamedCrashes >= MaxBlamedCrashes-1 || t.ConsecutiveCrashes >= MaxConsecutiveCrashes-1
}

// exceedsCrashLimit reports whether more servers crashed under the task than the limits
// allow.
func (t *Task) exceedsCrashLimit() bool {
	return t.BlamedCrashes >= MaxBlamedCrashes || t.ConsecutiveCrashes >= MaxConsecutiveCrashes
}
