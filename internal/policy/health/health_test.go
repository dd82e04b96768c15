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
	spec := &job.Spec{Team: "a", Name: "n", EstimatedRuntime: time.Second}
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

// Tasks that failed together must not be retried together, and never earlier than half of the
// doubling delay.
func TestBackoffDoublesWithJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var b health.Budget
	for i := range 12 {
		b.RecordFailure(int32(i % 2))
		full := min(health.MaxBackoff, health.MinBackoff<<i)
		if d := b.Backoff(rng); d < full/2 || d > full {
			t.Errorf("backoff after %d failures is %v, want %v to %v", i+1, d, full/2, full)
		}
	}
	if !b.Exhausted() {
		t.Error("twelve failures on two servers do not exhaust the budget")
	}
}

func TestRemovedFailuresDoNotCount(t *testing.T) {
	var b health.Budget
	for s := range int32(4) {
		b.RecordFailure(s)
	}
	b.RemoveFailures(3)
	if b.Exhausted() || b.FailedOn(3) || !b.FailedOn(2) {
		t.Errorf("removed failures still count: %+v", b)
	}
}

// A thousand failures of a job that has never succeeded are no evidence against the server. A
// few failures of a job that succeeds on other servers are.
func TestFaultDetectorDistinguishesBadJobsFromBadServers(t *testing.T) {
	detector := health.NewFaultDetector()
	for range 1000 {
		detector.RecordFailure(health.JobName{Team: "a", Name: "bad"}, 1, 0)
	}
	if detector.ShouldQuarantine(1, 100) {
		t.Error("a job that always fails causes the quarantine of a server")
	}
	reliableJob := health.JobName{Team: "a", Name: "good"}
	for range 20 {
		detector.RecordSuccess(reliableJob, 2)
	}
	for range 4 {
		detector.RecordFailure(reliableJob, 3, 0)
	}
	if !detector.ShouldQuarantine(3, 100) {
		t.Error("a server that fails a job which succeeds elsewhere is not quarantined")
	}
}

// A failed probe doubles the delay before the next one.
func TestProbeDelayDoubles(t *testing.T) {
	detector := health.NewFaultDetector()
	job := health.JobName{Name: "n"}
	detector.Quarantine(1, 0)
	got := []bool{detector.MayProbe(1, health.FirstProbeDelay-1), detector.MayProbe(1, health.FirstProbeDelay)}
	detector.RecordFailure(job, 1, health.FirstProbeDelay)
	got = append(got, detector.MayProbe(1, 2*health.FirstProbeDelay), detector.MayProbe(1, 3*health.FirstProbeDelay))
	detector.RecordSuccess(job, 1)
	got = append(got, detector.Recovered(1))
	detector.RecordSuccess(job, 1)
	got = append(got, detector.Recovered(1))
	if diff := cmp.Diff([]bool{false, true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
