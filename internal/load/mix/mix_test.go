package mix_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/mix"
)

func plan(t *testing.T, seed uint64) mix.Plan {
	shares, err := mix.ParseKindWeights("urgent=70,batch=25,gang=5")
	if err != nil {
		t.Fatal(err)
	}
	return mix.Plan{Rate: 1000, Duration: 10 * time.Second, Seed: seed, Weights: shares, Shapes: mix.DefaultShapes(), OnceFraction: 0.5, MeanAnswerBytes: 100, IDPrefix: "p-"}
}

func TestSameSeedMakesTheSameJobs(t *testing.T) {
	const n = 200
	a, b, c := plan(t, 1).Jobs()[:n], plan(t, 1).Jobs()[:n], plan(t, 2).Jobs()[:n]
	if diff := cmp.Diff(a, b, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(a, c, protocmp.Transform()) {
		t.Error("another seed makes the same jobs")
	}
}

func TestJobsFollowThePlan(t *testing.T) {
	jobs := plan(t, 3).Jobs()
	count, once, ids := map[job.Kind]int{}, 0, map[string]bool{}
	for i, j := range jobs {
		count[j.Kind]++
		if j.Spec.GetOnce() {
			once++
		}
		if ids[j.Spec.GetId()] {
			t.Errorf("id %s twice", j.Spec.GetId())
		}
		ids[j.Spec.GetId()] = true
		if i > 0 && j.ArrivesAt < jobs[i-1].ArrivesAt {
			t.Error("out of order")
		}
	}
	near := func(what string, got int, want float64) {
		if math.Abs(float64(got)-want) > want/10 {
			t.Errorf("%s: %d, want about %.0f", what, got, want)
		}
	}
	near("jobs", len(jobs), 10_000)
	near("urgent", count[job.Urgent], 7_000)
	near("batch", count[job.Batch], 2_500)
	near("gangs", count[job.Gang], 500)
	near("at most once", once, 5_000)
	if count[job.Service] != 0 {
		t.Error("services without a weight")
	}
}

func TestBadSharesAreRefused(t *testing.T) {
	for _, text := range []string{"", "urgent", "urgent=-1", "urgent=NaN", "urgent=1,urgent=2", "fast=1", "batch=0"} {
		if got, err := mix.ParseKindWeights(text); err == nil {
			t.Errorf("%q gives %v", text, got)
		}
	}
}
