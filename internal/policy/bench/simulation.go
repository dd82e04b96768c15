// Package bench runs planners on a virtual clock against simple fakes of the ledger
// and the backend servers, and measures waits, packing and fairness.
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

// The fakes use these delays and periods.
const (
	// orderDelay is the time until a decision takes effect on a server.
	orderDelay = 5 * time.Millisecond
	// decisionDelay is the time over which changes are collected before the next
	// decision.
	decisionDelay = 2 * time.Millisecond
	// tickPeriod is the longest time between two calls of the planner.
	tickPeriod = 50 * time.Millisecond
	// stopDuration is the time that a preempted task takes to stop.
	stopDuration = 250 * time.Millisecond
	// checkpointPeriod is the time between the checkpoints of a task. A stopped task
	// loses the work since its last checkpoint.
	checkpointPeriod = 30 * time.Second
	// leaseDuration is the time from a server's silence until its tasks count as lost.
	leaseDuration = time.Second
	// usageReportPeriod is the time between two reports of resource usage.
	usageReportPeriod = 10 * time.Second
	// decisionBatch is the maximum number of decisions of one call of the planner.
	decisionBatch = 64
)

// Task is one task of a job with the state of its latest attempt.
type Task struct {
	id           task.ID
	spec         *job.Spec
	acceptedAt   time.Duration
	waitingSince time.Duration
	remaining    time.Duration
	usage        capacity.Size
	crashes      bool
	attempts     uint32
	// measureWait is true if the next placement ends a wait that is measured: before the
	// first placement, and after the task was lost with its server.
	measureWait bool
	placed      bool
	stopping    bool
	ended       bool
	placedAt    time.Duration
	server      string
	startedAt   time.Duration
	// stopReason is the reason for which the last attempt was stopped.
	stopReason string
}

type event struct {
	at     time.Duration
	seq    int
	action func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Simulation simulates the ledger and the backend servers on a virtual clock.
type Simulation struct {
	// Planner is the planner under test.
	Planner plan.Planner
	// Checker checks every decision.
	Checker *Checker
	// Metrics collects the measurements.
	Metrics *Metrics

	now               time.Duration
	queue             eventHeap
	seq               int
	decisionScheduled bool
	started           bool
	servers           map[string]backend.Server
	serverIDs         []string
	unfinished        map[task.ID]*Task
	jobs              map[uint64][]*Task
	failingServers    map[string]bool
	// silentSince holds the time at which each silent server went silent.
	silentSince map[string]time.Duration
	// abandonedJobs holds the jobs that the planner dropped or parked.
	abandonedJobs map[uint64]bool
	table         table.Table
	lastJob       uint64
	// maxCapacity is the largest capacity of a server in each dimension.
	maxCapacity capacity.Size
}

// NewSimulation returns a simulation with the given planner, servers and team table.
func NewSimulation(p plan.Planner, servers []backend.Server, t table.Table) *Simulation {
	w := &Simulation{
		Planner: p, Checker: NewChecker(), servers: map[string]backend.Server{}, unfinished: map[task.ID]*Task{},
		jobs: map[uint64][]*Task{}, failingServers: map[string]bool{}, silentSince: map[string]time.Duration{}, abandonedJobs: map[uint64]bool{},
	}
	w.Metrics = newMetrics(w)
	w.SetTable(t)
	for _, s := range servers {
		w.serverIDs = append(w.serverIDs, s.ID)
		w.maxCapacity = w.maxCapacity.Max(s.Capacity)
		w.SetServer(s)
	}
	return w
}

// Schedule runs fn at the given virtual time, or now if that time has passed.
func (w *Simulation) Schedule(at time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{max(at, w.now), w.seq, fn})
}

// Run simulates until the given virtual time.
func (w *Simulation) Run(until time.Duration) {
	if !w.started {
		w.started = true
		w.tick()
		w.reportUsage()
	}
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.action()
	}
	w.now = until
}

func (w *Simulation) tick() {
	w.decide()
	w.Schedule(w.now+tickPeriod, w.tick)
}

