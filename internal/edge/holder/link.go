package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
)

const (
	// clockRefresh is the longest time between two results of a watch. The leader converts the
	// ends of leases to the server's clock, which may run at another rate than its own.
	clockRefresh = 5 * time.Second
	// minHoldInterval is the least time between two holds of a watch.
	minHoldInterval = 10 * time.Millisecond
)

// link is one connection of a leader: its calls and watches, and their results.
type link struct {
	term, number uint64
	backends     Backends
	ctx          context.Context
	cancel       context.CancelFunc
	// expiry ends the link when the leader is silent.
	expiry *time.Timer
	// leaderClock is the highest clock of the leader that has arrived, in microseconds.
	leaderClock atomic.Uint64
	// places has a place for each list under way that is not a long poll.
	places chan struct{}

	mu      sync.Mutex
	results []*inner.HolderResult
	watches map[uint64]*watch
}

// watch is a hold that is repeated. The fields are guarded by the link's mu.
type watch struct {
	id   uint64
	call *inner.ServerCall
	// until and wait are the values of the next hold, as in WatchRenewal.
	until   int64
	wait    uint64
	flushed bool
	// acknowledged reports whether a hold has acknowledged the ends that the leader named. The
	// numbers of another incarnation of the server start anew, so it is done once.
	acknowledged bool
	// answerTime is the time that the server may take for an answer in addition to wait.
	answerTime time.Duration
}

func newLink(r *inner.HolderRequest, backends Backends) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		term: r.GetTerm(), number: r.GetLink(), backends: backends, ctx: ctx, cancel: cancel, expiry: time.AfterFunc(linkTimeout, cancel),
		places: make(chan struct{}, maxLists), watches: map[uint64]*watch{},
	}
}

// handle starts the calls of a request and applies its renewals and flushes.
func (l *link) handle(r *inner.HolderRequest) {
	l.expiry.Reset(linkTimeout)
	if r.GetClock() > l.leaderClock.Load() {
		l.leaderClock.Store(r.GetClock())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, renewal := range r.GetRenewals() {
		if w := l.watches[renewal.GetId()]; w != nil {
			w.until, w.wait = max(w.until, renewal.GetUntil()), renewal.GetWait()
		}
	}
	for _, id := range r.GetFlushes() {
		if w := l.watches[id]; w != nil {
			w.flushed = true
		}
	}
	for _, c := range r.GetCalls() {
		if !c.GetWatch() {
			go l.makeCall(c)
			continue
		}
		w := &watch{id: c.GetId(), call: c.GetCall(), until: c.GetCall().GetUntil(), wait: c.GetCall().GetHold().GetWait()}
		w.answerTime = time.Duration(c.GetCall().GetBudget()-w.wait) * time.Millisecond
		l.watches[w.id] = w
		go l.runWatch(w)
	}
}

// takeResults returns the results since the previous call.
func (l *link) takeResults() []*inner.HolderResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := l.results
	l.results = nil
	return results
}

func (l *link) addResult(r *inner.HolderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// makeCall makes a call that is not a watch.
func (l *link) makeCall(c *inner.HolderCall) {
	l.addResult(l.call(c.GetId(), c.GetCall()))
}

// call makes one call. A hold waits for a place among those under way: a new leader asks for the
// lists of all servers in one request.
func (l *link) call(id uint64, c *inner.ServerCall) *inner.HolderResult {
	if c.GetHold() != nil {
		release := l.takePlace()
		defer release()
	}
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(c.GetBudget())*time.Millisecond)
	defer cancel()
	asOf := l.leaderClock.Load()
	return &inner.HolderResult{Id: id, Answer: l.backends.Call(ctx, c), AsOf: asOf}
}

// takePlace waits for a place among the lists under way and returns a function that gives it
// back. A server that does not answer keeps it for placeTime only, so that silent servers do not
// delay the others.
func (l *link) takePlace() func() {
	select {
	case l.places <- struct{}{}:
	case <-l.ctx.Done():
		return func() {}
	}
	release := sync.OnceFunc(func() { <-l.places })
	timer := time.AfterFunc(placeTime, release)
	return func() { timer.Stop(); release() }
}

// runWatch repeats a hold and reports each answer that differs from the previous one. The
// watch ends with ended runs, which the leader has to commit before the next hold
// acknowledges them, with a failed call, and when it is flushed.
func (l *link) runWatch(w *watch) {
	var told *inner.ServerAnswer
	toldAt := time.Now()
	for l.ctx.Err() == nil {
		calledAt := time.Now()
		c, timeout := l.nextHold(w)
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		asOf := l.leaderClock.Load()
		answer := l.backends.Call(ctx, c)
		cancel()
		ends := answer.GetVerdict() != inner.Verdict_VERDICT_DONE || len(answer.GetEnded()) > 0
		if l.endWatch(w, ends, &inner.HolderResult{Id: w.id, Answer: answer, AsOf: asOf}) {
			return
		}
		if told != nil && time.Since(toldAt) < clockRefresh && sameList(told, answer) {
			time.Sleep(minHoldInterval - time.Since(calledAt))
			continue
		}
		told, toldAt = answer, time.Now()
		l.addResult(&inner.HolderResult{Id: w.id, Answer: answer, AsOf: asOf, Watching: true})
	}
}

// nextHold returns the next hold of a watch and its timeout.
func (l *link) nextHold(w *watch) (*inner.ServerCall, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := w.wait
	if w.flushed {
		wait = 0
	}
	ack := w.call.GetHold().GetAck()
	if w.acknowledged {
		ack = 0
	}
	c := &inner.ServerCall{
		Cell: w.call.GetCell(), Server: w.call.GetServer(), Address: w.call.GetAddress(), Fence: w.call.GetFence(), Until: w.until,
		What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{Ack: ack, Wait: wait}},
	}
	return c, time.Duration(wait)*time.Millisecond + w.answerTime
}

// endWatch ends a watch with the given result if ends is true or the watch was flushed, and
// reports whether it did.
func (l *link) endWatch(w *watch, ends bool, r *inner.HolderResult) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.acknowledged = w.acknowledged || r.GetAnswer().GetVerdict() == inner.Verdict_VERDICT_DONE
	if !ends && !w.flushed {
		return false
	}
	delete(l.watches, w.id)
	l.results = append(l.results, r)
	return true
}

// sameList reports whether two answers list the same running runs with the same progress.
func sameList(a, b *inner.ServerAnswer) bool {
	if a.GetBorn() != b.GetBorn() || len(a.GetRunning()) != len(b.GetRunning()) {
		return false
	}
	for i, run := range a.GetRunning() {
		if !proto.Equal(run, b.GetRunning()[i]) {
			return false
		}
	}
	return true
}
