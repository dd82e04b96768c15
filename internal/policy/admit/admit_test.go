package admit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/policy/admit"
)

var server = capacity.Size{CPU: 4000, Memory: 4096, Slots: 4}

func view(change func(*admit.View)) admit.View {
	v := admit.View{Row: team.New("a").WithQueue(100), WaitingTeams: 1, MaxWaiting: 1000, ServerSizes: []capacity.Size{server}, TotalCapacity: server.Times(10)}
	if change != nil {
		change(&v)
	}
	return v
}

func TestCheck(t *testing.T) {
	small := job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: capacity.Size{CPU: 1000, Slots: 1}}
	with := func(change func(*job.Spec)) job.Spec { s := small; change(&s); return s }
	tests := map[string]struct {
		spec  job.Spec
		view  admit.View
		want  code.Code
		retry bool
	}{
		"is let in":                       {small, view(nil), code.OK, false},
		"no task":                         {with(func(s *job.Spec) { s.Count = 0 }), view(nil), code.Malformed, false},
		"larger than any server":          {with(func(s *job.Spec) { s.Size.CPU = 4001 }), view(nil), code.NeverFits, false},
		"a gang larger than the cell":     {with(func(s *job.Spec) { s.Kind, s.Count = job.Gang, 41 }), view(nil), code.NeverFits, false},
		"above the team's limit":          {small, view(func(v *admit.View) { v.Row.Limit.CPU = 999 }), code.NeverFits, false},
		"no server announced yet":         {small, view(func(v *admit.View) { v.ServerSizes = nil }), code.OK, false},
		"the team's queue is full":        {small, view(func(v *admit.View) { v.TeamWaiting = 100 }), code.QueueFull, true},
		"the cell's is, by this team":     {small, view(func(v *admit.View) { v.CellWaiting, v.TeamWaiting, v.WaitingTeams = 900, 99, 10 }), code.Overloaded, true},
		"the cell's is, by others":        {small, view(func(v *admit.View) { v.CellWaiting, v.TeamWaiting, v.WaitingTeams = 900, 10, 10 }), code.OK, false},
		"would come too late":             {with(func(s *job.Spec) { s.Deadline = time.Second }), view(func(v *admit.View) { v.TeamWaiting, v.DrainRate = 50, 10 }), code.DeadlinePassed, true},
		"urgent waits behind no queue":    {with(func(s *job.Spec) { s.Deadline, s.Kind = time.Second, job.Urgent }), view(func(v *admit.View) { v.TeamWaiting, v.DrainRate = 50, 10 }), code.OK, false},
		"a deadline with an unknown pace": {with(func(s *job.Spec) { s.Deadline = time.Second }), view(func(v *admit.View) { v.TeamWaiting = 50 }), code.OK, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err, retry := admit.Check(&test.spec, test.view, 0.5)
			got := code.OK
			if err != nil {
				got = err.Code
			}
			if diff := cmp.Diff([]any{test.want, test.retry}, []any{got, retry > 0}); diff != "" {
				t.Error(diff, err)
			}
		})
	}
}

// A thousand callers are refused in the same second. If all came back at the
// same time, they would be refused again together: the hints are spread.
func TestHintsAreSpread(t *testing.T) {
	v := view(func(v *admit.View) { v.TeamWaiting, v.DrainRate = 100, 1 })
	spec := &job.Spec{Team: "a", Count: 1, Size: capacity.Size{CPU: 1}}
	_, first := admit.Check(spec, v, 0)
	_, last := admit.Check(spec, v, 0.99)
	if first < admit.MinRetryAfter || last < first*19/10 {
		t.Errorf("hints from %v to %v", first, last)
	}
}
