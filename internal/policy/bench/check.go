package bench

import (
	"fmt"
	"slices"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/plan"
)

// Checker checks every decision against the invariants: no server is overcommitted, no
// team exceeds its limit, all tasks of a gang start together, and a task runs in one
// place only.
type Checker struct {
	// Violations lists the first violations, at most maxViolations.
	Violations    []string
	table         table.Table
	servers       map[string]backend.Server
	tasksByServer map[string][]*Task
	usedCapacity  map[string]capacity.Size
	teamUsage     map[string]capacity.Size
}

// maxViolations is the maximum length of the list of violations.
const maxViolations = 10

// NewChecker returns a checker without servers and tasks.
func NewChecker() *Checker {
	return &Checker{
		servers: map[string]backend.Server{}, tasksByServer: map[string][]*Task{},
		usedCapacity: map[string]capacity.Size{}, teamUsage: map[string]capacity.Size{},
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckDecision checks one decision before it is applied.
func (c *Checker) CheckDecision(w *Simulation, d plan.Decision) {
	switch d.Action {
	case plan.Place:
		c.checkPlacements(w, d)
	case plan.Preempt:
		if t := w.unfinished[d.Task]; t != nil && t.spec.AtMostOnce {
			c.addViolation("%v: task %v of an at-most-once job is preempted", w.now, d.Task)
		}
	}
}

func (c *Checker) checkPlacements(w *Simulation, d plan.Decision) {
	for _, placement := range d.Placements {
		t := w.unfinished[task.ID{Job: d.Job, Index: placement.Index}]
		if t == nil || t.placed {
			c.addViolation("%v: job %d task %d is placed but is not waiting", w.now, d.Job, placement.Index)
			continue
		}
		c.addTask(w, t, placement.Server)
	}
	c.checkGang(w, d)
}

func (c *Checker) addTask(w *Simulation, t *Task, server string) {
	s := c.servers[server]
	if s.State != backend.Ready && s.State != backend.Quarantined {
		c.addViolation("%v: server %s in state %s gets a task", w.now, server, s.State)
	}
	if s.State == backend.Quarantined && len(c.tasksByServer[server]) > 0 {
		c.addViolation("%v: quarantined server %s gets a second task", w.now, server)
	}
	c.tasksByServer[server] = append(c.tasksByServer[server], t)
	c.usedCapacity[server] = c.usedCapacity[server].Add(t.spec.Size)
	if !c.usedCapacity[server].Fits(s.Capacity) {
		c.addViolation("%v: server %s is overcommitted: uses %v of %v", w.now, server, c.usedCapacity[server], s.Capacity)
	}
	team := t.spec.Team
	c.teamUsage[team] = c.teamUsage[team].Add(t.spec.Size)
	if row, ok := c.table.Row(team); !ok || !c.teamUsage[team].Within(row.Limit) {
		c.addViolation("%v: team %s is above its limit: uses %v of %v", w.now, team, c.teamUsage[team], row.Limit)
	}
}

// checkGang checks that one decision starts all unfinished tasks of a gang.
func (c *Checker) checkGang(w *Simulation, d plan.Decision) {
	if len(w.jobs[d.Job]) == 0 || !w.jobs[d.Job][0].spec.AllOrNothing() {
		return
	}
	n := 0
	for _, t := range w.jobs[d.Job] {
		if w.unfinished[t.id] == t {
			n++
		}
	}
	if n != len(d.Placements) {
		c.addViolation("%v: gang %d starts with %d of %d tasks", w.now, d.Job, len(d.Placements), n)
	}
}

func (c *Checker) removeTask(t *Task) {
	c.tasksByServer[t.server] = slices.DeleteFunc(c.tasksByServer[t.server], func(other *Task) bool { return other == t })
	c.usedCapacity[t.server] = c.usedCapacity[t.server].Sub(t.spec.Size)
	c.teamUsage[t.spec.Team] = c.teamUsage[t.spec.Team].Sub(t.spec.Size)
}
