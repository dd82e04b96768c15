// Package worker is a fake of a backend server that the leader calls. It runs tasks for
// durations that the test sets, measures leases on a clock with a configurable rate, and
// rejects calls with an old fencing token and old runs. It can lose replies, delay calls
// and crash.
package worker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// defaultListedEnds is the default of Worker.ListedEnds.
const defaultListedEnds = 500

// Fault describes the fault to inject into one call.
type Fault struct {
	// Verdict is returned without passing the call to the worker; zero for no fault.
	Verdict inner.Verdict
	// LoseReply executes the call and drops the reply.
	LoseReply bool
	// Delay executes the call after this time and sends no reply.
	Delay time.Duration
}

// RunEnding is the end of a run as seen by a worker.
type RunEnding struct {
	flow.RunID
	Worker string
	Reason inner.RunEnd
}

// Worker is one incarnation of a backend server. The exported fields are set before use.
type Worker struct {
	ID          string
	Incarnation int64
	// ClockRate is the speed of the worker's clock relative to real time; 0 for 1.
	ClockRate float64
	// MaxLease is the longest lease, and StopDuration the time that stopping a run takes.
	MaxLease     time.Duration
	StopDuration time.Duration
	// ListedEnds is the largest number of ended runs in one list; 0 for 500. The others follow when
	// these are acknowledged.
	ListedEnds int
	// RunOutcome returns the duration of a run and the reason for which it ends. A run
	// whose reason is unspecified never ends and reports 100 percent from its start.
	RunOutcome func(r flow.RunID) (time.Duration, inner.RunEnd)
	// Fault returns the fault to inject into a call. It may be nil and must not call the
	// worker.
	Fault func(c *inner.ServerCall) Fault
	// PermitValid reports whether a permit is valid; nil accepts all permits.
	PermitValid func(r flow.RunID, ticket string) bool
	// ReportedLoad returns the load that a run reports, given the pace in percent of each
	// task; may be nil.
	ReportedLoad func(r flow.RunID, paces map[flow.TaskID]uint32) float64
	// OnStart is called for each run that starts; may be nil.
	OnStart func(r flow.RunID)
	// Current returns the incarnation at the worker's address, which executes delayed calls; nil for
	// this one.
	Current func() *Worker

	initOnce     sync.Once
	mu           sync.Mutex
	createdAt    time.Time
	crashed      bool
	fencingToken uint64
	// leaseUntil is the end of the lease on the worker's clock, in milliseconds.
	leaseUntil int64
	runs       map[flow.TaskID]*run
	// highestRun holds the highest run number of each task that ended or was stopped.
	highestRun  map[flow.TaskID]uint32
	pacePercent map[flow.TaskID]uint32
	// endedRuns holds the ends of runs that the leader has not acknowledged.
	endedRuns     []*inner.EndedRun
	lastEndNumber uint64
	// lapsedEnds is the number of the latest end before the lease last expired.
	lapsedEnds uint64
}

// run is a run in progress.
type run struct {
	flow.RunID
	startedAt  time.Time
	duration   time.Duration
	endReason  inner.RunEnd
	stopAt     time.Time
	checkpoint string
}

func (w *Worker) init() {
	w.initOnce.Do(func() {
		w.createdAt = time.Now()
		w.runs, w.highestRun = map[flow.TaskID]*run{}, map[flow.TaskID]uint32{}
		w.pacePercent = map[flow.TaskID]uint32{}
		if w.ClockRate == 0 {
			w.ClockRate = 1
		}
		if w.MaxLease == 0 {
			w.MaxLease = 6 * time.Second
		}
	})
}

// clock returns the time of the worker's clock in milliseconds. The clock does not start
// at zero.
func (w *Worker) clock() int64 {
	const initialClock = 1000
	return initialClock + int64(float64(time.Since(w.createdAt).Milliseconds())*w.ClockRate)
}

// Crash ends the worker's process and all its runs.
func (w *Worker) Crash() {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
	w.runs = map[flow.TaskID]*run{}
}

// Crashed reports whether the worker's process has ended.
func (w *Worker) Crashed() bool {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// LapsedEnds returns the number of the latest end before the lease last expired. An end up to it
// that is acknowledged later may have been replaced by another run.
func (w *Worker) LapsedEnds() uint64 {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	return w.lapsedEnds
}

// Update calls fn under the worker's lock, to change exported fields while the worker
// serves calls.
func (w *Worker) Update(fn func(w *Worker)) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	fn(w)
}

// Running returns the runs in progress.
func (w *Worker) Running() []flow.RunID {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	var out []flow.RunID
	for _, r := range w.runs {
		out = append(out, r.RunID)
	}
	return out
}

// Call handles one call of the leader.
func (w *Worker) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	w.init()
	w.mu.Lock()
	crashed := w.crashed
	var f Fault
	if w.Fault != nil {
		f = w.Fault(c)
	}
	w.mu.Unlock()
	switch {
	case f.Verdict != 0:
		return &inner.ServerAnswer{Verdict: f.Verdict}
	case crashed:
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	case f.Delay > 0:
		time.AfterFunc(f.Delay, func() { w.executeLate(c) })
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	a := w.execute(c)
	if h := c.GetHold(); h != nil && len(a.Ended) == 0 && a.Verdict == inner.Verdict_VERDICT_DONE {
		a = w.waitForEnd(ctx, c, time.Duration(h.GetWait())*time.Millisecond, a)
	}
	if f.LoseReply {
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return a
}

// executeLate executes a call in the incarnation that is at the worker's address now.
func (w *Worker) executeLate(c *inner.ServerCall) {
	current := w
	if w.Current != nil {
		current = w.Current()
	}
	current.init()
	current.execute(c)
}

// waitForEnd delays a reply until a run ends, at most for longPollWait.
func (w *Worker) waitForEnd(ctx context.Context, c *inner.ServerCall, longPollWait time.Duration, a *inner.ServerAnswer) *inner.ServerAnswer {
	const checkInterval = 5 * time.Millisecond
	for deadline := time.Now().Add(longPollWait); time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return a
		case <-time.After(checkInterval):
		}
		a = w.execute(c)
		switch {
		case a.Verdict == inner.Verdict_VERDICT_ABSENT:
			// The worker crashed, which breaks the connection.
			return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
		case len(a.Ended) > 0:
			return a
		}
	}
	return a
}

