package cell_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/team"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/policy/bench"
	"gypsumreel/internal/policy/cell"
)

// Random submissions, server losses, limit changes, share changes, failovers and server
// failures must not violate an invariant: no server is overcommitted, no team is placed above
// its limit, gangs start whole, and no task runs twice. In the end all jobs have ended.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(6)
		var jobs []uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			jobs = append(jobs, drawStep(t, w)...)
			w.Run(w.Now() + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
		}
		w.SetTable(w.Table().Update([]team.Row{team.New("a"), team.New("b")}, nil))
		for _, s := range servers(6) {
			w.SetFailing(s.ID, false)
			w.SetServer(w.Server(s.ID).WithState(backend.Ready, w.Now()))
		}
		w.Run(w.Now() + 20*time.Minute)
		if diff := cmp.Diff([]string(nil), w.Checker.Violations); diff != "" {
			t.Fatal(diff)
		}
		for _, id := range jobs {
			if n := w.UnfinishedTasks(id); n > 0 {
				t.Fatalf("job %d has %d tasks left", id, n)
			}
		}
	})
}

// maxDecideTime is far beyond the time of the decisions of a few servers, also on a busy machine.
const maxDecideTime = 20 * time.Second

// Guards against decisions that never end, and against starts on servers without room for them,
// when servers have less capacity than what runs there and teams are above their limits.
func TestDecisionsEndWhereServersHoldMoreThanTheirCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer time.AfterFunc(maxDecideTime, func() { panic("the decisions have not ended") }).Stop()
		w := newWorld(6)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			drawStep(t, w)
			if rapid.Bool().Draw(t, "capacity changes") {
				drawCapacity(t, w)
			}
			w.Run(w.Now() + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
		}
		if diff := cmp.Diff([]string(nil), w.Checker.Violations); diff != "" {
			t.Fatal(diff)
		}
	})
}

// drawCapacity changes the capacity of a server, also to less than what runs there and to none.
func drawCapacity(t *rapid.T, w *bench.Simulation) {
	s := w.Server(rapid.SampledFrom(servers(6)).Draw(t, "changed server").ID)
	s.Capacity = capacity.Size{
		CPU: rapid.Int64Range(0, 6).Draw(t, "cores") * taskSize.CPU, Memory: rapid.Int64Range(0, 6).Draw(t, "memory units") * taskSize.Memory,
		Slots: rapid.Int64Range(0, 6).Draw(t, "slots"),
	}
	w.SetServer(s)
}

// drawStep applies one random event to the simulated cell. It returns the submitted job, if any.
func drawStep(t *rapid.T, w *bench.Simulation) []uint64 {
	server := rapid.SampledFrom(servers(6)).Draw(t, "server").ID
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		w.FailServers(func(s backend.Server) bool { return s.ID == server && s.State == backend.Ready }, 20*time.Second, true)
	case 1:
		w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize.Times(rapid.Int64Range(8, 24).Draw(t, "limit")))}, nil))
	case 2:
		w.SetFailing(server, rapid.Bool().Draw(t, "fails"))
	case 3:
		w.ReplacePlanner(cell.New(cell.Config{Seed: 2}))
	case 4:
		w.SetTable(w.Table().Update([]team.Row{team.New("b").WithGuaranteedShare(rapid.Uint32Range(0, 1000).Draw(t, "share")).WithWeight(2)}, nil))
	default:
		return []uint64{drawJob(t, w)}
	}
	return nil
}

// drawJob submits a random job that fits the smallest limit that drawStep sets.
func drawJob(t *rapid.T, w *bench.Simulation) uint64 {
	spec := job.Spec{
		Team:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Kind:       rapid.SampledFrom([]job.Kind{job.Urgent, job.Batch, job.Gang, job.Service}).Draw(t, "kind"),
		Name:       rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"),
		AtMostOnce: rapid.Bool().Draw(t, "once"),
		Size:       capacity.Size{CPU: rapid.Int64Range(100, 1000).Draw(t, "cpu"), Memory: rapid.Int64Range(100, 1024).Draw(t, "memory"), Slots: 1},
	}
	return submit(w, spec, rapid.IntRange(1, 8).Draw(t, "count"), time.Duration(rapid.IntRange(100, 60_000).Draw(t, "runtime"))*time.Millisecond)
}
