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

func newPlan(t *testing.T, seed uint64) mix.Plan {
	weights, err := mix.ParseKindWeights("urgent=70,batch=25,gang=5")
	if err != nil {
		t.Fatal(err)
	}
	return mix.Plan{Rate: 1000, Duration: 10 * time.Second, Seed: seed, Weights: weights, Shapes: mix.DefaultShapes(), OnceFraction: 0.5, MeanAnswerBytes: 100, IDPrefix: "p-"}
}

// Guards against jobs that depend on anything but the seed, which would make load runs
// incomparable.
func TestSameSeedGeneratesSameJobs(t *testing.T) {
	const n = 200
	a, b, c := newPlan(t, 1).Jobs()[:n], newPlan(t, 1).Jobs()[:n], newPlan(t, 2).Jobs()[:n]
	if diff := cmp.Diff(a, b, protocmp.Transform()); diff != "" {
		t.Errorf("jobs of the same seed differ:\n%s", diff)
	}
	if cmp.Equal(a, c, protocmp.Transform()) {
		t.Error("seeds 1 and 2 generate the same jobs")
	}
}

// Guards against a wrong arrival rate, wrong fractions of kinds and duplicate job ids.
func TestGeneratedJobsMatchPlan(t *testing.T) {
	jobs := newPlan(t, 3).Jobs()
	countByKind, once, ids := map[job.Kind]int{}, 0, map[string]bool{}
	for i, j := range jobs {
		countByKind[j.Kind]++
		if j.Spec.GetOnce() {
			once++
		}
		if ids[j.Spec.GetId()] {
			t.Errorf("two jobs have the id %s", j.Spec.GetId())
		}
		ids[j.Spec.GetId()] = true
		if i > 0 && j.ArrivesAt < jobs[i-1].ArrivesAt {
			t.Errorf("job %d arrives before job %d", i, i-1)
		}
	}
	assertNear := func(name string, got int, want float64) {
		if math.Abs(float64(got)-want) > want/10 {
			t.Errorf("%s: got %d, want %.0f within 10%%", name, got, want)
		}
	}
	assertNear("jobs", len(jobs), 10_000)
	assertNear("urgent", countByKind[job.Urgent], 7_000)
	assertNear("batch", countByKind[job.Batch], 2_500)
	assertNear("gangs", countByKind[job.Gang], 500)
	assertNear("at most once", once, 5_000)
	if countByKind[job.Service] != 0 {
		t.Errorf("%d services, want 0 without a weight", countByKind[job.Service])
	}
}

// Guards against a mistyped weight that silently changes the load.
func TestInvalidWeightsAreRejected(t *testing.T) {
	for _, text := range []string{"", "urgent", "urgent=-1", "urgent=NaN", "urgent=1,urgent=2", "fast=1", "batch=0"} {
		if got, err := mix.ParseKindWeights(text); err == nil {
			t.Errorf("ParseKindWeights(%q) = %v, want an error", text, got)
		}
	}
}
