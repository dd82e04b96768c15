package dispatch_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
	"gypsumreel/internal/replica/quorum"
)

// processor does one thing after the other, as a process with one core does.
type processor struct {
	queue chan func()
}

// burden gives a world's leader a processor, until end is called.
func burden(w *world) (p *processor, end func()) {
	p = &processor{queue: make(chan func(), 100_000)}
	go func() {
		for fn := range p.queue {
			fn()
		}
	}()
	cost := func() { p.work(callCost) }
	w.cost.Store(&cost)
	return p, func() {
		w.cost.Store(nil)
		time.Sleep(3 * time.Second)
		close(p.queue)
	}
}

// work returns when the processor has worked for so long.
func (p *processor) work(d time.Duration) {
	done := make(chan struct{})
	p.queue <- func() { time.Sleep(d); close(done) }
	<-done
}

// A cell whose leader needs most of its processor to hold its servers.
const (
	manyServers = 400
	callCost    = 2 * time.Millisecond
)

// A leader that asks a thousand servers at once keeps its heartbeats waiting behind
// the calls, is deposed for it, and so is the next.
func TestTakeoverLeavesTimeForHeartbeats(t *testing.T) {
	play(t, manyServers, func(t *testing.T, w *world) {
		p, end := burden(w)
		defer end()
		w.elect()
		worst := time.Duration(0)
		for range 40 {
			begin := time.Now()
			p.work(0)
			worst = max(worst, time.Since(begin))
			time.Sleep(50 * time.Millisecond)
		}
		if worst > quorum.DefaultElectionTimeout/2 {
			t.Errorf("a heartbeat waited for %v", worst)
		}
	})
}

// A request that comes right after an election must not wait until a thousand
// servers have said what they hold: those that have are enough.
func TestPlacementsBeginOnServersThatAnswered(t *testing.T) {
	play(t, manyServers, func(t *testing.T, w *world) {
		_, end := burden(w)
		defer end()
		w.elect()
		begin := time.Now()
		w.submit("a", step(4, 1000))
		for len(w.began()) < 4 && time.Since(begin) < 3*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(begin); took > 500*time.Millisecond {
			t.Errorf("the first tasks began after %v", took)
		}
	})
}

// A process may open fewer connections than there are servers. Those beyond are
// called through helpers, and none is taken for silent.
func TestServersBeyondTheConnectionsAreRelayed(t *testing.T) {
	play(t, 30, func(t *testing.T, w *world) {
		w.direct = func() int { return 10 }
		w.elect()
		for range 10 {
			for i := range 5 {
				w.d.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
			}
			time.Sleep(time.Second)
		}
		lately := 0
		w.mu.Lock()
		for _, at := range w.reached {
			if w.now()-at < 3*time.Second {
				lately++
			}
		}
		if len(w.relays) < 20 || lately > 10 {
			t.Errorf("%d servers are called through helpers, %d directly", len(w.relays), lately)
		}
		w.mu.Unlock()
		for i := range 30 {
			w.submit(fmt.Sprint("f", i), step(1, 4000))
		}
		for i := range 30 {
			w.await(fmt.Sprint("f", i), done, 5*time.Second)
		}
	})
}

// A replica that followed takes over. Without the processes that greeted it until then,
// it would have nobody to ask the adviser, and their callers would wait for the next
// greeting.
func TestNewLeaderAnnouncesItself(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.do(func() { w.leads = false; w.d.OnDeposed() })
		for _, address := range []string{"entry1", "entry2"} {
			w.d.RegisterProcess(&inner.Greeting{Address: address})
		}
		w.do(func() {
			w.term++
			w.leads = true
			w.d.OnElected(w.term, w.now())
		})
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		slices.Sort(w.announced)
		if diff := cmp.Diff([]string{"entry1", "entry2"}, w.announced); diff != "" {
			t.Error(diff)
		}
	})
}

// The last leader's start is still on its way when the next one has read that the server
// does not run it. Carried out then, the task would run in two places.
func TestStartOfTheLastLeaderComesAfterTheList(t *testing.T) {
	play(t, 2, func(t *testing.T, w *world) {
		w.work = func(flow.RunID) (time.Duration, inner.RunEnd) { return 5 * time.Second, inner.RunEnd_RUN_END_DONE }
		var late atomic.Int32
		w.change(func(_ string, one *worker.Worker) {
			one.Work = w.work
			one.Fault = func(c *inner.ServerCall) worker.Fault {
				if c.GetStart() != nil && late.Add(1) <= 2 {
					return worker.Fault{Late: 300 * time.Millisecond}
				}
				return worker.Fault{}
			}
		})
		w.submit("a", step(2, 3000))
		time.Sleep(20 * time.Millisecond)
		w.elect()
		begin := time.Now()
		for len(w.began()) < 2 && time.Since(begin) < 3*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(begin); took > 150*time.Millisecond {
			t.Errorf("the tasks that never started began %v after the election", took)
		}
		w.await("a", done, 15*time.Second)
	})
}
