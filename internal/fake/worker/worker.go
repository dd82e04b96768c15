// Package worker is a stand-in for a backend server that the leader calls: it
// runs tasks for as long as a test says, keeps leases on a clock of its own,
// refuses what is fenced or old, and can lose answers, be late, or be gone.
package worker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// Fault is what goes wrong with one call.
type Fault struct {
	// Verdict is the answer in place of the worker's, which sees nothing of the
	// call; zero for none.
	Verdict inner.Verdict
	// Lost loses the answer of a call that is carried out.
	Lost bool
	// Late carries the call out so much later, and answers nothing.
	Late time.Duration
}

// End is one run that a worker saw ending.
type End struct {
	flow.RunID
	Worker string
	How    inner.RunEnd
}

// Worker is one life of a backend server. The exported fields are set before use.
type Worker struct {
	ID   string
	Born int64
	// Rate is the speed of its clock beside the true one; 0 for 1.
	Rate float64
	// HoldMax is the longest lease, StopTime how long a stop takes.
	HoldMax  time.Duration
	StopTime time.Duration
	// Work returns how long a run takes and how it ends; one whose end is
	// unspecified lasts, and is at work from its start.
	Work func(r flow.RunID) (time.Duration, inner.RunEnd)
	// Fault returns what goes wrong with a call; nil for nothing. It must not
	// call the worker.
	Fault func(c *inner.ServerCall) Fault
	// Permit tells whether a permit is good; nil for every one.
	Permit func(r flow.RunID, ticket string) bool
	// Load returns what a run shows of its use; nil for nothing. It is given the
	// pace of all runs.
	Load func(r flow.RunID, paces map[flow.TaskID]uint32) float64
	// Started is told of each run that begins.
	Started func(r flow.RunID)

	once    sync.Once
	mu      sync.Mutex
	begin   time.Time
	gone    bool
	fence   uint64
	until   int64
	runs    map[flow.TaskID]*run
	highest map[flow.TaskID]uint32
	paces   map[flow.TaskID]uint32
	ended   []*inner.EndedRun
	number  uint64
}

type run struct {
	flow.RunID
	begun    time.Time
	takes    time.Duration
	how      inner.RunEnd
	stopping time.Time
	saved    string
}

func (w *Worker) init() {
	w.once.Do(func() {
		w.begin = time.Now()
		w.runs, w.highest = map[flow.TaskID]*run{}, map[flow.TaskID]uint32{}
		w.paces = map[flow.TaskID]uint32{}
		if w.Rate == 0 {
			w.Rate = 1
		}
		if w.HoldMax == 0 {
			w.HoldMax = 6 * time.Second
		}
	})
}

// clock is the worker's clock in milliseconds. It does not start at zero.
func (w *Worker) clock() int64 {
	const first = 1000
	return first + int64(float64(time.Since(w.begin).Milliseconds())*w.Rate)
}

// Crash ends the worker's process: everything that ran is gone.
func (w *Worker) Crash() {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.runs = map[flow.TaskID]*run{}
}

// Change changes the exported fields of a worker that takes calls.
func (w *Worker) Change(fn func(w *Worker)) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	fn(w)
}

// Running returns the runs under way.
func (w *Worker) Running() []flow.RunID {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var out []flow.RunID
	for _, r := range w.runs {
		out = append(out, r.RunID)
	}
	return out
}

// Call takes one call.
func (w *Worker) Call(ctx context.Context, c *inner.ServerCall) *inner.ServerAnswer {
	w.init()
	w.mu.Lock()
	gone := w.gone
	var f Fault
	if w.Fault != nil {
		f = w.Fault(c)
	}
	w.mu.Unlock()
	switch {
	case f.Verdict != 0:
		return &inner.ServerAnswer{Verdict: f.Verdict}
	case gone:
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_ABSENT}
	case f.Late > 0:
		time.AfterFunc(f.Late, func() { w.carryOut(c) })
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	a := w.carryOut(c)
	if h := c.GetHold(); h != nil && len(a.Ended) == 0 && a.Verdict == inner.Verdict_VERDICT_DONE {
		a = w.wait(ctx, c, time.Duration(h.GetWait())*time.Millisecond, a)
	}
	if f.Lost {
		<-ctx.Done()
		return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
	}
	return a
}

// wait holds an answer back until something ends.
func (w *Worker) wait(ctx context.Context, c *inner.ServerCall, patience time.Duration, a *inner.ServerAnswer) *inner.ServerAnswer {
	const look = 5 * time.Millisecond
	for end := time.Now().Add(patience); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return a
		case <-time.After(look):
		}
		a = w.carryOut(c)
		switch {
		case a.Verdict == inner.Verdict_VERDICT_ABSENT:
			// Its process died, and the connection broke.
			return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
		case len(a.Ended) > 0:
			return a
		}
	}
	return a
}

