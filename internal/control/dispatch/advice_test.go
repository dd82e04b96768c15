package dispatch_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// A gang needs many servers, of which the adviser allows a few, and takes most of a
// second for each question. Asked one question after the other, it would begin
// seconds later; the processes that rest ask about other servers meanwhile.
func TestWideGangIsAskedAboutSideBySide(t *testing.T) {
	play(t, 120, func(t *testing.T, w *world) {
		var mu sync.Mutex
		var asked []string
		first := time.Now()
		w.advise = func(r *inner.AdviseRequest) *inner.AdviseReply {
			if len(r.GetServers()) > 100 {
				return &inner.AdviseReply{Code: uint32(code.Malformed)}
			}
			time.Sleep(500*time.Millisecond + 8*time.Millisecond*time.Duration(len(r.GetServers())))
			mu.Lock()
			defer mu.Unlock()
			rep := &inner.AdviseReply{Valid: 2000}
			for _, s := range r.GetServers() {
				asked = append(asked, s)
				rep.Permits = append(rep.Permits, &inner.Permit{Server: s, Ticket: "ticket"})
			}
			return rep
		}
		doc := document()
		doc.Version = 2
		doc.Queues[0].Advice = &v1.Advice{Base: 500, Each: 8, Valid: 2000}
		doc.Queues = append(doc.Queues, &v1.Queue{Name: "quick", Host: "host", Path: "/quick/", Pool: "pool", Timeout: 3000, Advice: &v1.Advice{Base: 5, Each: 0.1, Valid: 2000}})
		if err := w.d.Put(t.Context(), doc); err != nil {
			t.Fatal(err)
		}
		for i := range 8 {
			w.d.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
		}
		gang := step(30, 4000)
		gang.Gang = true
		w.submit("a", gang)
		w.await("a", done, 10*time.Second)
		mu.Lock()
		defer mu.Unlock()
		// A second of work, and one question's time; one long question takes half a second more.
		if took := time.Since(first); took > 2000*time.Millisecond {
			t.Errorf("it took %v", took)
		}
		slices.Sort(asked)
		if n := len(slices.Compact(slices.Clone(asked))); n != len(asked) {
			t.Errorf("%d of %d servers were asked about twice", len(asked)-n, len(asked))
		}
	})
}

// After an outage many urgent flows wait at once, and plans are made seldom, since
// each takes long. Urgent flows that a user waits for seconds for had no question
// asked, although the adviser answers within milliseconds: each process got its next
// question with the next plan only.
func TestHelpersAskOnBetweenPlans(t *testing.T) {
	const waiting, helpers, answer = 60, 4, 10 * time.Millisecond
	play(t, 120, func(t *testing.T, w *world) {
		var mu sync.Mutex
		var last time.Time
		w.advise = func(r *inner.AdviseRequest) *inner.AdviseReply {
			time.Sleep(answer)
			mu.Lock()
			defer mu.Unlock()
			last = time.Now()
			rep := &inner.AdviseReply{Valid: 20000}
			for _, s := range r.GetServers() {
				rep.Permits = append(rep.Permits, &inner.Permit{Server: s, Ticket: "ticket"})
			}
			return rep
		}
		doc := document()
		doc.Version = 2
		doc.Queues[0].Advice = &v1.Advice{Base: 5, Each: 0.1, Valid: 20000}
		if err := w.d.Put(t.Context(), doc); err != nil {
			t.Fatal(err)
		}
		for i := range helpers {
			w.d.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
		}
		w.do(func() { w.slow = 10 * time.Millisecond })
		var all sync.WaitGroup
		for i := range waiting {
			all.Go(func() { w.submit(fmt.Sprintf("f%d", i), step(1, 1000)) })
		}
		all.Wait()
		begin := time.Now()
		for i := range waiting {
			w.await(fmt.Sprintf("f%d", i), done, 20*time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		// Twice the time in which the helpers ask all, and one plan's pause.
		if took := last.Sub(begin); took > 2*waiting/helpers*answer+500*time.Millisecond {
			t.Errorf("the last answer came after %v", took)
		}
	})
}
