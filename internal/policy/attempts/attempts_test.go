package attempts_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/attempts"
)

const runtime = 2 * time.Second

// A server that fails everything still has its earlier successes, which must not prove it.
func TestServerIsProvenByARecentSuccessWithoutFailuresSince(t *testing.T) {
	for name, c := range map[string]struct {
		evidence attempts.Evidence
		want     bool
	}{
		"success just now":       {attempts.Evidence{Succeeded: true}, true},
		"success a run time ago": {attempts.Evidence{Succeeded: true, SinceSuccess: 2 * runtime}, true},
		"old success":            {attempts.Evidence{Succeeded: true, SinceSuccess: 2*runtime + time.Millisecond}, false},
		"failure since":          {attempts.Evidence{Succeeded: true, Failures: 1}, false},
		"no success":             {attempts.Evidence{}, false},
	} {
		if got := c.evidence.Proven(attempts.ProofPeriod(runtime)); got != c.want {
			t.Errorf("%s: proven %v, want %v", name, got, c.want)
		}
	}
}

// Long tasks would count successes from before a fault of some seconds, and short tasks would
// find no server that ended a run.
func TestProofPeriodFollowsTheRuntimeWithinBounds(t *testing.T) {
	for runtime, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 2 * time.Second, 2 * time.Second: 4 * time.Second, time.Minute: 10 * time.Second,
	} {
		if got := attempts.ProofPeriod(runtime); got != want {
			t.Errorf("run time %v: success counts for %v, want %v", runtime, got, want)
		}
	}
}

// One task in twenty fails by its own fault. If each failure limited its server, much room
// would be idle.
func TestServerIsProbedAfterFailuresOfTwoFlows(t *testing.T) {
	for failures, want := range []bool{false, false, true, true} {
		if got := (attempts.Evidence{Failures: uint32(failures)}).Probing(); got != want {
			t.Errorf("%d failures: probing %v, want %v", failures, got, want)
		}
	}
}

// Servers that fail all their runs do so after similar times. A run proves its server when it has
// clearly outlasted the failed one, and nobody waits for it much longer.
func TestRunProvesItsServerWhenItOutlastsTheFailedOne(t *testing.T) {
	const lasted = 300 * time.Millisecond
	outlast := attempts.OutlastTime(lasted, runtime)
	if outlast <= lasted || outlast >= runtime {
		t.Errorf("a run proves its server after %v, want between %v and %v", outlast, lasted, runtime)
	}
	if !attempts.AwaitsLaterProof(outlast, lasted, runtime) || attempts.AwaitsLaterProof(runtime, lasted, runtime) {
		t.Errorf("want a wait that ends between %v and %v after the failed run was placed", outlast, runtime)
	}
}

// A caller waits for the step: it waits for a proven server only as long as that does not make
// it late and a run may still prove one.
func TestWaitForAProvenServerIsBounded(t *testing.T) {
	waiting := attempts.Wait{Waited: time.Second, Slack: time.Second, Runtime: runtime, RunsExpected: true}
	late, long, idle := waiting, waiting, waiting
	late.Slack, long.Waited, idle.RunsExpected = 0, runtime, false
	for name, c := range map[string]struct {
		wait attempts.Wait
		want bool
	}{"waiting": {waiting, true}, "late": {late, false}, "long": {long, false}, "nothing runs": {idle, false}} {
		if got := c.wait.Continues(); got != c.want {
			t.Errorf("%s: waits on = %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a server that takes one long task for as long as it runs, after failures of others.
func TestProbeThatOutlastsTheFailedRunsEndsTheProbing(t *testing.T) {
	for lasted, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: 3 * time.Second, time.Hour: 10 * time.Second} {
		if got := attempts.ProbeTime(lasted); got != want {
			t.Errorf("after a run of %v: %v, want %v", lasted, got, want)
		}
	}
}
