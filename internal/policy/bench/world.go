// Package bench drives planners on a virtual clock against small fakes of the
// ledger and of backend servers, and measures what comes out.
package bench

import (
	"container/heap"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/policy/plan"
)

// Delays of the fakes.
const (
	// orderDelay is the time from a decision to its effect on a server.
	orderDelay = 5 * time.Millisecond
	// roundDelay is the time in which notes gather before a decision.
	roundDelay = 2 * time.Millisecond
	// tickPeriod is the longest time between two decisions.
	tickPeriod = 50 * time.Millisecond
	// checkpointTime is the time that a preempted task takes to stop.
	checkpointTime = 250 * time.Millisecond
	// checkpointPeriod is the time between a task's own checkpoints; what it did
	// since the last one is lost when it is stopped.
	checkpointPeriod = 30 * time.Second
	// leaseTime is the time from a server's silence until its tasks are proved lost.
	leaseTime = time.Second
	// reportPeriod is the time between reports of use.
	reportPeriod = 10 * time.Second
	// batchOf is the number of decisions asked for at once.
	batchOf = 64
)

// Task is one task in the fakes, with its latest attempt.
type Task struct {
	id       task.ID
	spec     *job.Spec
	accepted time.Duration
	waits    time.Duration
	left     time.Duration
	used     capacity.Size
	crashes  bool
	attempts uint32
	// fresh is true until the first placement, and after a loss.
	fresh    bool
	held     bool
	stopping bool
	over     bool
	since    time.Duration
	server   string
	base     time.Duration
	// why is what it was last stopped for.
	why string
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World is the fake ledger and its fake servers.
type World struct {
	// Planner decides.
	Planner plan.Planner
	// Checker is told of every decision.
	Checker *Checker
	// Metrics takes the measures.
	Metrics *Metrics

	now     time.Duration
	queue   events
	seq     int
	pending bool
	started bool
	servers map[string]backend.Server
	order   []string
	runs    map[task.ID]*Task
	jobs    map[uint64][]*Task
	holes   map[string]bool
	// dead are the servers that went silent, and when.
	dead map[string]time.Duration
	// given are the jobs given up or dropped.
	given   map[uint64]bool
	table   table.Table
	nextJob uint64
	// most is the largest server's capacity.
	most capacity.Size
}

// NewWorld returns a world with the servers and the table given.
func NewWorld(p plan.Planner, servers []backend.Server, t table.Table) *World {
	w := &World{
		Planner: p, Checker: NewChecker(), servers: map[string]backend.Server{}, runs: map[task.ID]*Task{},
		jobs: map[uint64][]*Task{}, holes: map[string]bool{}, dead: map[string]time.Duration{}, given: map[uint64]bool{},
	}
	w.Metrics = newMeter(w)
	w.SetTable(t)
	for _, s := range servers {
		w.order = append(w.order, s.ID)
		w.most = w.most.Max(s.Capacity)
		w.SetServer(s)
	}
	return w
}

// Schedule has fn run at the given time.
func (w *World) Schedule(at time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{max(at, w.now), w.seq, fn})
}

// Run plays until the given time.
func (w *World) Run(until time.Duration) {
	if !w.started {
		w.started = true
		w.tick()
		w.report()
	}
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *World) tick() {
	w.decide()
	w.Schedule(w.now+tickPeriod, w.tick)
}

// poke has a decision follow soon.
func (w *World) poke() {
	if w.pending {
		return
	}
	w.pending = true
	w.Schedule(w.now+roundDelay, func() { w.pending = false; w.decide() })
}

// SetTable puts a table in force.
func (w *World) SetTable(t table.Table) {
	w.table = t
	w.Checker.table = t
	w.Planner.SetTable(t)
	w.poke()
}

// SetServer adds or changes a server.
func (w *World) SetServer(s backend.Server) {
	w.servers[s.ID] = s
	w.Checker.servers[s.ID] = s
	w.Planner.SetServer(s)
	w.poke()
}

// Submit queues a job whose tasks run for the times given.
func (w *World) Submit(spec *job.Spec, times []time.Duration, used capacity.Size, crashes bool) uint64 {
	w.nextJob++
	id := w.nextJob
	for i, d := range times {
		r := &Task{
			id: task.ID{Job: id, Index: uint32(i)}, spec: spec, accepted: w.now, waits: w.now,
			left: d, used: used, crashes: crashes, fresh: true,
		}
		w.runs[r.id] = r
		w.jobs[id] = append(w.jobs[id], r)
		w.enqueue(r)
	}
	w.Metrics.submitted(id)
	return id
}

func (w *World) enqueue(r *Task) {
	w.Metrics.notes++
	w.Planner.AddWaiting(plan.WaitingTask{ID: r.id, Job: r.spec, AcceptedAt: r.accepted, ReadyAt: w.now, Attempts: r.attempts})
	w.poke()
}

// Cancel takes what waits of the job out of the queue.
func (w *World) Cancel(id uint64) {
	for _, r := range w.jobs[id] {
		if w.runs[r.id] == r && !r.held {
			delete(w.runs, r.id)
			w.Planner.RemoveWaiting(r.id)
		}
	}
	w.poke()
}

