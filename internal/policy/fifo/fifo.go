// Package fifo is the simplest planner: first come, first fit. It is the
// baseline that the other policies are measured against.
package fifo

import (
	"slices"
	"strings"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/plan"
)

// Planner places in order of arrival on the first server with room.
type Planner struct {
	// Less orders the waiting tasks instead of their arrival, if it is set.
	Less func(a, b plan.WaitingTask) bool

	table   table.Table
	servers []*server
	waiting []plan.WaitingTask
	held    map[task.ID]plan.PlacedTask
	teams   map[string]capacity.Size
}

type server struct {
	backend.Server
	held capacity.Size
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner that knows nothing yet.
func New() *Planner {
	return &Planner{held: map[task.ID]plan.PlacedTask{}, teams: map[string]capacity.Size{}}
}

// SetTable puts a new revision of the table in force.
func (p *Planner) SetTable(t table.Table) { p.table = t }

// SetServer adds or changes a server.
func (p *Planner) SetServer(s backend.Server) {
	at, ok := slices.BinarySearchFunc(p.servers, s.ID, func(e *server, id string) int { return strings.Compare(e.ID, id) })
	if ok {
		p.servers[at].Server = s
		return
	}
	p.servers = slices.Insert(p.servers, at, &server{Server: s})
}

// AddWaiting adds a waiting task.
func (p *Planner) AddWaiting(q plan.WaitingTask) {
	at := len(p.waiting)
	for p.Less != nil && at > 0 && p.Less(q, p.waiting[at-1]) {
		at--
	}
	p.waiting = slices.Insert(p.waiting, at, q)
}

// RemoveWaiting forgets a waiting task.
func (p *Planner) RemoveWaiting(id task.ID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q plan.WaitingTask) bool { return q.ID == id })
}

// SetPlaced counts a placed task; it waits no more.
func (p *Planner) SetPlaced(h plan.PlacedTask) {
	if _, ok := p.held[h.ID]; ok {
		p.held[h.ID] = h
		return
	}
	p.RemoveWaiting(h.ID)
	p.held[h.ID] = h
	p.teams[h.Job.Team] = p.teams[h.Job.Team].Add(h.Job.Size)
	if s := p.find(h.Server); s != nil {
		s.held = s.held.Add(h.Job.Size)
	}
}

// SetUsage is ignored: this planner goes by declared sizes alone.
func (p *Planner) SetUsage(task.ID, capacity.Size, time.Duration) {}

// EndAttempt gives a placed task's capacity back.
func (p *Planner) EndAttempt(id task.ID, _ plan.AttemptEnd) {
	h, ok := p.held[id]
	if !ok {
		return
	}
	delete(p.held, id)
	p.teams[h.Job.Team] = p.teams[h.Job.Team].Sub(h.Job.Size)
	if s := p.find(h.Server); s != nil {
		s.held = s.held.Sub(h.Job.Size)
	}
}

// Decide places waiting tasks in order, and drops jobs past their deadline.
func (p *Planner) Decide(now time.Duration, limit int) []plan.Decision {
	var out []plan.Decision
	taken := map[string]capacity.Size{}
	teams := map[string]capacity.Size{}
	for at := 0; at < len(p.waiting) && len(out) < limit; {
		end := at + 1
		for end < len(p.waiting) && p.waiting[at].Job.Whole() && p.waiting[end].ID.Job == p.waiting[at].ID.Job {
			end++
		}
		if d, ok := p.decide(now, p.waiting[at:end], taken, teams); ok {
			out = append(out, d)
		}
		at = end
	}
	return out
}

// decide handles one unit: a single task, or a gang that waits as a run of tasks.
func (p *Planner) decide(now time.Duration, unit []plan.WaitingTask, taken, teams map[string]capacity.Size) (plan.Decision, bool) {
	spec := unit[0].Job
	if spec.Deadline > 0 && unit[0].Attempts == 0 && now > unit[0].AcceptedAt+spec.Deadline {
		return plan.Decision{Action: plan.Drop, Job: unit[0].ID.Job, Reason: "deadline passed"}, true
	}
	if unit[0].ReadyAt > now || (spec.Whole() && len(unit) != int(spec.Count)) {
		return plan.Decision{}, false
	}
	total := spec.Size.Times(int64(len(unit)))
	if !p.within(spec, total.Add(teams[spec.Team])) {
		return plan.Decision{}, false
	}
	places, ok := p.fit(unit, taken)
	if !ok {
		return plan.Decision{}, false
	}
	for _, l := range places {
		taken[l.Server] = taken[l.Server].Add(spec.Size)
	}
	teams[spec.Team] = teams[spec.Team].Add(total)
	return plan.Decision{Action: plan.Place, Job: unit[0].ID.Job, Placements: places}, true
}

func (p *Planner) fit(unit []plan.WaitingTask, taken map[string]capacity.Size) ([]plan.Placement, bool) {
	size := unit[0].Job.Size
	own := map[string]capacity.Size{}
	var places []plan.Placement
	for _, q := range unit {
		s := p.first(size, taken, own)
		if s == nil {
			return nil, false
		}
		own[s.ID] = own[s.ID].Add(size)
		places = append(places, plan.Placement{Index: q.ID.Index, Server: s.ID})
	}
	return places, true
}

func (p *Planner) first(size capacity.Size, taken, own map[string]capacity.Size) *server {
	for _, s := range p.servers {
		if s.State != backend.Ready {
			continue
		}
		room := s.Capacity.Sub(s.held).Sub(taken[s.ID]).Sub(own[s.ID])
		if size.Fits(room) {
			return s
		}
	}
	return nil
}

func (p *Planner) within(spec *job.Spec, more capacity.Size) bool {
	row, ok := p.table.Row(spec.Team)
	return ok && p.teams[spec.Team].Add(more).Within(row.Limit)
}

func (p *Planner) find(id string) *server {
	at, ok := slices.BinarySearchFunc(p.servers, id, func(e *server, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return p.servers[at]
}
