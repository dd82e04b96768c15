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

// FullCell drives a planner over a full cell of a given size. Each Step ends some
// running tasks, queues new ones and asks for single decisions, as the control thread
// does at peak load.
type FullCell struct {
	// Planner is the planner under test.
	Planner plan.Planner
	// DecideTimes holds the duration of each call of Decide.
	DecideTimes []time.Duration

	site         Site
	rng          *rand.Rand
	teams        int
	now          time.Duration
	lastJob      uint64
	running      []runningTask
	runningIndex map[task.ID]int
	specs        map[uint64]*job.Spec
}

// runningTask is a task that is placed on a server.
type runningTask struct {
	id       task.ID
	spec     *job.Spec
	server   string
	placedAt time.Duration
}

// NewFullCell returns a cell with the given numbers of servers, teams and running
// tasks. A fifth of the tasks are services. If tasks is 0, the cell is filled until
// one call of the planner places fewer than 64. Four tasks per team are left waiting.
func NewFullCell(p plan.Planner, servers, teams, tasks int, seed uint64) *FullCell {
	site := Coralwave()
	site.Servers, site.Zones = servers, max(3, min(21, servers/100))
	s := &FullCell{Planner: p, site: site, rng: rand.New(rand.NewPCG(seed, 3)), teams: teams, specs: map[uint64]*job.Spec{}, runningIndex: map[task.ID]int{}}
	rows := make([]team.Row, 0, teams)
	for i := range teams {
		rows = append(rows, team.New(teamName(i)).WithGuaranteedShare(uint32(500/teams)).WithWeight(uint32(1+i%4)))
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

func teamName(i int) string { return fmt.Sprintf("team%04d", i) }

// submit queues one task. One in ten is urgent, two in ten are services and the rest
// are batch.
func (s *FullCell) submit() {
	kind := job.Batch
	switch n := s.rng.IntN(10); {
	case n == 0:
		kind = job.Urgent
	case n < 3:
		kind = job.Service
	}
	source := jobSource{rng: s.rng, site: s.site}
	n := s.rng.IntN(5)
	size, _, mean := source.drawShape(min(kind, job.Batch), n)
	s.lastJob++
	spec := &job.Spec{Team: teamName(s.rng.IntN(s.teams)), Kind: kind, Name: fmt.Sprint("n", n), Count: 1, Size: size, EstimatedRuntime: mean}
	s.specs[s.lastJob] = spec
	s.Planner.AddWaiting(plan.WaitingTask{ID: task.ID{Job: s.lastJob}, Job: spec, AcceptedAt: s.now, ReadyAt: s.now})
}

// decide asks the planner for at most limit decisions, applies them and returns the
// number of placements.
func (s *FullCell) decide(limit int) int {
	start := time.Now()
	decisions := s.Planner.Decide(s.now, limit)
	s.DecideTimes = append(s.DecideTimes, time.Since(start))
	placed := 0
	for _, d := range decisions {
		switch d.Action {
		case plan.Place:
			placed += len(d.Placements)
			s.place(d)
		case plan.Preempt:
			s.preempt(d.Task)
		}
	}
	return placed
}

func (s *FullCell) place(decision plan.Decision) {
	spec := s.specs[decision.Job]
	for _, placement := range decision.Placements {
		id := task.ID{Job: decision.Job, Index: placement.Index}
		s.Planner.SetPlaced(plan.PlacedTask{ID: id, Job: spec, Server: placement.Server, PlacedAt: s.now})
		s.runningIndex[id] = len(s.running)
		s.running = append(s.running, runningTask{id, spec, placement.Server, s.now})
	}
}

func (s *FullCell) preempt(id task.ID) {
	i := s.runningIndex[id]
	r := s.running[i]
	s.release(i)
	s.Planner.AddWaiting(plan.WaitingTask{ID: id, Job: r.spec, AcceptedAt: r.placedAt, ReadyAt: s.now, Attempts: 1})
}

// release ends the i-th running task.
func (s *FullCell) release(i int) {
	r, last := s.running[i], s.running[len(s.running)-1]
	s.running[i] = last
	s.runningIndex[last.id] = i
	delete(s.runningIndex, r.id)
	s.running = s.running[:len(s.running)-1]
	s.Planner.EndAttempt(r.id, plan.AttemptEnd{EndedAt: s.now, Started: true})
}

// Step advances the time by 1 ms, ends n tasks, queues n tasks and asks for one
// decision at a time, at most 2n, until the planner places nothing. It returns the
// number of placements.
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
		placements := s.decide(1)
		placed += placements
		if placements == 0 {
			break
		}
	}
	return placed
}

// Running returns the number of placed tasks.
func (s *FullCell) Running() int { return len(s.running) }

// DecideP99 returns the p99 duration of a call of Decide.
func (s *FullCell) DecideP99() time.Duration { return quantile(s.DecideTimes, 0.99) }
