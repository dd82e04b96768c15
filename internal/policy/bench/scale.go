package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/policy/plan"
)

// FullCell is a planner over a full cell of a given size. Each Step ends some of
// the running tasks, queues new ones and asks for decisions, one at a time, as
// the control thread would at its peak.
type FullCell struct {
	// Planner decides.
	Planner plan.Planner
	// DecideTimes is the time of each call of Decide.
	DecideTimes []time.Duration

	site    Site
	rng     *rand.Rand
	teams   int
	now     time.Duration
	next    uint64
	running []running
	at      map[task.ID]int
	specs   map[uint64]*job.Spec
}

// running is a task that is held.
type running struct {
	id     task.ID
	spec   *job.Spec
	server string
	since  time.Duration
}

// NewFullCell returns a cell of that many servers, teams and running tasks, a fifth
// of them services. With 0 tasks it is filled until nothing more is placed, and
// some of each team's work is left waiting.
func NewFullCell(p plan.Planner, servers, teams, tasks int, seed uint64) *FullCell {
	site := Coralwave()
	site.Servers, site.Zones = servers, max(3, min(21, servers/100))
	s := &FullCell{Planner: p, site: site, rng: rand.New(rand.NewPCG(seed, 3)), teams: teams, specs: map[uint64]*job.Spec{}, at: map[task.ID]int{}}
	rows := make([]team.Row, 0, teams)
	for i := range teams {
		rows = append(rows, team.New(name(i)).WithGuaranteedShare(uint32(500/teams)).WithWeight(uint32(1+i%4)))
	}
	p.SetTable(table.Restore(1, rows))
	for _, b := range site.servers() {
		p.SetServer(b)
	}
	for tasks == 0 || len(s.running) < tasks {
		for range 256 {
			s.submit()
		}
		if s.decide(256) < 64 {
			break
		}
	}
	for range 4 * teams {
		s.submit()
	}
	s.DecideTimes = s.DecideTimes[:0]
	return s
}

func name(i int) string { return fmt.Sprintf("team%04d", i) }

// submit queues one task: a tenth urgent, a fifth services, the rest batch.
func (s *FullCell) submit() {
	kind := job.Batch
	switch n := s.rng.IntN(10); {
	case n == 0:
		kind = job.Urgent
	case n < 3:
		kind = job.Service
	}
	src := source{rng: s.rng, site: s.site}
	n := s.rng.IntN(5)
	size, _, mean := src.shape(min(kind, job.Batch), n)
	s.next++
	spec := &job.Spec{Team: name(s.rng.IntN(s.teams)), Kind: kind, Name: fmt.Sprint("n", n), Count: 1, Size: size, EstimatedRuntime: mean}
	s.specs[s.next] = spec
	s.Planner.AddWaiting(plan.WaitingTask{ID: task.ID{Job: s.next}, Job: spec, AcceptedAt: s.now, ReadyAt: s.now})
}

// decide asks for decisions and applies them.
func (s *FullCell) decide(limit int) int {
	began := time.Now()
	out := s.Planner.Decide(s.now, limit)
	s.DecideTimes = append(s.DecideTimes, time.Since(began))
	placed := 0
	for _, d := range out {
		switch d.Action {
		case plan.Place:
			placed += len(d.Placements)
			s.hold(d)
		case plan.Preempt:
			s.stop(d.Task)
		}
	}
	return placed
}

func (s *FullCell) hold(d plan.Decision) {
	spec := s.specs[d.Job]
	for _, l := range d.Placements {
		id := task.ID{Job: d.Job, Index: l.Index}
		s.Planner.SetPlaced(plan.PlacedTask{ID: id, Job: spec, Server: l.Server, PlacedAt: s.now})
		s.at[id] = len(s.running)
		s.running = append(s.running, running{id, spec, l.Server, s.now})
	}
}

func (s *FullCell) stop(id task.ID) {
	at := s.at[id]
	r := s.running[at]
	s.release(at)
	s.Planner.AddWaiting(plan.WaitingTask{ID: id, Job: r.spec, AcceptedAt: r.since, ReadyAt: s.now, Attempts: 1})
}

// release ends the i-th running task.
func (s *FullCell) release(i int) {
	r, last := s.running[i], s.running[len(s.running)-1]
	s.running[i] = last
	s.at[last.id] = i
	delete(s.at, r.id)
	s.running = s.running[:len(s.running)-1]
	s.Planner.EndAttempt(r.id, plan.AttemptEnd{EndedAt: s.now, Started: true})
}

// Step lets a millisecond pass in which n tasks end, n are queued, and one
// decision after the other is asked for until none is left or n are made.
func (s *FullCell) Step(n int) int {
	s.now += time.Millisecond
	for range min(n, len(s.running)) {
		s.release(s.rng.IntN(len(s.running)))
	}
	for range n {
		s.submit()
	}
	placed := 0
	for range 2 * n {
		got := s.decide(1)
		placed += got
		if got == 0 {
			break
		}
	}
	return placed
}

// Running returns the number of tasks held.
func (s *FullCell) Running() int { return len(s.running) }

// DecideP99 returns the 99th percentile of the time of one decision.
func (s *FullCell) DecideP99() time.Duration { return quantile(s.DecideTimes, 0.99) }