// execute carries out a call and returns the reply.
func (w *Worker) execute(c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	a := &inner.ServerAnswer{Clock: w.clock(), Verdict: inner.Verdict_VERDICT_DONE}
	if w.crashed {
		a.Verdict = inner.Verdict_VERDICT_ABSENT
		return a
	}
	if c.GetFence() < w.fencingToken {
		a.Verdict = inner.Verdict_VERDICT_FENCED
		return a
	}
	w.fencingToken = c.GetFence()
	w.leaseUntil = max(w.leaseUntil, min(c.GetUntil(), w.clock()+int64(float64(w.MaxLease.Milliseconds())*w.ClockRate)))
	switch order := c.GetWhat().(type) {
	case *inner.ServerCall_Start:
		a.Verdict = w.start(c, order.Start)
	case *inner.ServerCall_Stop:
		w.stop(flow.RunIDFromMessage(order.Stop.GetRun()))
	case *inner.ServerCall_Pace:
		w.pacePercent[flow.RunIDFromMessage(order.Pace.GetRun()).TaskID] = order.Pace.GetPercent()
	case *inner.ServerCall_Hold:
		w.listRuns(a, order.Hold.GetAck())
	}
	return a
}

func (w *Worker) start(c *inner.ServerCall, s *inner.StartRun) inner.Verdict {
	id := flow.RunIDFromMessage(s.GetRun())
	if r := w.runs[id.TaskID]; r != nil && r.Number == id.Number {
		return inner.Verdict_VERDICT_DONE
	}
	switch {
	case id.Number <= w.highestRun[id.TaskID]:
		return inner.Verdict_VERDICT_OLD
	case c.GetUntil() <= w.clock():
		return inner.Verdict_VERDICT_LATE
	case w.PermitValid != nil && !w.PermitValid(id, s.GetPermit()):
		return inner.Verdict_VERDICT_PERMIT
	}
	duration, reason := w.RunOutcome(id)
	w.runs[id.TaskID] = &run{RunID: id, startedAt: time.Now(), duration: duration, endReason: reason, checkpoint: s.GetCheckpoint()}
	if w.OnStart != nil {
		w.OnStart(id)
	}
	return inner.Verdict_VERDICT_DONE
}

// stop begins to stop a run. A run that is not known is rejected from now on.
func (w *Worker) stop(id flow.RunID) {
	w.highestRun[id.TaskID] = max(w.highestRun[id.TaskID], id.Number)
	if r := w.runs[id.TaskID]; r != nil && r.Number == id.Number && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(w.StopDuration)
	}
	w.endDueRuns()
}

// listRuns adds the lists of runs to an answer. Only they name the incarnation.
func (w *Worker) listRuns(a *inner.ServerAnswer, ack uint64) {
	a.Born = w.Incarnation
	w.endedRuns = slices.DeleteFunc(w.endedRuns, func(e *inner.EndedRun) bool { return e.GetNumber() <= ack })
	listed := cmp.Or(w.ListedEnds, defaultListedEnds)
	a.Ended = slices.Clone(w.endedRuns[:min(len(w.endedRuns), listed)])
	a.Partial = len(a.Ended) == listed
	for _, r := range w.runs {
		percent := 100 * float64(time.Since(r.startedAt)) / float64(max(r.duration, 1))
		if r.endReason == inner.RunEnd_RUN_END_UNSPECIFIED {
			percent = 100
		}
		running := &inner.RunningRun{Run: r.Message(), Checkpoint: r.checkpoint, Percent: min(percent, 100)}
		if w.ReportedLoad != nil {
			running.Load = w.ReportedLoad(r.RunID, w.pacePercent)
		}
		a.Running = append(a.Running, running)
	}
}

// endDueRuns ends the runs whose lease, stop time or duration has passed, in the order of
// their names.
func (w *Worker) endDueRuns() {
	now, leaseExpired := time.Now(), w.leaseUntil > 0 && w.clock() >= w.leaseUntil
	reasons := map[*run]inner.RunEnd{}
	for _, r := range w.runs {
		switch {
		case leaseExpired:
			reasons[r] = inner.RunEnd_RUN_END_LAPSED
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			reasons[r] = inner.RunEnd_RUN_END_STOPPED
		case r.endReason != inner.RunEnd_RUN_END_UNSPECIFIED && now.Sub(r.startedAt) >= r.duration:
			reasons[r] = r.endReason
		}
	}
	for _, r := range slices.SortedFunc(maps.Keys(reasons), func(a, b *run) int { return cmp.Compare(a.String(), b.String()) }) {
		w.endRun(r, reasons[r])
	}
	if leaseExpired {
		w.lapsedEnds = w.lastEndNumber
	}
}

func (w *Worker) endRun(r *run, reason inner.RunEnd) {
	delete(w.runs, r.TaskID)
	w.highestRun[r.TaskID] = max(w.highestRun[r.TaskID], r.Number)
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, &inner.EndedRun{Number: w.lastEndNumber, Run: r.Message(), How: reason, Checkpoint: r.checkpoint})
}
