// Package fifo implements a simple planner: first come, first served, on the first server
// that fits. It is the baseline for the comparison with other policies.
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

// Planner places tasks in order of arrival on the first server with enough free capacity.
type Planner struct {
	// Less orders the waiting tasks. If it is nil, they are in order of arrival.
	Less func(a, b plan.WaitingTask) bool

	table     table.Table
	servers   []*server
	waiting   []plan.WaitingTask
	placed    map[task.ID]plan.PlacedTask
	teamUsage map[string]capacity.Size
}

// server is a backend server with the capacity of its placed tasks.
type server struct {
	backend.Server
	allocated capacity.Size
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner without servers, teams or tasks.
func New() *Planner {
	return &Planner{placed: map[task.ID]plan.PlacedTask{}, teamUsage: map[string]capacity.Size{}}
}

// SetTable replaces the table.
func (p *Planner) SetTable(t table.Table) { p.table = t }

// SetServer adds or updates a backend server.
func (p *Planner) SetServer(s backend.Server) {
	i, ok := slices.BinarySearchFunc(p.servers, s.ID, func(e *server, id string) int { return strings.Compare(e.ID, id) })
	if ok {
		p.servers[i].Server = s
		return
	}
	p.servers = slices.Insert(p.servers, i, &server{Server: s})
}

// AddWaiting adds a waiting task.
func (p *Planner) AddWaiting(q plan.WaitingTask) {
	i := len(p.waiting)
	for p.Less != nil && i > 0 && p.Less(q, p.waiting[i-1]) {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, q)
}

// RemoveWaiting removes a waiting task.
func (p *Planner) RemoveWaiting(id task.ID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q plan.WaitingTask) bool { return q.ID == id })
}

// SetPlaced records a placed task and removes it from the waiting tasks.
func (p *Planner) SetPlaced(h plan.PlacedTask) {
	if _, ok := p.placed[h.ID]; ok {
		p.placed[h.ID] = h
		return
	}
	p.RemoveWaiting(h.ID)
	p.placed[h.ID] = h
	p.teamUsage[h.Job.Team] = p.teamUsage[h.Job.Team].Add(h.Job.Size)
	if s := p.serverByID(h.Server); s != nil {
		s.allocated = s.allocated.Add(h.Job.Size)
	}
}

// SetUsage does nothing, because this planner uses declared sizes only.
func (p *Planner) SetUsage(task.ID, capacity.Size, time.Duration) {}

// EndAttempt frees the capacity of a placed task.
func (p *Planner) EndAttempt(id task.ID, _ plan.AttemptEnd) {
	h, ok := p.placed[id]
	if !ok {
		return
	}
	delete(p.placed, id)
	p.teamUsage[h.Job.Team] = p.teamUsage[h.Job.Team].Sub(h.Job.Size)
	if s := p.serverByID(h.Server); s != nil {
		s.allocated = s.allocated.Sub(h.Job.Size)
	}
}

// Decide places waiting tasks in order and drops jobs whose deadline has passed.
func (p *Planner) Decide(now time.Duration, limit int) []plan.Decision {
	var decisions []plan.Decision
	takenByServer := map[string]capacity.Size{}
	takenByTeam := map[string]capacity.Size{}
	for start := 0; start < len(p.waiting) && len(decisions) < limit; {
		end := start + 1
		for end < len(p.waiting) && p.waiting[start].Job.AllOrNothing() && p.waiting[end].ID.Job == p.waiting[start].ID.Job {
			end++
		}
		if d, ok := p.decideUnit(now, p.waiting[start:end], takenByServer, takenByTeam); ok {
			decisions = append(decisions, d)
		}
		start = end
	}
	return decisions
}

// decideUnit returns the decision for one unit, if any: a single task, or the adjacent
// waiting tasks of a gang.
func (p *Planner) decideUnit(now time.Duration, unit []plan.WaitingTask, takenByServer, takenByTeam map[string]capacity.Size) (plan.Decision, bool) {
	spec := unit[0].Job
	if spec.PlacementTimeout > 0 && unit[0].Attempts == 0 && now > unit[0].AcceptedAt+spec.PlacementTimeout {
		return plan.Decision{Action: plan.Drop, Job: unit[0].ID.Job, Reason: "deadline passed"}, true
	}
	if unit[0].ReadyAt > now || (spec.AllOrNothing() && len(unit) != int(spec.Count)) {
		return plan.Decision{}, false
	}
	total := spec.Size.Times(int64(len(unit)))
	if !p.withinLimit(spec, total.Add(takenByTeam[spec.Team])) {
		return plan.Decision{}, false
	}
	placements, ok := p.placeAll(unit, takenByServer)
	if !ok {
		return plan.Decision{}, false
	}
	for _, placement := range placements {
		takenByServer[placement.Server] = takenByServer[placement.Server].Add(spec.Size)
	}
	takenByTeam[spec.Team] = takenByTeam[spec.Team].Add(total)
	return plan.Decision{Action: plan.Place, Job: unit[0].ID.Job, Placements: placements}, true
}

// placeAll returns a placement for each task of the unit, or false if one does not fit.
func (p *Planner) placeAll(unit []plan.WaitingTask, takenByServer map[string]capacity.Size) ([]plan.Placement, bool) {
	size := unit[0].Job.Size
	takenByUnit := map[string]capacity.Size{}
	var placements []plan.Placement
	for _, q := range unit {
		s := p.firstFit(size, takenByServer, takenByUnit)
		if s == nil {
			return nil, false
		}
		takenByUnit[s.ID] = takenByUnit[s.ID].Add(size)
		placements = append(placements, plan.Placement{Index: q.ID.Index, Server: s.ID})
	}
	return placements, true
}

// firstFit returns the first ready server with free capacity for size, or nil.
func (p *Planner) firstFit(size capacity.Size, takenByServer, takenByUnit map[string]capacity.Size) *server {
	for _, s := range p.servers {
		if s.State != backend.Ready {
			continue
		}
		free := s.Capacity.Sub(s.allocated).Sub(takenByServer[s.ID]).Sub(takenByUnit[s.ID])
		if size.Fits(free) {
			return s
		}
	}
	return nil
}

// withinLimit reports whether the limit of the team allows more capacity.
func (p *Planner) withinLimit(spec *job.Spec, more capacity.Size) bool {
	row, ok := p.table.Row(spec.Team)
	return ok && p.teamUsage[spec.Team].Add(more).Within(row.Limit)
}

func (p *Planner) serverByID(id string) *server {
	i, ok := slices.BinarySearchFunc(p.servers, id, func(e *server, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return p.servers[i]
}
