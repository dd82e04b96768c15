package dispatch_test

import (
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/flow"
)

// Guards against legal flows that together fill the leader's memory, and against a flow that is
// refused although the others have ended.
func TestOpenFlowsAreLimitedByTheirMemory(t *testing.T) {
	runWithDirectCalls(t, 1, func(t *testing.T, w *testCluster) {
		wide := newStep(100, 100)
		one := &v1.FlowSpec{Id: "f0", Steps: []*v1.FlowStep{wide}}
		bytes := flow.SpecBytes(one) + flow.TurnBytes(one)
		w.runAndWait(func() { w.dispatcher.MaxOpenBytes = 3 * bytes / 2 })
		w.submit("f0", wide)
		if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, "f1", wide); answer.GetCode() != uint32(code.Overloaded) || answer.GetRetry() == 0 {
			t.Errorf("the flow beyond the memory got %v", answer)
		}
		w.submit("small", newStep(1, 100))
		if answer := w.askFlow(inner.FlowVerb_FLOW_VERB_SUBMIT, "f0", wide); answer.GetCode() != 0 {
			t.Errorf("the repeated submission got %v", answer)
		}
		w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "f0")
		w.submit("f1", wide)
	})
}

// Guards against turns of a recurring flow that begin faster than they end and fill the memory.
func TestTurnsWaitForMemory(t *testing.T) {
	runWithDirectCalls(t, 1, func(t *testing.T, w *testCluster) {
		const limit = 200 << 10
		w.makeRunsLasting()
		w.runAndWait(func() { w.dispatcher.MaxOpenBytes = limit })
		answer := w.dispatcher.Ask(t.Context(), &inner.FlowAsk{
			Verb: inner.FlowVerb_FLOW_VERB_SUBMIT, Host: "host", Path: "/q/r", Key: keyHash[:],
			Spec: &v1.FlowSpec{Id: "r", Steps: []*v1.FlowStep{newStep(100, 100)}, Times: 1000, First: 1, Every: 1},
		})
		if answer.GetCode() != 0 {
			t.Fatalf("the flow got %v", answer)
		}
		time.Sleep(10 * time.Second)
		w.runAndWait(func() {
			f, _ := w.ledger.Flow("r")
			if n := w.ledger.OpenBytes(); n > limit || len(f.Turns) < 2 {
				t.Errorf("%d turns have begun, and %d bytes are open of %d", len(f.Turns), n, limit)
			}
		})
	})
}
