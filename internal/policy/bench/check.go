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
	on         map[string][]*Task
	room       map[string]capacity.Size
	teams      map[string]capacity.Size
}

// mostBroken bounds the list of violations.
const mostBroken = 10

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		servers: map[string]backend.Server{}, on: map[string][]*Task{},
		room: map[string]capacity.Size{}, teams: map[string]capacity.Size{},
	}
}

func (c *Checker) broken(format string, args ...any) {
	if len(c.Violations) < mostBroken {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckDecision checks one decision before it is applied.
func (c *Checker) CheckDecision(w *World, d plan.Decision) {
	switch d.Action {
	case plan.Place:
		c.place(w, d)
	case plan.Preempt:
		if r := w.runs[d.Task]; r != nil && r.spec.AtMostOnce {
			c.broken("%v: task %v that may run once is preempted", w.now, d.Task)
		}
	}
}

func (c *Checker) place(w *World, d plan.Decision) {
	for _, l := range d.Placements {
		r := w.runs[task.ID{Job: d.Job, Index: l.Index}]
		if r == nil || r.held {
			c.broken("%v: job %d task %d is placed and does not wait", w.now, d.Job, l.Index)
			continue
		}
		c.one(w, r, l.Server)
	}
	c.whole(w, d)
}

func (c *Checker) one(w *World, r *Task, server string) {
	s := c.servers[server]
	if s.State != backend.Ready && s.State != backend.Quarantined {
		c.broken("%v: %s is %s and is given work", w.now, server, s.State)
	}
	if s.State == backend.Quarantined && len(c.on[server]) > 0 {
		c.broken("%v: %s is quarantined and is given more than a probe", w.now, server)
	}
	c.on[server] = append(c.on[server], r)
	c.room[server] = c.room[server].Add(r.spec.Size)
	if !c.room[server].Fits(s.Capacity) {
		c.broken("%v: %s is overcommitted: %v of %v", w.now, server, c.room[server], s.Capacity)
	}
	team := r.spec.Team
	c.teams[team] = c.teams[team].Add(r.spec.Size)
	if row, ok := c.table.Row(team); !ok || !c.teams[team].Within(row.Limit) {
		c.broken("%v: team %s is above its limit: %v of %v", w.now, team, c.teams[team], row.Limit)
	}
}

// whole checks that a gang's tasks that are not done all start in one decision.
func (c *Checker) whole(w *World, d plan.Decision) {
	if len(w.jobs[d.Job]) == 0 || !w.jobs[d.Job][0].spec.AllOrNothing() {
		return
	}
	n := 0
	for _, r := range w.jobs[d.Job] {
		if w.runs[r.id] == r {
			n++
		}
	}
	if n != len(d.Placements) {
		c.broken("%v: gang %d starts %d of %d tasks", w.now, d.Job, len(d.Placements), n)
	}
}

func (c *Checker) released(r *Task) {
	c.on[r.server] = slices.DeleteFunc(c.on[r.server], func(o *Task) bool { return o == r })
	c.room[r.server] = c.room[r.server].Sub(r.spec.Size)
	c.teams[r.spec.Team] = c.teams[r.spec.Team].Sub(r.spec.Size)
}
