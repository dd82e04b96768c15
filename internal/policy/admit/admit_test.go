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

// serverSize is the capacity of each of the ten servers in the tests.
var serverSize = capacity.Size{CPU: 4000, Memory: 4096, Slots: 4}

// view returns a view that admits small jobs, after the given change.
func view(change func(*admit.View)) admit.View {
	v := admit.View{Row: team.New("a").WithMaxWaitingJobs(100), WaitingTeams: 1, MaxWaiting: 1000, ServerSizes: []capacity.Size{serverSize}, TotalCapacity: serverSize.Times(10)}
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
		"admitted":                            {small, view(nil), code.OK, false},
		"no task":                             {with(func(s *job.Spec) { s.Count = 0 }), view(nil), code.Malformed, false},
		"task larger than any server":         {with(func(s *job.Spec) { s.Size.CPU = 4001 }), view(nil), code.Unplaceable, false},
		"gang larger than the cell":           {with(func(s *job.Spec) { s.Kind, s.Count = job.Gang, 41 }), view(nil), code.Unplaceable, false},
		"above the team limit":                {small, view(func(v *admit.View) { v.Row.Limit.CPU = 999 }), code.Unplaceable, false},
		"no server announced yet":             {small, view(func(v *admit.View) { v.ServerSizes = nil }), code.OK, false},
		"team queue full":                     {small, view(func(v *admit.View) { v.TeamWaiting = 100 }), code.QueueFull, true},
		"cell queue nearly full by this team": {small, view(func(v *admit.View) { v.CellWaiting, v.TeamWaiting, v.WaitingTeams = 900, 99, 10 }), code.Overloaded, true},
		"cell queue nearly full by others":    {small, view(func(v *admit.View) { v.CellWaiting, v.TeamWaiting, v.WaitingTeams = 900, 10, 10 }), code.OK, false},
		"deadline shorter than the wait":      {with(func(s *job.Spec) { s.PlacementTimeout = time.Second }), view(func(v *admit.View) { v.TeamWaiting, v.PlacementRate = 50, 10 }), code.DeadlinePassed, true},
		"urgent does not wait in the queue":   {with(func(s *job.Spec) { s.PlacementTimeout, s.Kind = time.Second, job.Urgent }), view(func(v *admit.View) { v.TeamWaiting, v.PlacementRate = 50, 10 }), code.OK, false},
		"deadline with an unknown drain rate": {with(func(s *job.Spec) { s.PlacementTimeout = time.Second }), view(func(v *admit.View) { v.TeamWaiting = 50 }), code.OK, false},
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

// Callers that are refused together must not retry together, because they would be refused
// again. The retry times are spread by the jitter.
func TestRetryTimesAreSpread(t *testing.T) {
	v := view(func(v *admit.View) { v.TeamWaiting, v.PlacementRate = 100, 1 })
	spec := &job.Spec{Team: "a", Count: 1, Size: capacity.Size{CPU: 1}}
	_, first := admit.Check(spec, v, 0)
	_, last := admit.Check(spec, v, 0.99)
	if first < admit.MinRetryAfter || last < first*19/10 {
		t.Errorf("retry times from %v to %v are not spread", first, last)
	}
}
