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

// Server returns a server in its current state.
func (w *Simulation) Server(id string) backend.Server { return w.servers[id] }

// Table returns the current team table.
func (w *Simulation) Table() table.Table { return w.table }

// ServersOf returns the servers on which tasks of the job are placed, in the order of
// the tasks.
func (w *Simulation) ServersOf(id uint64) []string {
	var servers []string
	for _, t := range w.jobs[id] {
		if w.unfinished[t.id] == t && t.placed {
			servers = append(servers, t.server)
		}
	}
	return servers
}

// RunningTasks returns the number of the job's tasks that are placed and not being
// stopped.
func (w *Simulation) RunningTasks(id uint64) int {
	n := 0
	for _, t := range w.jobs[id] {
		if t.placed && !t.stopping {
			n++
		}
	}
	return n
}

// UnfinishedTasks returns the number of the job's tasks that are neither done nor
// cancelled.
func (w *Simulation) UnfinishedTasks(id uint64) int {
	n := 0
	for _, t := range w.jobs[id] {
		if w.unfinished[t.id] == t {
			n++
		}
	}
	return n
}

// Attempts returns how often a task was placed.
func (w *Simulation) Attempts(id task.ID) uint32 {
	for _, t := range w.jobs[id.Job] {
		if t.id == id {
			return t.attempts
		}
	}
	return 0
}

// TeamUsage returns the capacity that the team's placed tasks use.
func (w *Simulation) TeamUsage(name string) capacity.Size { return w.Checker.teamUsage[name] }

// DecisionCount returns the number of decisions of the action.
func (w *Simulation) DecisionCount(action plan.Action) int { return w.Metrics.actionCounts[action] }

// MaxWait returns the longest measured wait of the kind.
func (w *Simulation) MaxWait(k job.Kind) time.Duration { return quantile(w.Metrics.waits[k], 1) }

// SetFailing sets whether every task that starts on the server fails.
func (w *Simulation) SetFailing(id string, fails bool) { w.failingServers[id] = fails }

// ReplacePlanner replaces the planner and passes the current state to the new one, as
// a failover does.
func (w *Simulation) ReplacePlanner(p plan.Planner) {
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

func (w *Simulation) restoreJob(id uint64) {
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
func (w *Simulation) Now() time.Duration { return w.now }
