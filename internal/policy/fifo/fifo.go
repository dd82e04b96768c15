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

	table     table.Table
	servers   []*server
	waiting   []plan.WaitingTask
	placed    map[task.ID]plan.PlacedTask
	teamUsage map[string]capacity.Size
}

type server struct {
	backend.Server
	allocated capacity.Size
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner that knows nothing yet.
func New() *Planner {
	return &Planner{placed: map[task.ID]plan.PlacedTask{}, teamUsage: map[string]capacity.Size{}}
}

// SetTable puts a new revision of the table in force.
func (p *Planner) SetTable(t table.Table) { p.table = t }

// SetServer adds or changes a server.
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

// RemoveWaiting forgets a waiting task.
func (p *Planner) RemoveWaiting(id task.ID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q plan.WaitingTask) bool { return q.ID == id })
}

// SetPlaced counts a placed task; it waits no more.
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

// SetUsage is ignored: this planner goes by declared sizes alone.
func (p *Planner) SetUsage(task.ID, capacity.Size, time.Duration) {}

// EndAttempt gives a placed task's capacity back.
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

// Decide places waiting tasks in order, and drops jobs past their deadline.
func (p *Planner) Decide(now time.Duration, limit int) []plan.Decision {
	var decisions []plan.Decision
	takenByServer := map[string]capacity.Size{}
	takenByTeam := map[string]capacity.Size{}
	for start := 0; start < len(p.waiting) && len(decisions) < limit; {
		end := start + 1
		for end < len(p.waiting) && p.waiting[start].Job.Whole() && p.waiting[end].ID.Job == p.waiting[start].ID.Job {
			end++
		}
		if d, ok := p.decideUnit(now, p.waiting[start:end], takenByServer, takenByTeam); ok {
			decisions = append(decisions, d)
		}
		start = end
	}
	return decisions
}

// decideUnit handles one unit: a single task, or a gang that waits as a run of tasks.
func (p *Planner) decideUnit(now time.Duration, unit []plan.WaitingTask, takenByServer, takenByTeam map[string]capacity.Size) (plan.Decision, bool) {
	spec := unit[0].Job
	if spec.Deadline > 0 && unit[0].Attempts == 0 && now > unit[0].AcceptedAt+spec.Deadline {
		return plan.Decision{Action: plan.Drop, Job: unit[0].ID.Job, Reason: "deadline passed"}, true
	}
	if unit[0].ReadyAt > now || (spec.Whole() && len(unit) != int(spec.Count)) {
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
