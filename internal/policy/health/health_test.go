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
	before := e.Runtime(spec)
	for range 20 {
		e.Learn(spec, 10*time.Second)
	}
	other := &job.Spec{Team: "a", Name: "other"}
	got := []time.Duration{before, e.Runtime(spec).Round(time.Second), e.Runtime(other)}
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
		b.Fail(int32(i % 2))
		full := min(health.LongestBackoff, health.FirstBackoff<<i)
		if d := b.Backoff(rng); d < full/2 || d > full {
			t.Errorf("after %d failures %v, want within %v and %v", i+1, d, full/2, full)
		}
	}
	if !b.Spent() {
		t.Error("twelve failures on two servers do not spend the budget")
	}
}

func TestForgivenFailuresDoNotCount(t *testing.T) {
	var b health.Budget
	for s := range int32(4) {
		b.Fail(s)
	}
	b.Forgive(3)
	if b.Spent() || b.Avoids(3) || !b.Avoids(2) {
		t.Errorf("%+v", b)
	}
}

// One job that never succeeded fails a thousand times on one server. That says
// nothing about the server; a few failures of what runs elsewhere do.
func TestGuardTellsBadJobsFromBadServers(t *testing.T) {
	g := health.NewGuard()
	for range 1000 {
		g.Fail(health.Name{Team: "a", Name: "bad"}, 1, 0)
	}
	if g.Suspects(1, 100) {
		t.Error("a bad job made a server suspect")
	}
	good := health.Name{Team: "a", Name: "good"}
	for range 20 {
		g.Succeed(good, 2)
	}
	for range 4 {
		g.Fail(good, 3, 0)
	}
	if !g.Suspects(3, 100) {
		t.Error("a server that fails what runs elsewhere is not suspect")
	}
}

// A probe that fails puts the next one off for twice as long.
func TestProbationDoubles(t *testing.T) {
	g := health.NewGuard()
	n := health.Name{Name: "n"}
	g.Enter(1, 0)
	got := []bool{g.Probe(1, health.Probation-1), g.Probe(1, health.Probation)}
	g.Fail(n, 1, health.Probation)
	got = append(got, g.Probe(1, 2*health.Probation), g.Probe(1, 3*health.Probation))
	g.Succeed(n, 1)
	got = append(got, g.Sound(1))
	g.Succeed(n, 1)
	got = append(got, g.Sound(1))
	if diff := cmp.Diff([]bool{false, true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
