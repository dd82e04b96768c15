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

func jobResult(id string, at, accepted, answered time.Duration, o v1.Outcome, c code.Code) drive.JobResult {
	return drive.JobResult{
		Job:    mix.Job{ArrivesAt: at, Kind: job.Urgent, Spec: &v1.Spec{Id: id, Count: 1, Once: true}},
		SentAt: at + 1, AcceptedAt: accepted, AnsweredAt: answered, Outcome: o, Code: c,
	}
}

// Guards against coordinated omission: the cell answers nothing for 10 s while one job
// arrives per second. Waits measured from the send time would look short, although the
// first caller waited 10 s.
func TestWaitsAreMeasuredFromArrival(t *testing.T) {
	var results []drive.JobResult
	for i := range 10 {
		result := jobResult("x", time.Duration(i)*time.Second, 10*time.Second, 10*time.Second, v1.Outcome_OUTCOME_DONE, code.OK)
		result.SentAt = 10*time.Second - time.Millisecond
		results = append(results, result)
	}
	k := report.Summarize(report.RunInfo{}, time.Time{}, results, nil).Kinds["urgent"]
	if k.Accept.Max < 9990 || k.Accept.P50 < 4990 || k.Lag.Max < 9980 {
		t.Errorf("waits do not start at the arrival: accept %+v, lag %+v", k.Accept, k.Lag)
	}
}

func runAttempts(t *testing.T, r *work.Recorder, id string, times int, complete bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !complete {
		cancel()
	}
	for range times {
		runtime := time.Duration(0)
		if !complete {
			runtime = time.Hour
		}
		r.RunTask(ctx, &v1.Order{Input: work.Input{ID: id, Runtime: runtime}.Encode(), Attempt: &v1.Attempt{}})
	}
}

// Guards against violations that go unnoticed: the outcomes that callers got are
// compared with the attempts that the backend servers ran.
func TestViolationsAreCounted(t *testing.T) {
	const second = time.Second
	r := &work.Recorder{}
	runAttempts(t, r, "good", 1, true)
	runAttempts(t, r, "doubled", 2, true)
	runAttempts(t, r, "false", 1, false)
	runAttempts(t, r, "unran", 1, false)
	damaged := jobResult("good", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK)
	damaged.AnswerDamaged = true
	for name, c := range map[string]struct {
		result drive.JobResult
		want   report.Violations
	}{
		"good":      {jobResult("good", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{}},
		"refused":   {jobResult("none", second, 0, 0, v1.Outcome_OUTCOME_NOT_RUN, code.QueueFull), report.Violations{}},
		"unsure":    {jobResult("doubled-never", second, 0, 0, 0, code.LeaderTimeout), report.Violations{}},
		"lost":      {jobResult("good", second, second, 0, v1.Outcome_OUTCOME_RUNNING, code.OK), report.Violations{LostJobs: 1}},
		"damaged":   {damaged, report.Violations{DamagedAnswers: 1}},
		"doubled":   {jobResult("doubled", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{RepeatedOnceJobs: 1}},
		"false":     {jobResult("false", second, 0, 0, v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled), report.Violations{FalseNotRun: 1}},
		"unran":     {jobResult("unran", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{UnfinishedDone: 1}},
		"unstarted": {jobResult("none", second, second, second, v1.Outcome_OUTCOME_DONE, code.OK), report.Violations{UnfinishedDone: 1}},
	} {
		got := report.Summarize(report.RunInfo{}, time.Now(), []drive.JobResult{c.result}, r)
		c.want.ServerFaults = []string{}
		if diff := cmp.Diff(c.want, got.Violations); diff != "" {
			t.Errorf("%s: violations (-want +got):\n%s", name, diff)
		}
		if none := got.Violations.None(); none != cmp.Equal(c.want, report.Violations{ServerFaults: []string{}}) {
			t.Errorf("%s: None() = %v", name, none)
		}
		var b strings.Builder
		if err := got.Write(&b); err != nil || !strings.Contains(b.String(), "promises: ") {
			t.Errorf("%s: Write: %v, output:\n%s", name, err, b.String())
		}
	}
}
