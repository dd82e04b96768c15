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
	var servers []string
	for _, t := range w.jobs[id] {
		if w.unfinished[t.id] == t && t.placed {
			servers = append(servers, t.server)
		}
	}
	return servers
}

// RunningTasks returns the number of the job's tasks that run and are not being stopped.
func (w *World) RunningTasks(id uint64) int {
	n := 0
	for _, t := range w.jobs[id] {
		if t.placed && !t.stopping {
			n++
		}
	}
	return n
}

// UnfinishedTasks returns the number of the job's tasks that are neither done nor given up.
func (w *World) UnfinishedTasks(id uint64) int {
	n := 0
	for _, t := range w.jobs[id] {
		if w.unfinished[t.id] == t {
			n++
		}
	}
	return n
}

// Attempts returns the number of placements of a task.
func (w *World) Attempts(id task.ID) uint32 {
	for _, t := range w.jobs[id.Job] {
		if t.id == id {
			return t.attempts
		}
	}
	return 0
}

// TeamUsage returns what the team holds.
func (w *World) TeamUsage(name string) capacity.Size { return w.Checker.teamUsage[name] }

// DecisionCount returns how often the verb was decided.
func (w *World) DecisionCount(v plan.Action) int { return w.Metrics.actionCounts[v] }

// MaxWait returns the longest wait measured of the kind.
func (w *World) MaxWait(k job.Kind) time.Duration { return quantile(w.Metrics.waits[k], 1) }

// SetFailing has the server fail everything that starts on it, or no longer.
func (w *World) SetFailing(id string, fails bool) { w.failingServers[id] = fails }

// ReplacePlanner puts a new planner in place, told of the state as after a failover.
func (w *World) ReplacePlanner(p plan.Planner) {
	w.Planner = p
	p.SetTable(w.table)
	for _, id := range w.serverIDs {
		p.SetServer(w.servers[id])
	}
	for id := uint64(1); id <= w.lastJob; id++ {
		w.restoreJob(id)
	}
	w.scheduleDecision()
}

func (w *World) restoreJob(id uint64) {
	for _, t := range w.jobs[id] {
		switch {
		case w.unfinished[t.id] != t:
		case t.placed:
			w.Planner.SetPlaced(plan.PlacedTask{ID: t.id, Job: t.spec, AcceptedAt: t.acceptedAt, Server: t.server, PlacedAt: t.placedAt, Stopping: t.stopping})
		default:
			w.Planner.AddWaiting(plan.WaitingTask{ID: t.id, Job: t.spec, AcceptedAt: t.acceptedAt, ReadyAt: t.waitingSince, Attempts: t.attempts})
		}
	}
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }
