package bench

import (
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/plan"
)

// Server returns the server as the ledger has it.
func (w *World) Server(id string) backend.Server { return w.servers[id] }

// Table returns the table in force.
func (w *World) Table() table.Table { return w.table }

// ServersOf returns the servers on which tasks of the job are, in the order of the tasks.
func (w *World) ServersOf(id uint64) []string {
	var on []string
	for _, r := range w.jobs[id] {
		if w.runs[r.id] == r && r.held {
			on = append(on, r.server)
		}
	}
	return on
}

// RunningTasks returns the number of the job's tasks that run and are not being stopped.
func (w *World) RunningTasks(id uint64) int {
	n := 0
	for _, r := range w.jobs[id] {
		if r.held && !r.stopping {
			n++
		}
	}
	return n
}

// UnfinishedTasks returns the number of the job's tasks that are neither done nor given up.
func (w *World) UnfinishedTasks(id uint64) int {
	n := 0
	for _, r := range w.jobs[id] {
		if w.runs[r.id] == r {
			n++
		}
	}
	return n
}

// Attempts returns the number of placements of a task.
func (w *World) Attempts(id task.ID) uint32 {
	for _, r := range w.jobs[id.Job] {
		if r.id == id {
			return r.attempts
		}
	}
	return 0
}

// TeamUsage returns what the team holds.
func (w *World) TeamUsage(name string) capacity.Size { return w.Checker.teams[name] }

// DecisionCount returns how often the verb was decided.
func (w *World) DecisionCount(v plan.Action) int { return w.Metrics.verbs[v] }

// MaxWait returns the longest wait measured of the kind.
func (w *World) MaxWait(k job.Kind) time.Duration { return quantile(w.Metrics.waits[k], 1) }

// SetFailing has the server fail everything that starts on it, or no longer.
func (w *World) SetFailing(id string, fails bool) { w.holes[id] = fails }

// ReplacePlanner puts a new planner in place, told of the state as after a failover.
func (w *World) ReplacePlanner(p plan.Planner) {
	w.Planner = p
	p.SetTable(w.table)
	for _, id := range w.order {
		p.SetServer(w.servers[id])
	}
	for id := uint64(1); id <= w.nextJob; id++ {
		w.replay(id)
	}
	w.poke()
}

func (w *World) replay(id uint64) {
	for _, r := range w.jobs[id] {
		switch {
		case w.runs[r.id] != r:
		case r.held:
			w.Planner.SetPlaced(plan.PlacedTask{ID: r.id, Job: r.spec, AcceptedAt: r.accepted, Server: r.server, PlacedAt: r.since, Stopping: r.stopping})
		default:
			w.Planner.AddWaiting(plan.WaitingTask{ID: r.id, Job: r.spec, AcceptedAt: r.accepted, ReadyAt: r.waits, Attempts: r.attempts})
		}
	}
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }
