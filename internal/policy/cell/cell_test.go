package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/policy/bench"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
)

// one is the size of a small task; a server of the tests holds four.
var one = capacity.Size{CPU: 1000, Memory: 1024, Slots: 1}

// servers returns n servers in racks of two over three zones.
func servers(n int) []backend.Server {
	var list []backend.Server
	for i := range n {
		list = append(list, backend.Server{
			ID: fmt.Sprintf("s%02d", i), Incarnation: 1, Capacity: one.Times(4), State: backend.Ready,
			Rack: fmt.Sprintf("r%d", i/2), Zone: fmt.Sprintf("z%d", i/2%3),
		})
	}
	return list
}

// world returns a world of n servers with two equal teams, a and b.
func world(n int) *bench.World {
	return bench.NewWorld(cell.New(cell.Config{}), servers(n), table.Restore(1, []team.Row{team.New("a"), team.New("b")}))
}

// submit submits a job of n tasks that run for the time given.
func submit(w *bench.World, spec job.Spec, n int, d time.Duration) uint64 {
	spec.Count = uint32(n)
	if spec.Team == "" {
		spec.Team = "a"
	}
	if spec.Kind == 0 {
		spec.Kind = job.Batch
	}
	if spec.Size.IsZero() {
		spec.Size = one
	}
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = d
	}
	return w.Submit(&spec, times, spec.Size, false)
}

// run plays until the time and reports what was violated.
func run(t *testing.T, w *bench.World, until time.Duration) {
	t.Helper()
	w.Run(until)
	if diff := cmp.Diff([]string(nil), w.Check.Broken); diff != "" {
		t.Fatal(diff)
	}
}

func want[T any](t *testing.T, what string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// A buyer on the phone asks for a quote while the cell is full of batch and
// thousands of tasks wait. The quote must not wait behind them: the youngest
// repeatable task is preempted, and one that may run only once is not.
func TestUrgentGoesAheadOfTheBacklog(t *testing.T) {
	w := world(2)
	once := submit(w, job.Spec{Once: true, Name: "once"}, 6, time.Hour)
	submit(w, job.Spec{Name: "batch"}, 5000, time.Hour)
	run(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	run(t, w, time.Minute+400*time.Millisecond)
	want(t, "urgent task placed", 1, len(w.On(urgent)))
	want(t, "once tasks untouched", 6, len(w.On(once)))
	want(t, "preempted", 1, w.Count(plan.Preempt))
}

// A team calls all of its work urgent. Others would be pushed out of their share
// if urgency alone decided; it takes its own share and no more.
func TestUrgentFloodTakesNoMoreThanItsShare(t *testing.T) {
	w := world(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	run(t, w, 10*time.Second)
	submit(w, job.Spec{Team: "a", Kind: job.Urgent}, 100, time.Hour)
	run(t, w, time.Minute)
	if held := w.Team("a").Slots; held < 11 || held > 13 {
		t.Errorf("the flooding team holds %d of 24 slots", held)
	}
}

// Ten thousand queued tasks are cancelled while a quote comes in. The wave must
// neither hold the quote up nor leave anything behind that is placed later.
func TestCancellationWaveDoesNotHoldUpUrgentWork(t *testing.T) {
	w := world(2)
	running := submit(w, job.Spec{Name: "base"}, 8, time.Hour)
	run(t, w, time.Second)
	flood := submit(w, job.Spec{Name: "flood"}, 10_000, time.Minute)
	run(t, w, 2*time.Second)
	w.Cancel(flood)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	run(t, w, 2400*time.Millisecond)
	want(t, "urgent task placed", 1, len(w.On(urgent)))
	w.Cancel(running)
	run(t, w, 10*time.Second)
	want(t, "nothing of the wave runs", 0, len(w.On(flood)))
}

// A team lends its unused half to another. When it needs it back, it gets it
// within seconds, by preemption with checkpoint, not when the borrower is done.
func TestLentShareIsTakenBack(t *testing.T) {
	w := world(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	run(t, w, 10*time.Second)
	want(t, "borrowed", int64(24), w.Team("b").Slots)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	run(t, w, 13*time.Second)
	want(t, "taken back", int64(12), w.Team("a").Slots)
}

// An operator triples a weight while both teams have work waiting. The shares
// move there and stay; nobody is stopped beyond that, and nobody starves.
func TestEditedWeightMovesSharesOnce(t *testing.T) {
	w := world(6)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	run(t, w, 10*time.Second)
	before := w.Count(plan.Preempt)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithWeight(3)}, nil))
	run(t, w, 20*time.Second)
	want(t, "a's part", int64(18), w.Team("a").Slots)
	run(t, w, 5*time.Minute)
	want(t, "tasks stopped for the edit", 6, w.Count(plan.Preempt)-before)
}

// An operator lowers a team's limit below what it runs. New placements stop at
// once; the youngest repeatable tasks are preempted until the team is within it,
// and those that may run only once end by themselves.
func TestLoweredLimitStopsTheYoungest(t *testing.T) {
	w := world(4)
	once := submit(w, job.Spec{Once: true, Name: "once"}, 2, time.Hour)
	old := submit(w, job.Spec{Name: "old"}, 4, time.Hour)
	run(t, w, time.Minute)
	young := submit(w, job.Spec{Name: "young"}, 4, time.Hour)
	run(t, w, 2*time.Minute)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(one.Times(6))}, nil))
	run(t, w, 3*time.Minute)
	want(t, "once, old, young", []int{2, 4, 0}, []int{len(w.On(once)), len(w.On(old)), len(w.On(young))})
}

