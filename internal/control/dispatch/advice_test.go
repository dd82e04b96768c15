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
func TestLargeGangQuestionsAreAskedConcurrently(t *testing.T) {
	runWithCluster(t, 120, func(t *testing.T, w *testCluster) {
		var mu sync.Mutex
		var askedServers []string
		startedAt := time.Now()
		w.advise = func(r *inner.AdviseRequest) *inner.AdviseReply {
			if len(r.GetServers()) > 100 {
				return &inner.AdviseReply{Code: uint32(code.Malformed)}
			}
			time.Sleep(500*time.Millisecond + 8*time.Millisecond*time.Duration(len(r.GetServers())))
			mu.Lock()
			defer mu.Unlock()
			reply := &inner.AdviseReply{Valid: 2000}
			for _, s := range r.GetServers() {
				askedServers = append(askedServers, s)
				reply.Permits = append(reply.Permits, &inner.Permit{Server: s, Ticket: "ticket"})
			}
			return reply
		}
		doc := testDocument()
		doc.Version = 2
		doc.Queues[0].Advice = &v1.Advice{Base: 500, Each: 8, Valid: 2000}
		doc.Queues = append(doc.Queues, &v1.Queue{Name: "quick", Host: "host", Path: "/quick/", Pool: "pool", Timeout: 3000, Advice: &v1.Advice{Base: 5, Each: 0.1, Valid: 2000}})
		if err := w.dispatcher.Put(t.Context(), doc); err != nil {
			t.Fatal(err)
		}
		for i := range 8 {
			w.dispatcher.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
		}
		gang := newStep(30, 4000)
		gang.Gang = true
		w.submit("a", gang)
		w.awaitState("a", stateDone, 10*time.Second)
		mu.Lock()
		defer mu.Unlock()
		// A second of work, and one question's time; one long question takes half a second more.
		if elapsed := time.Since(startedAt); elapsed > 2000*time.Millisecond {
			t.Errorf("it took %v", elapsed)
		}
		slices.Sort(askedServers)
		if n := len(slices.Compact(slices.Clone(askedServers))); n != len(askedServers) {
			t.Errorf("%d of %d servers were asked about twice", len(askedServers)-n, len(askedServers))
		}
	})
}

// After an outage many urgent flows wait at once, and plans are made seldom, since
// each takes long. Urgent flows that a user waits for seconds for had no question
// asked, although the adviser answers within milliseconds: each process got its next
// question with the next plan only.
func TestHelpersAskNextQuestionBeforeNextPlan(t *testing.T) {
	const waitingFlows, helpers, answerTime = 60, 4, 10 * time.Millisecond
	runWithCluster(t, 120, func(t *testing.T, w *testCluster) {
		var mu sync.Mutex
		var lastAnswerAt time.Time
		w.advise = func(r *inner.AdviseRequest) *inner.AdviseReply {
			time.Sleep(answerTime)
			mu.Lock()
			defer mu.Unlock()
			lastAnswerAt = time.Now()
			reply := &inner.AdviseReply{Valid: 20000}
			for _, s := range r.GetServers() {
				reply.Permits = append(reply.Permits, &inner.Permit{Server: s, Ticket: "ticket"})
			}
			return reply
		}
		doc := testDocument()
		doc.Version = 2
		doc.Queues[0].Advice = &v1.Advice{Base: 5, Each: 0.1, Valid: 20000}
		if err := w.dispatcher.Put(t.Context(), doc); err != nil {
			t.Fatal(err)
		}
		for i := range helpers {
			w.dispatcher.Greet(t.Context(), &inner.Greeting{Address: fmt.Sprintf("entry%d", i)})
		}
		w.runAndWait(func() { w.startDecisionTime = 10 * time.Millisecond })
		var submits sync.WaitGroup
		for i := range waitingFlows {
			submits.Go(func() { w.submit(fmt.Sprintf("f%d", i), newStep(1, 1000)) })
		}
		submits.Wait()
		startedAt := time.Now()
		for i := range waitingFlows {
			w.awaitState(fmt.Sprintf("f%d", i), stateDone, 20*time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		// Twice the time in which the helpers ask all, and one plan's pause.
		if elapsed := lastAnswerAt.Sub(startedAt); elapsed > 2*waitingFlows/helpers*answerTime+500*time.Millisecond {
			t.Errorf("the last answer came after %v", elapsed)
		}
	})
}
