package turn_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/domain/flow"
)

// fakeReplica is a leader that records what the watch does, in order.
type fakeReplica struct{ events []string }

func (r *fakeReplica) IsLeading() bool  { return len(r.events) == 0 }
func (r *fakeReplica) HasGivenUp() bool { return false }
func (r *fakeReplica) GiveUpLead() bool {
	led := r.IsLeading()
	if led {
		r.events = append(r.events, "given up")
	}
	return led
}

func (r *fakeReplica) Abstain(on bool) { r.events = append(r.events, fmt.Sprint("abstain ", on)) }
func (r *fakeReplica) tellStood(subject fmt.Stringer) {
	r.events = append(r.events, "told "+subject.String())
}

// Guards against a next leader that stands at the same step: it has to know of it before it can lead.
func TestOthersAreToldOfTheStepBeforeTheyCanLead(t *testing.T) {
	for step, want := range map[turn.Step][]string{
		turn.Plan:  {"given up", "told f.0.3", "abstain true", "abstain false"},
		turn.Syncs: {"given up", "abstain true", "abstain false"},
	} {
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now()
			now := func() time.Duration { return time.Since(begin) + time.Minute }
			r, m := &fakeReplica{}, &turn.Meter{}
			ctx, cancel := context.WithCancel(t.Context())
			w := &turn.Watch{Meter: m, Replica: r, TellStood: r.tellStood, Thread: "none", Now: now, Log: logr.Discard()}
			done := make(chan error)
			go func() { done <- w.Run(ctx) }()
			m.Begin(step, now())
			m.SetSubject(flow.StepID{Flow: "f", Step: 3})
			time.Sleep(5 * time.Second)
			m.End(now())
			time.Sleep(time.Second)
			cancel()
			if err := <-done; err != nil || !slices.Equal(r.events, want) {
				t.Errorf("at step %v, the watch did %v and returned %v, want %v", step, r.events, err, want)
			}
		})
	}
}