// The limit is lowered below what a service needs to answer at all. The service is
// cut down to its floor and no further, though the team stays above its limit.
func TestLoweredLimitLeavesServicesTheirFloor(t *testing.T) {
	w := world(4)
	service := submit(w, job.Spec{Kind: job.Service, Floor: 3}, 6, 1000*time.Hour)
	run(t, w, time.Second)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(one)}, nil))
	run(t, w, time.Minute)
	want(t, "running", 3, w.Running(service))
}

// A team at its limit has a quote to answer. Its own batch makes room within the
// limit; without that the quote would wait for a batch task to end.
func TestUrgentAtTheLimitReplacesOwnBatch(t *testing.T) {
	w := world(4)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(one.Times(3))}, nil))
	submit(w, job.Spec{}, 10, time.Hour)
	run(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	run(t, w, time.Minute+400*time.Millisecond)
	want(t, "urgent task placed", 1, len(w.On(urgent)))
}

// A team at its limit runs small tasks one after the other and has a gang to
// start. Each freed part of the limit would go to the next small task; the gang
// gathers those as well.
func TestGangAtTheLimitIsNotStarved(t *testing.T) {
	w := world(4)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(one.Times(6))}, nil))
	submit(w, job.Spec{Name: "small"}, 500, 5*time.Second)
	run(t, w, time.Minute)
	gang := submit(w, job.Spec{Kind: job.Gang}, 5, time.Minute)
	run(t, w, time.Minute+15*time.Second)
	want(t, "gang tasks running", 5, len(w.On(gang)))
}

// A deadline passes while the cell is full. The job is dropped as not run, and
// one of which a task ran before is not, for that would not be true.
func TestDeadlineDropsOnlyWhatNeverRan(t *testing.T) {
	w := world(1)
	started := submit(w, job.Spec{Name: "started", Deadline: time.Minute}, 6, time.Hour)
	run(t, w, time.Second)
	late := submit(w, job.Spec{Name: "late", Deadline: time.Minute}, 2, time.Hour)
	run(t, w, 2*time.Minute)
	want(t, "drops", 1, w.Count(plan.Drop))
	want(t, "tasks left of the started and the late job", []int{6, 0}, []int{w.Left(started), w.Left(late)})
}

// The control thread loses its term before a placement is committed and decides
// again from the same state: the task must wait as before, not be lost or held.
func TestUnconfirmedPlacementWaitsAgain(t *testing.T) {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	p.SetServer(servers(1)[0])
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: one}
	p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1}, Job: spec})
	first := p.Decide(time.Second, 10)
	second := p.Decide(2*time.Second, 10)
	want(t, "the same decision again", first, second)
	p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: 1}, Job: spec, Server: "s00", PlacedAt: 2 * time.Second})
	want(t, "nothing after it is confirmed", 0, len(p.Decide(3*time.Second, 10)))
}

// The leader fails while a gang is half stopped, a server drains and work waits.
// The next leader's planner knows only the replayed state; it must go on without
// a task in two places, a partial gang, or work left behind.
func TestFailoverGoesOnFromTheReplayedState(t *testing.T) {
	w := world(4)
	gang := submit(w, job.Spec{Kind: job.Gang, Name: "gang"}, 6, 20*time.Second)
	batch := submit(w, job.Spec{Team: "b"}, 30, 5*time.Second)
	run(t, w, 3*time.Second)
	w.Lose(func(s backend.Server) bool { return s.ID == w.On(gang)[0] }, 20*time.Second, true)
	run(t, w, 3*time.Second+1100*time.Millisecond)
	w.Replan(cell.New(cell.Config{}))
	run(t, w, 5*time.Minute)
	want(t, "left of gang and batch", []int{0, 0}, []int{w.Left(gang), w.Left(batch)})
}