func (w *World) decide() {
	for {
		out := w.Metrics.time(func() []plan.Decision { return w.Planner.Decide(w.now, batchOf) })
		for _, d := range out {
			w.apply(d)
		}
		if len(out) < batchOf {
			return
		}
	}
}

func (w *World) apply(d plan.Decision) {
	w.Checker.CheckDecision(w, d)
	w.Metrics.decided(d)
	switch d.Action {
	case plan.Place:
		for _, l := range d.Placements {
			w.place(w.runs[task.ID{Job: d.Job, Index: l.Index}], l.Server)
		}
	case plan.Preempt, plan.Stop:
		w.stop(w.runs[d.Task], d.Reason)
	case plan.Throttle:
		w.throttle(w.runs[d.Task])
	case plan.Drop, plan.Park:
		w.given[d.Job] = true
		w.Cancel(d.Job)
	case plan.Quarantine:
		w.SetServer(w.servers[d.Server].WithState(backend.Quarantined, w.now))
	case plan.Restore:
		w.SetServer(w.servers[d.Server].WithState(backend.Ready, w.now))
	}
}

func (w *World) place(r *Task, server string) {
	w.Metrics.placed(r)
	r.held, r.fresh, r.server, r.since = true, false, server, w.now
	r.attempts++
	r.base = w.now + orderDelay
	w.Planner.SetPlaced(plan.PlacedTask{ID: r.id, Job: r.spec, AcceptedAt: r.accepted, Server: server, PlacedAt: w.now})
	n := r.attempts
	length := r.left
	failed := r.crashes || w.holes[server]
	if failed {
		length = min(length, 200*time.Millisecond)
	}
	w.Schedule(r.base+length, func() { w.end(r, n, failed) })
}

// end is a task ending by itself.
func (w *World) end(r *Task, attempt uint32, failed bool) {
	if _, dead := w.dead[r.server]; dead || !r.held || r.attempts != attempt {
		return
	}
	if failed {
		w.release(r, plan.AttemptEnd{EndedAt: w.now, Started: true, Failed: true}, true)
		return
	}
	w.Metrics.finished(r)
	w.release(r, plan.AttemptEnd{EndedAt: w.now, Started: true}, false)
}

func (w *World) release(r *Task, how plan.AttemptEnd, retry bool) {
	r.held, r.stopping, r.over = false, false, false
	w.Planner.EndAttempt(r.id, how)
	w.Checker.released(r)
	if !retry || w.given[r.id.Job] {
		delete(w.runs, r.id)
		w.poke()
		return
	}
	r.waits = w.now
	r.fresh = how.ServerLost
	w.enqueue(r)
}

// stop ends an attempt with a checkpoint: what was done since the last one the
// task made by itself is lost.
func (w *World) stop(r *Task, why string) {
	if r == nil || !r.held || r.stopping {
		return
	}
	r.stopping, r.why = true, why
	w.Planner.SetPlaced(plan.PlacedTask{ID: r.id, Job: r.spec, AcceptedAt: r.accepted, Server: r.server, PlacedAt: r.since, Stopping: true})
	n := r.attempts
	w.Schedule(w.now+orderDelay+checkpointTime, func() {
		if r.held && r.attempts == n {
			w.save(r)
			w.release(r, plan.AttemptEnd{EndedAt: w.now, Started: true}, true)
		}
	})
}

func (w *World) save(r *Task) {
	until := w.now
	if silent, dead := w.dead[r.server]; dead {
		until = silent
	}
	ran := max(0, until-r.base)
	kept := ran - ran%checkpointPeriod
	r.left -= kept
	w.Metrics.lost(r, ran-kept)
}

func (w *World) throttle(r *Task) {
	if r != nil && r.used.Memory <= r.spec.Size.Memory {
		r.used = r.spec.Size
	}
}

// report tells of the use of every task.
func (w *World) report() {
	for _, id := range w.order {
		for _, r := range w.Checker.on[id] {
			if w.now-r.since > time.Second && r.used != r.spec.Size {
				w.Planner.SetUsage(r.id, r.used, w.now)
			}
		}
	}
	w.Schedule(w.now+reportPeriod, w.report)
}

// FailServers takes the servers away that match, and brings them back later. They are
// marked suspect at once, or, for comparison, only when their lease is over.
func (w *World) FailServers(match func(backend.Server) bool, back time.Duration, mark bool) {
	for _, id := range w.order {
		s := w.servers[id]
		if !match(s) {
			continue
		}
		w.dead[id] = w.now
		if mark {
			w.SetServer(s.WithState(backend.Suspect, w.now))
		}
		w.Schedule(w.now+leaseTime, func() { w.gone(id) })
		w.Schedule(w.now+back, func() {
			n := w.servers[id].WithState(backend.Ready, w.now)
			n.Incarnation++
			w.SetServer(n)
		})
	}
}

func (w *World) gone(id string) {
	w.SetServer(w.servers[id].WithState(backend.Gone, w.now))
	for _, r := range append([]*Task(nil), w.Checker.on[id]...) {
		r.why = "its server was lost"
		w.save(r)
		silent := max(w.dead[id], r.since)
		w.release(r, plan.AttemptEnd{EndedAt: w.now, Started: true, ServerLost: true}, true)
		if silent == r.since && r.attempts == 1 {
			silent = r.accepted
		}
		r.waits = silent
	}
	delete(w.dead, id)
}
