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

// Guards against asking the adviser about a large gang one question after the other. The
// gang needs many servers, the adviser permits a few of them and takes more than half a
// second for each question, so the start would be delayed by seconds. Free helpers have to
// ask about different servers at the same time.
func TestLargeGangQuestionsAreAskedConcurrently(t *testing.T) {
	runWithCluster(t, 120, func(t *testing.T, w *testCluster) {
		var mu sync.Mutex
		var askedServers []string
		startedAt := time.Now()
		w.adviserAnswer = func(r *inner.AdviseRequest) *inner.AdviseReply {
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
		if err := w.dispatcher.PutDocument(t.Context(), doc); err != nil {
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
		// The limit covers one second of work and one question. Another sequential question
		// would add half a second.
		if elapsed := time.Since(startedAt); elapsed > 2000*time.Millisecond {
			t.Errorf("the gang took %v to complete", elapsed)
		}
		slices.Sort(askedServers)
		if n := len(slices.Compact(slices.Clone(askedServers))); n != len(askedServers) {
			t.Errorf("%d of %d servers were asked about twice", len(askedServers)-n, len(askedServers))
		}
	})
}

// Guards against helpers that get their next question only with the next plan. After an
// outage many urgent flows wait and plans are slow and rare. Urgent flows then waited
// seconds without a question, although the adviser answers within milliseconds.
func TestHelpersAskNextQuestionBeforeNextPlan(t *testing.T) {
	const waitingFlows, helpers, answerTime = 60, 4, 10 * time.Millisecond
	runWithCluster(t, 120, func(t *testing.T, w *testCluster) {
		var mu sync.Mutex
		var lastAnswerAt time.Time
		w.adviserAnswer = func(r *inner.AdviseRequest) *inner.AdviseReply {
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
		if err := w.dispatcher.PutDocument(t.Context(), doc); err != nil {
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
		// The limit is twice the time that the helpers need for all questions, and the
		// pause of one plan.
		if elapsed := lastAnswerAt.Sub(startedAt); elapsed > 2*waitingFlows/helpers*answerTime+500*time.Millisecond {
			t.Errorf("the last answer came after %v", elapsed)
		}
	})
}
