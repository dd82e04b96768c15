package report_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/report"
	"gypsumreel/internal/load/work"
)

func seen(id string, at, accepted, answered time.Duration, o v1.Outcome, c code.Code) drive.JobResult {
	return drive.JobResult{
		Job:    mix.Job{ArrivesAt: at, Kind: job.Urgent, Spec: &v1.Spec{Id: id, Count: 1, Once: true}},
		SentAt: at + 1, AcceptedAt: accepted, AnsweredAt: answered, Outcome: o, Code: c,
	}
}

// The cell stands still for ten seconds while a job arrives each second. A tool
// that counts from when it got round to sending would report short waits; whoever
// was on the phone waited for up to ten seconds.
func TestWaitsCountFromTheArrival(t *testing.T) {
	var all []drive.JobResult
	for i := range 10 {
		one := seen("x", time.Duration(i)*time.Second, 10*time.Second, 10*time.Second, v1.Outcome_OUTCOME_DONE, code.OK)
		one.SentAt = 10*time.Second - time.Millisecond
		all = append(all, one)
	}
	k := report.Summarize(report.RunInfo{}, time.Time{}, all, nil).Kinds["urgent"]
	if k.Accept.Max < 9990 || k.Accept.P50 < 4990 || k.Lag.Max < 9980 {
		t.Errorf("accept %+v, lag %+v", k.Accept, k.Lag)
	}
}

func ran(t *testing.T, r *work.Record, id string, times int, whole bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !whole {
		cancel()
	}
	for range times {
		runtime := time.Duration(0)
		if !whole {
			runtime = time.Hour
		}
		r.RunTask(ctx, &v1.Order{Input: work.Input{ID: id, Runtime: runtime}.Encode(), Attempt: &v1.Attempt{}})
	}
}

// Each broken promise is found by holding what callers were told against what
// the backend servers ran.
func TestBrokenPromisesAreFound(t *testing.T) {
	const second = time.Second
	r := &work.Record{}
	ran(t, r, "good", 1, true)
	ran(t, r, "doubled", 2, true)
	ran(t, r, "false", 1, false)
	ran(t, r, "unran", 1, false)
	damaged := seen("good", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK)
	damaged.AnswerDamaged = true
	for name, c := range map[string]struct {
		one  drive.JobResult
		want report.Violations
	}{
		"good":      {seen("good", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{}},
		"refused":   {seen("none", second, 0, 0, v1.Outcome_OUTCOME_NOT_RUN, code.QueueFull), report.Violations{}},
		"unsure":    {seen("doubled-never", second, 0, 0, 0, code.LeaderTimeout), report.Violations{}},
		"lost":      {seen("good", second, second, 0, v1.Outcome_OUTCOME_RUNNING, code.OK), report.Violations{LostJobs: 1}},
		"damaged":   {damaged, report.Violations{DamagedAnswers: 1}},
		"doubled":   {seen("doubled", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{RepeatedOnceJobs: 1}},
		"false":     {seen("false", second, 0, 0, v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled), report.Violations{FalseNotRun: 1}},
		"unran":     {seen("unran", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{UnfinishedDone: 1}},
		"unstarted": {seen("none", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{UnfinishedDone: 1}},
	} {
		got := report.Summarize(report.RunInfo{}, time.Now(), []drive.JobResult{c.one}, r)
		c.want.ServerFaults = []string{}
		if diff := cmp.Diff(c.want, got.Violations); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if kept := got.Violations.None(); kept != cmp.Equal(c.want, report.Violations{ServerFaults: []string{}}) {
			t.Errorf("%s: kept %v", name, kept)
		}
		var b strings.Builder
		if err := got.Write(&b); err != nil || !strings.Contains(b.String(), "promises: ") {
			t.Errorf("%s: %v\n%s", name, err, b.String())
		}
	}
}
