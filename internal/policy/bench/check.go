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

// Checker holds every decision to what must always hold: no server is
// overcommitted, no team exceeds its limit, a gang starts whole, a task runs once.
type Checker struct {
	// Violations lists what was violated, the first few.
	Violations []string
	table      table.Table
	servers    map[string]backend.Server
	tasks      map[string][]*Task
	used       map[string]capacity.Size
	teamUsage  map[string]capacity.Size
}

// maxViolations bounds the list of violations.
const maxViolations = 10

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		servers: map[string]backend.Server{}, tasks: map[string][]*Task{},
		used: map[string]capacity.Size{}, teamUsage: map[string]capacity.Size{},
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckDecision checks one decision before it is applied.
func (c *Checker) CheckDecision(w *World, d plan.Decision) {
	switch d.Action {
	case plan.Place:
		c.checkPlacements(w, d)
	case plan.Preempt:
		if t := w.unfinished[d.Task]; t != nil && t.spec.Once {
			c.addViolation("%v: task %v that may run once is preempted", w.now, d.Task)
		}
	}
}

func (c *Checker) checkPlacements(w *World, d plan.Decision) {
	for _, placement := range d.Placements {
		t := w.unfinished[task.ID{Job: d.Job, Index: placement.Index}]
		if t == nil || t.placed {
			c.addViolation("%v: job %d task %d is placed and does not wait", w.now, d.Job, placement.Index)
			continue
		}
		c.addTask(w, t, placement.Server)
	}
	c.checkGang(w, d)
}

func (c *Checker) addTask(w *World, t *Task, server string) {
	s := c.servers[server]
	if s.State != backend.Ready && s.State != backend.Quarantined {
		c.addViolation("%v: %s is %s and is given work", w.now, server, s.State)
	}
	if s.State == backend.Quarantined && len(c.tasks[server]) > 0 {
		c.addViolation("%v: %s is quarantined and is given more than a probe", w.now, server)
	}
	c.tasks[server] = append(c.tasks[server], t)
	c.used[server] = c.used[server].Add(t.spec.Size)
	if !c.used[server].Fits(s.Capacity) {
		c.addViolation("%v: %s is overcommitted: %v of %v", w.now, server, c.used[server], s.Capacity)
	}
	team := t.spec.Team
	c.teamUsage[team] = c.teamUsage[team].Add(t.spec.Size)
	if row, ok := c.table.Row(team); !ok || !c.teamUsage[team].Within(row.Limit) {
		c.addViolation("%v: team %s is above its limit: %v of %v", w.now, team, c.teamUsage[team], row.Limit)
	}
}

// checkGang checks that a gang's tasks that are not done all start in one decision.
func (c *Checker) checkGang(w *World, d plan.Decision) {
	if len(w.jobs[d.Job]) == 0 || !w.jobs[d.Job][0].spec.Whole() {
		return
	}
	n := 0
	for _, t := range w.jobs[d.Job] {
		if w.unfinished[t.id] == t {
			n++
		}
	}
	if n != len(d.Placements) {
		c.addViolation("%v: gang %d starts %d of %d tasks", w.now, d.Job, len(d.Placements), n)
	}
}

func (c *Checker) removeTask(t *Task) {
	c.tasks[t.server] = slices.DeleteFunc(c.tasks[t.server], func(other *Task) bool { return other == t })
	c.used[t.server] = c.used[t.server].Sub(t.spec.Size)
	c.teamUsage[t.spec.Team] = c.teamUsage[t.spec.Team].Sub(t.spec.Size)
}