// scheduleDecision schedules a call of the planner after decisionDelay unless one is
// pending.
func (w *Simulation) scheduleDecision() {
	if w.decisionScheduled {
		return
	}
	w.decisionScheduled = true
	w.Schedule(w.now+decisionDelay, func() { w.decisionScheduled = false; w.decide() })
}

// SetTable replaces the team table.
func (w *Simulation) SetTable(t table.Table) {
	w.table = t
	w.Checker.table = t
	w.Planner.SetTable(t)
	w.scheduleDecision()
}

// SetServer adds or changes a server.
func (w *Simulation) SetServer(s backend.Server) {
	w.servers[s.ID] = s
	w.Checker.servers[s.ID] = s
	w.Planner.SetServer(s)
	w.scheduleDecision()
}

// Submit queues a job with the given run time for each task and returns its number.
func (w *Simulation) Submit(spec *job.Spec, runtimes []time.Duration, usage capacity.Size, crashes bool) uint64 {
	w.lastJob++
	id := w.lastJob
	for i, runtime := range runtimes {
		t := &Task{
			id: task.ID{Job: id, Index: uint32(i)}, spec: spec, acceptedAt: w.now, waitingSince: w.now,
			remaining: runtime, usage: usage, crashes: crashes, measureWait: true,
		}
		w.unfinished[t.id] = t
		w.jobs[id] = append(w.jobs[id], t)
		w.enqueue(t)
	}
	w.Metrics.recordSubmission(id)
	return id
}

func (w *Simulation) enqueue(t *Task) {
	w.Metrics.queuedTasks++
	w.Planner.AddWaiting(plan.WaitingTask{ID: t.id, Job: t.spec, AcceptedAt: t.acceptedAt, ReadyAt: w.now, Attempts: t.attempts})
	w.scheduleDecision()
}

// Cancel removes the waiting tasks of the job from the queue.
func (w *Simulation) Cancel(id uint64) {
	for _, t := range w.jobs[id] {
		if w.unfinished[t.id] == t && !t.placed {
			delete(w.unfinished, t.id)
			w.Planner.RemoveWaiting(t.id)
		}
	}
	w.scheduleDecision()
}

func (w *Simulation) decide() {
	for {
		decisions := w.Metrics.timeDecide(func() []plan.Decision { return w.Planner.Decide(w.now, decisionBatch) })
		for _, d := range decisions {
			w.apply(d)
		}
		if len(decisions) < decisionBatch {
			return
		}
	}
}

func (w *Simulation) apply(d plan.Decision) {
	w.Checker.CheckDecision(w, d)
	w.Metrics.recordDecision(d)
	switch d.Action {
	case plan.Place:
		for _, placement := range d.Placements {
			w.place(w.unfinished[task.ID{Job: d.Job, Index: placement.Index}], placement.Server)
		}
	case plan.Preempt, plan.Stop:
		w.stop(w.unfinished[d.Task], d.Reason)
	case plan.Throttle:
		w.throttle(w.unfinished[d.Task])
	case plan.Drop, plan.Park:
		w.abandonedJobs[d.Job] = true
		w.Cancel(d.Job)
	case plan.Quarantine:
		w.SetServer(w.servers[d.Server].WithState(backend.Quarantined, w.now))
	case plan.Restore:
		w.SetServer(w.servers[d.Server].WithState(backend.Ready, w.now))
	}
}

func (w *Simulation) place(t *Task, server string) {
	w.Metrics.recordPlacement(t)
	t.placed, t.measureWait, t.server, t.placedAt = true, false, server, w.now
	t.attempts++
	t.startedAt = w.now + orderDelay
	w.Planner.SetPlaced(plan.PlacedTask{ID: t.id, Job: t.spec, AcceptedAt: t.acceptedAt, Server: server, PlacedAt: w.now})
	attempt := t.attempts
	runtime := t.remaining
	fails := t.crashes || w.failingServers[server]
	if fails {
		runtime = min(runtime, 200*time.Millisecond)
	}
	w.Schedule(t.startedAt+runtime, func() { w.finish(t, attempt, fails) })
}

