package leader_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
)

// silentGroup is a fake group that sends no notifications.
type silentGroup struct{ notifications chan group.Notification }

func (silentGroup) Propose(group.Proposal) bool                { return true }
func (q silentGroup) Notifications() <-chan group.Notification { return q.notifications }
func (silentGroup) ConfirmLeadership()                         {}
func (silentGroup) Compact(uint64, []byte)                     {}
func (silentGroup) Reload()                                    {}

// busyLoop keeps the processor busy for a duration.
func busyLoop(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
		continue
	}
}

// Guards against a leader that loses the leadership because of its own load. On one
// processor, a heartbeat that waits until all queued requests are handled is sent
// too late.
func TestOtherGoroutinesRunBetweenRequests(t *testing.T) {
	const requests = 50
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := leader.New()
	l.Group, l.Now = silentGroup{make(chan group.Notification)}, func() time.Duration { return time.Hour }
	released, lastRequestDone := make(chan struct{}), make(chan struct{})
	enqueue := func(fn func()) { go func() { _ = l.Execute(ctx, func(*state.State) { fn() }) }() }
	enqueue(func() { <-released })
	go func() { _ = l.Run(ctx) }()
	time.Sleep(50 * time.Millisecond)
	for range requests {
		enqueue(func() { busyLoop(100 * time.Microsecond) })
	}
	time.Sleep(50 * time.Millisecond)
	var turns, turnsAtEnd atomic.Int64
	enqueue(func() { turnsAtEnd.Store(turns.Load()); close(lastRequestDone) })
	go func() {
		for ctx.Err() == nil {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	time.Sleep(50 * time.Millisecond)
	turnsAtStart := turns.Load()
	close(released)
	<-lastRequestDone
	if got := turnsAtEnd.Load() - turnsAtStart; got < requests/2 {
		t.Errorf("another goroutine ran %d times while %d requests were handled", got, requests)
	}
	cancel()
	<-l.Done()
}

// Guards against a caller that waits for a control thread that stands for longer than it can.
func TestPostEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := leader.New()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for queued := true; queued; {
			queued = l.PostContext(ctx, func() {})
		}
		if ctx.Err() == nil {
			t.Error("a function was not queued before the context ended")
		}
	})
}
