package fault_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// Guards against callers that are left without an answer until their deadline while the control
// thread of the leader stands. Within three seconds that leader has given up the lead and the
// next one is elected, and all jobs end as without the fault.
func TestJobsCompleteAfterALeadersControlThreadStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		defer release()
		startedAt := time.Now()
		w.cell.Node(w.leader()).Control.Post(func() { <-released })
		w.onStep = func(step string) {
			if d := time.Since(startedAt); step == "accepted" && d > 3*time.Second {
				t.Errorf("a job was accepted after %v, want at most 3 s", d)
			}
		}
		results := w.runJobs(jobSpecs())
		release() // the former leader goes on, and its ledger is checked too
		if violations := w.violations(results); len(violations) > 0 {
			t.Error(violations)
		}
		for _, r := range results {
			if r.outcome != v1.Outcome_OUTCOME_DONE || r.code != 0 {
				t.Errorf("%s: outcome %v, code %d, error %v", r.id, r.outcome, r.code, r.err)
			}
		}
	})
}
