package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/health"
)

func TestEstimatesConvergeFromWrongDeclarations(t *testing.T) {
	e := health.NewEstimates()
	spec := &job.Spec{Team: "a", Name: "n", Runtime: time.Second}
	before := e.ExpectedRuntime(spec)
	for range 20 {
		e.Observe(spec, 10*time.Second)
	}
	other := &job.Spec{Team: "a", Name: "other"}
	got := []time.Duration{before, e.ExpectedRuntime(spec).Round(time.Second), e.ExpectedRuntime(other)}
	if diff := cmp.Diff([]time.Duration{time.Second, 10 * time.Second, health.DefaultRuntime}, got); diff != "" {
		t.Error(diff)
	}
}

// Tasks that failed together must not come back together, nor ever sooner than
// half of a wait that doubles.
func TestBackoffDoublesWithJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var b health.Budget
	for i := range 12 {
		b.RecordFailure(int32(i % 2))
		full := min(health.MaxBackoff, health.MinBackoff<<i)
		if d := b.Backoff(rng); d < full/2 || d > full {
			t.Errorf("after %d failures %v, want within %v and %v", i+1, d, full/2, full)
		}
	}
	if !b.Exhausted() {
		t.Error("twelve failures on two servers do not spend the budget")
	}
}

func TestForgivenFailuresDoNotCount(t *testing.T) {
	var b health.Budget
	for s := range int32(4) {
		b.RecordFailure(s)
	}
	b.RemoveFailures(3)
	if b.Exhausted() || b.FailedOn(3) || !b.FailedOn(2) {
		t.Errorf("%+v", b)
	}
}

// One job that never succeeded fails a thousand times on one server. That says
// nothing about the server; a few failures of what runs elsewhere do.
func TestGuardTellsBadJobsFromBadServers(t *testing.T) {
	g := health.NewFaultDetector()
	for range 1000 {
		g.RecordFailure(health.JobName{Team: "a", Name: "bad"}, 1, 0)
	}
	if g.ShouldQuarantine(1, 100) {
		t.Error("a bad job made a server suspect")
	}
	good := health.JobName{Team: "a", Name: "good"}
	for range 20 {
		g.RecordSuccess(good, 2)
	}
	for range 4 {
		g.RecordFailure(good, 3, 0)
	}
	if !g.ShouldQuarantine(3, 100) {
		t.Error("a server that fails what runs elsewhere is not suspect")
	}
}

// A probe that fails puts the next one off for twice as long.
func TestProbationDoubles(t *testing.T) {
	g := health.NewFaultDetector()
	n := health.JobName{Name: "n"}
	g.Quarantine(1, 0)
	got := []bool{g.MayProbe(1, health.FirstProbeDelay-1), g.MayProbe(1, health.FirstProbeDelay)}
	g.RecordFailure(n, 1, health.FirstProbeDelay)
	got = append(got, g.MayProbe(1, 2*health.FirstProbeDelay), g.MayProbe(1, 3*health.FirstProbeDelay))
	g.RecordSuccess(n, 1)
	got = append(got, g.Recovered(1))
	g.RecordSuccess(n, 1)
	got = append(got, g.Recovered(1))
	if diff := cmp.Diff([]bool{false, true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