// carryOut does what a call says.
func (w *Worker) carryOut(c *inner.ServerCall) *inner.ServerAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	a := &inner.ServerAnswer{Clock: w.clock(), Born: w.Born, Verdict: inner.Verdict_VERDICT_DONE}
	if w.gone {
		a.Verdict = inner.Verdict_VERDICT_ABSENT
		return a
	}
	if c.GetFence() < w.fence {
		a.Verdict = inner.Verdict_VERDICT_FENCED
		return a
	}
	w.fence = c.GetFence()
	w.until = max(w.until, min(c.GetUntil(), w.clock()+int64(float64(w.HoldMax.Milliseconds())*w.Rate)))
	switch what := c.GetWhat().(type) {
	case *inner.ServerCall_Start:
		a.Verdict = w.start(c, what.Start)
	case *inner.ServerCall_Stop:
		w.stop(flow.RunIDFromMessage(what.Stop.GetRun()))
	case *inner.ServerCall_Pace:
		w.paces[flow.RunIDFromMessage(what.Pace.GetRun()).TaskID] = what.Pace.GetPercent()
	case *inner.ServerCall_Hold:
		w.hold(a, what.Hold.GetAck())
	}
	return a
}

func (w *Worker) start(c *inner.ServerCall, s *inner.StartRun) inner.Verdict {
	id := flow.RunIDFromMessage(s.GetRun())
	if r := w.runs[id.TaskID]; r != nil && r.Number == id.Number {
		return inner.Verdict_VERDICT_DONE
	}
	switch {
	case id.Number <= w.highest[id.TaskID]:
		return inner.Verdict_VERDICT_OLD
	case c.GetUntil() <= w.clock():
		return inner.Verdict_VERDICT_LATE
	case w.Permit != nil && !w.Permit(id, s.GetPermit()):
		return inner.Verdict_VERDICT_PERMIT
	}
	takes, how := w.Work(id)
	w.runs[id.TaskID] = &run{RunID: id, begun: time.Now(), takes: takes, how: how, saved: s.GetCheckpoint()}
	if w.Started != nil {
		w.Started(id)
	}
	return inner.Verdict_VERDICT_DONE
}

// stop begins to stop a run; one that is not there is refused from now on.
func (w *Worker) stop(id flow.RunID) {
	w.highest[id.TaskID] = max(w.highest[id.TaskID], id.Number)
	if r := w.runs[id.TaskID]; r != nil && r.Number == id.Number && r.stopping.IsZero() {
		r.stopping = time.Now().Add(w.StopTime)
	}
	w.advance()
}

func (w *Worker) hold(a *inner.ServerAnswer, ack uint64) {
	w.ended = slices.DeleteFunc(w.ended, func(e *inner.EndedRun) bool { return e.GetNumber() <= ack })
	a.Ended = slices.Clone(w.ended)
	for _, r := range w.runs {
		percent := 100 * float64(time.Since(r.begun)) / float64(max(r.takes, 1))
		if r.how == inner.RunEnd_RUN_END_UNSPECIFIED {
			percent = 100
		}
		one := &inner.RunningRun{Run: r.Message(), Checkpoint: r.saved, Percent: min(percent, 100)}
		if w.Load != nil {
			one.Load = w.Load(r.RunID, w.paces)
		}
		a.Running = append(a.Running, one)
	}
}

// advance ends what has ended by now, in the order of the names.
func (w *Worker) advance() {
	now := time.Now()
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.String(), b.String()) })
	for _, r := range runs {
		switch {
		case w.until > 0 && w.clock() >= w.until:
			w.end(r, inner.RunEnd_RUN_END_LAPSED)
		case !r.stopping.IsZero() && !now.Before(r.stopping):
			w.end(r, inner.RunEnd_RUN_END_STOPPED)
		case r.how != inner.RunEnd_RUN_END_UNSPECIFIED && now.Sub(r.begun) >= r.takes:
			w.end(r, r.how)
		}
	}
}

func (w *Worker) end(r *run, how inner.RunEnd) {
	delete(w.runs, r.TaskID)
	w.highest[r.TaskID] = max(w.highest[r.TaskID], r.Number)
	w.number++
	w.ended = append(w.ended, &inner.EndedRun{Number: w.number, Run: r.Message(), How: how, Checkpoint: r.saved})
}
