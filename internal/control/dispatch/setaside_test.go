package dispatch_test

import (
	"bytes"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// cutPlanner is a planner that gives up the steps of one flow as long as it is broken.
type cutPlanner struct {
	steps.Planner
	flow   string
	broken atomic.Bool
	tries  atomic.Int32
}

func (p *cutPlanner) Make(v steps.View) steps.Plan {
	var givenUp []steps.GivenUp
	if p.broken.Load() {
		v.Items = slices.DeleteFunc(slices.Clone(v.Items), func(item steps.Item) bool {
			cut := item.Flow.ID == p.flow
			if cut {
				p.tries.Add(1)
				givenUp = append(givenUp, steps.GivenUp{Step: item.StepID, Visits: 1000})
			}
			return cut
		})
	}
	plan := p.Planner.Make(v)
	plan.GivenUp = givenUp
	return plan
}

// Guards against one step that takes the time of all work: while the plan gives it up, other flows
// run and end, the configuration changes, states are answered and flows are cancelled. The step is
// tried less and less often, and starts once it can be planned.
func TestOtherWorkGoesOnWhileAStepIsGivenUp(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		p := &cutPlanner{flow: "bad"}
		p.broken.Store(true)
		w.runAndWait(func() { w.dispatcher.Planner = p })
		w.submit("lasting", newLastingStep(1, 1000))
		w.submit("bad", newStep(1, 1000))
		w.submit("good", newStep(1, 1000))
		w.awaitState("lasting", stateRunning, time.Second)
		w.awaitState("good", v1.FlowState_FLOW_STATE_DONE, 5*time.Second)
		w.putRate(2, 0)
		w.askFlow(inner.FlowVerb_FLOW_VERB_CANCEL, "lasting")
		w.awaitState("lasting", v1.FlowState_FLOW_STATE_CANCELLED, 2*time.Second)
		time.Sleep(30 * time.Second)
		if state, n := w.flowState("bad"), p.tries.Load(); state != v1.FlowState_FLOW_STATE_QUEUED || n < 3 || n > 6 {
			t.Errorf("the flow is %v after %d tries, want queued after 3 to 6 in about half a minute", state, n)
		}
		p.broken.Store(false)
		w.awaitState("bad", v1.FlowState_FLOW_STATE_DONE, 70*time.Second)
	})
}

// Guards against a new leader that stands with the same step as its predecessor: what was set
// aside while it did not lead is left out of its first plans.
func TestStepSetAsideBeforeTheElectionIsLeftOut(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, w *testCluster) {
		w.runAndWait(func() { w.isLeader = false; w.dispatcher.OnDeposed() })
		w.dispatcher.SetAside(flow.StepID{Flow: "a"})
		w.runAndWait(w.elect)
		setAsideAt := time.Now()
		w.submit("a", newStep(1, 1000))
		w.submit("b", newStep(1, 1000))
		w.awaitState("b", stateRunning, 800*time.Millisecond)
		if state := w.flowState("a"); state != v1.FlowState_FLOW_STATE_QUEUED {
			t.Errorf("the flow that was set aside is %v after %v, want queued", state, time.Since(setAsideAt))
		}
		w.awaitState("a", v1.FlowState_FLOW_STATE_DONE, 5*time.Second)
	})
}

// Guards against a step that waits for no reason that a log shows: a replica that is told of the step
// by another one logs it each time, with how long it leaves the step out.
func TestStepSetAsideForAnotherReplicaIsLogged(t *testing.T) {
	var log bytes.Buffer
	now := time.Duration(0)
	d := dispatch.New()
	d.Now, d.Log = func() time.Duration { return now }, event.New(&log, "warn")
	for _, pause := range []string{"1s", "2s"} {
		log.Reset()
		d.SetAside(flow.StepID{Flow: "a", Turn: 1, Step: 2})
		if line := log.String(); !strings.Contains(line, `"event":839`) || !strings.Contains(line, `"flow":"a"`) || !strings.Contains(line, `"step":"a.1.2"`) || !strings.Contains(line, `"pause":"`+pause+`"`) {
			t.Errorf("logged %q, want event 839 with step a.1.2 and a pause of %s", line, pause)
		}
		now += 2 * time.Second
	}
}