// finish ends an attempt that ran to its end or failed. It does nothing if the attempt
// already ended or its server is silent.
func (w *Simulation) finish(t *Task, attempt uint32, failed bool) {
	if _, silent := w.silentSince[t.server]; silent || !t.placed || t.attempts != attempt {
		return
	}
	if failed {
		w.endAttempt(t, plan.AttemptEnd{EndedAt: w.now, Started: true, Failed: true}, true)
		return
	}
	w.Metrics.recordCompletion(t)
	w.endAttempt(t, plan.AttemptEnd{EndedAt: w.now, Started: true}, false)
}

// endAttempt ends an attempt and releases its capacity. With retry the task is queued
// again unless its job was dropped or parked.
func (w *Simulation) endAttempt(t *Task, end plan.AttemptEnd, retry bool) {
	t.placed, t.stopping, t.ended = false, false, false
	w.Planner.EndAttempt(t.id, end)
	w.Checker.removeTask(t)
	if !retry || w.abandonedJobs[t.id.Job] {
		delete(w.unfinished, t.id)
		w.scheduleDecision()
		return
	}
	t.waitingSince = w.now
	t.measureWait = end.ServerLost
	w.enqueue(t)
}

// stop ends an attempt after stopDuration. The task keeps only the work up to its last
// periodic checkpoint.
func (w *Simulation) stop(t *Task, reason string) {
	if t == nil || !t.placed || t.stopping {
		return
	}
	t.stopping, t.stopReason = true, reason
	w.Planner.SetPlaced(plan.PlacedTask{ID: t.id, Job: t.spec, AcceptedAt: t.acceptedAt, Server: t.server, PlacedAt: t.placedAt, Stopping: true})
	attempt := t.attempts
	w.Schedule(w.now+orderDelay+stopDuration, func() {
		if t.placed && t.attempts == attempt {
			w.saveProgress(t)
			w.endAttempt(t, plan.AttemptEnd{EndedAt: w.now, Started: true}, true)
		}
	})
}

func (w *Simulation) saveProgress(t *Task) {
	until := w.now
	if silentSince, silent := w.silentSince[t.server]; silent {
		until = silentSince
	}
	runTime := max(0, until-t.startedAt)
	savedWork := runTime - runTime%checkpointPeriod
	t.remaining -= savedWork
	w.Metrics.recordLostWork(t, runTime-savedWork)
}

func (w *Simulation) throttle(t *Task) {
	if t != nil && t.usage.Memory <= t.spec.Size.Memory {
		t.usage = t.spec.Size
	}
}

// reportUsage reports the usage of each task that differs from its declared size.
func (w *Simulation) reportUsage() {
	for _, id := range w.serverIDs {
		for _, t := range w.Checker.tasksByServer[id] {
			if w.now-t.placedAt > time.Second && t.usage != t.spec.Size {
				w.Planner.SetUsage(t.id, t.usage, w.now)
			}
		}
	}
	w.Schedule(w.now+usageReportPeriod, w.reportUsage)
}

// FailServers makes the matching servers silent and restores them after the outage.
// With markSuspect they are marked suspect at once. Without it they stay ready until
// their lease expires.
func (w *Simulation) FailServers(match func(backend.Server) bool, outage time.Duration, markSuspect bool) {
	for _, id := range w.serverIDs {
		s := w.servers[id]
		if !match(s) {
			continue
		}
		w.silentSince[id] = w.now
		if markSuspect {
			w.SetServer(s.WithState(backend.Suspect, w.now))
		}
		w.Schedule(w.now+leaseDuration, func() { w.expireLease(id) })
		w.Schedule(w.now+outage, func() {
			restored := w.servers[id].WithState(backend.Ready, w.now)
			restored.Incarnation++
			w.SetServer(restored)
		})
	}
}

func (w *Simulation) expireLease(id string) {
	w.SetServer(w.servers[id].WithState(backend.Gone, w.now))
	for _, t := range append([]*Task(nil), w.Checker.tasksByServer[id]...) {
		t.stopReason = "its server was lost"
		w.saveProgress(t)
		silentSince := max(w.silentSince[id], t.placedAt)
		w.endAttempt(t, plan.AttemptEnd{EndedAt: w.now, Started: true, ServerLost: true}, true)
		if silentSince == t.placedAt && t.attempts == 1 {
			silentSince = t.acceptedAt
		}
		t.waitingSince = silentSince
	}
	delete(w.silentSince, id)
}
