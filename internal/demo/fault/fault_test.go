package fault_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// Without any fault, all jobs must complete within five seconds.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		startedAt := time.Now()
		results := w.runJobs(jobSpecs())
		if violations := w.violations(results); len(violations) > 0 {
			t.Error(violations)
		}
		for _, r := range results {
			if r.outcome != v1.Outcome_OUTCOME_DONE || r.code != 0 {
				t.Errorf("%s: outcome %v, code %d", r.id, r.outcome, r.code)
			}
		}
		if d := time.Since(startedAt); d > 5*time.Second {
			t.Errorf("the jobs took %v, limit 5s", d)
		}
	})
}

// jobSpecs returns urgent, batch and gang jobs; two of them must run at most once.
func jobSpecs() []*v1.Spec {
	size := &v1.Size{Cpu: taskCores, Memory: 1000, Slots: 1}
	var out []*v1.Spec
	for _, s := range []*v1.Spec{
		{Id: "quote", Kind: v1.Kind_KIND_URGENT, Count: 1},
		{Id: "plan", Kind: v1.Kind_KIND_BATCH, Count: 2},
		{Id: "stock", Kind: v1.Kind_KIND_BATCH, Count: 1, Once: true},
		{Id: "sweep", Kind: v1.Kind_KIND_GANG, Count: 3},
		{Id: "tuning", Kind: v1.Kind_KIND_GANG, Count: 2, Once: true},
	} {
		s.Name, s.Size, s.Input = s.GetId(), size, []byte(s.GetId())
		out = append(out, s)
	}
	return out
}

// runJobs runs jobs concurrently and returns their results in the same order.
func (w *testCell) runJobs(jobs []*v1.Spec) []result {
	out := make([]result, len(jobs))
	var wg sync.WaitGroup
	for i, s := range jobs {
		wg.Go(func() { out[i] = w.runJob(s) })
	}
	wg.Wait()
	return out
}
