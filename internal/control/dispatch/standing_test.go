package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
)

// callTimeout is the time after which the callers of these tests try another replica.
const callTimeout = time.Second

// standUntil makes the control thread stand until the channel is closed.
func (w *testCluster) standUntil(released <-chan struct{}) {
	w.Post(func() { <-released })
	time.Sleep(time.Millisecond)
}

// fillInbox queues functions until the inbox has no room.
func (w *testCluster) fillInbox() {
	for len(w.postedFuncs) < cap(w.postedFuncs) {
		w.Post(func() {})
	}
}

func submitRequest(id string) *inner.FlowAsk {
	return &inner.FlowAsk{
		Verb: inner.FlowVerb_FLOW_VERB_SUBMIT, Host: "host", Path: "/q/" + id, Key: keyHash[:],
		Spec: &v1.FlowSpec{Id: id, Steps: []*v1.FlowStep{{Count: 1, Size: &v1.Size{Cpu: 100, Memory: 100}}}},
	}
}

// Guards against calls that wait for room in the inbox of a control thread that stands, beyond
// the time at which their callers give up.
func TestCallsEndWhileTheInboxIsFull(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		released := make(chan struct{})
		defer close(released)
		w.standUntil(released)
		w.fillInbox()
		d, report := w.dispatcher, dispatch.Report{FlowServer: &record.FlowServer{Id: "s"}}
		calls := map[string]func(context.Context) *code.Error{
			"submit":      func(ctx context.Context) *code.Error { return codeOf(d.Ask(ctx, submitRequest("a"))) },
			"exit notice": func(ctx context.Context) *code.Error { return d.AcceptExitNotice(ctx, "s") },
			"report":      func(ctx context.Context) *code.Error { return d.AcceptReport(ctx, report) },
			"put":         func(ctx context.Context) *code.Error { return d.PutDocument(ctx, &v1.Document{Version: 99}) },
			"read":        func(ctx context.Context) *code.Error { _, err := d.ReadDocument(ctx); return err },
			"known report": func(ctx context.Context) *code.Error {
				if d.KnowsReport(ctx, report) {
					return nil
				}
				return code.New(code.NoLeader, "")
			},
			"greeting": func(ctx context.Context) *code.Error {
				if d.Greet(ctx, &inner.Greeting{Address: "e"}).GetLeads() {
					return nil
				}
				return code.New(code.NoLeader, "")
			},
			"registration": func(ctx context.Context) *code.Error {
				d.RegisterProcess(ctx, &inner.Greeting{Address: "e"})
				return code.New(code.NoLeader, "")
			},
		}
		for name, call := range calls {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			startedAt := w.now()
			if err := call(ctx); err == nil || err.Code != code.NoLeader || w.now()-startedAt > callTimeout {
				t.Errorf("%s: got %v after %v, want NoLeader within %v", name, err, w.now()-startedAt, callTimeout)
			}
			cancel()
		}
	})
}

func codeOf(a *inner.FlowAnswer) *code.Error {
	return code.New(code.Code(a.GetCode()), "%s", a.GetDetail())
}

// Guards against an unknown outcome for a request that the leader has not begun, and against
// executing it after its caller was told that it did not run.
func TestRequestThatWasNotBegunDoesNotRunLater(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		released := make(chan struct{})
		w.standUntil(released)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		if answer := w.dispatcher.Ask(ctx, submitRequest("a")); code.Code(answer.GetCode()) != code.NoLeader {
			t.Errorf("got answer %v, want NoLeader", answer)
		}
		close(released)
		w.runAndWait(func() {
			if _, ok := w.ledger.Flow("a"); ok {
				t.Error("the flow was accepted after its caller was told that it did not run")
			}
		})
	})
}

// Guards against "not run" for a request that the leader has begun and not committed.
func TestBegunRequestIsNotReportedAsNotRun(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		ctx, cancel := context.WithTimeout(t.Context(), commitDelay/2)
		defer cancel()
		if answer := w.dispatcher.Ask(ctx, submitRequest("a")); code.Code(answer.GetCode()) != code.LeaderTimeout {
			t.Errorf("got answer %v, want LeaderTimeout", answer)
		}
	})
}

// Guards against a slow leader that takes backend servers and helpers for silent, because it
// drops what they say once they no longer wait for the answer.
func TestReportIsRecordedAfterItsSenderGaveUp(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		released := make(chan struct{})
		w.standUntil(released)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		report := dispatch.Report{FlowServer: &record.FlowServer{Id: "late", Born: 1, Pool: "p", Address: "late", Capacity: &v1.Size{Cpu: 1000, Memory: 1000}}}
		if err := w.dispatcher.AcceptReport(ctx, report); err == nil || err.Code != code.LeaderTimeout {
			t.Errorf("got %v, want LeaderTimeout", err)
		}
		close(released)
		w.runAndWait(func() {
			if _, ok := w.ledger.Server("late"); !ok {
				t.Error("the report was dropped")
			}
		})
	})
}
