package leader_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
)

// quiet is a group that tells nothing.
type quiet struct{ notes chan group.Notification }

func (quiet) Propose(group.Proposal) bool                { return true }
func (q quiet) Notifications() <-chan group.Notification { return q.notes }
func (quiet) ConfirmLeadership()                         {}
func (quiet) Compact(uint64, []byte)                     {}
func (quiet) Reload()                                    {}

// work keeps the processor busy for so long.
func work(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
		continue
	}
}

// A leader on one processor has a long row of requests before it. A heartbeat that
// waited for all of them would come too late, and the leader be deposed for its load.
func TestOthersHaveTheirTurnBetweenRequests(t *testing.T) {
	const requests = 50
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := leader.New()
	l.Group, l.Now = quiet{make(chan group.Notification)}, func() time.Duration { return time.Hour }
	held, last := make(chan struct{}), make(chan struct{})
	ask := func(fn func()) { go func() { _ = l.Execute(ctx, func(*state.State) { fn() }) }() }
	ask(func() { <-held })
	go func() { _ = l.Run(ctx) }()
	time.Sleep(50 * time.Millisecond)
	for range requests {
		ask(func() { work(100 * time.Microsecond) })
	}
	time.Sleep(50 * time.Millisecond)
	var turns, ended atomic.Int64
	ask(func() { ended.Store(turns.Load()); close(last) })
	go func() {
		for ctx.Err() == nil {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	time.Sleep(50 * time.Millisecond)
	begun := turns.Load()
	close(held)
	<-last
	if got := ended.Load() - begun; got < requests/2 {
		t.Errorf("another goroutine had %d turns while %d requests were handled", got, requests)
	}
	cancel()
	<-l.Done()
}
