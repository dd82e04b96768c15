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

// taskSize is the size of a small task; a server of the tests holds four.
var taskSize = capacity.Size{CPU: 1000, Memory: 1024, Slots: 1}

// servers returns n servers in racks of two over three zones.
func servers(n int) []backend.Server {
	var list []backend.Server
	for i := range n {
		list = append(list, backend.Server{
			ID: fmt.Sprintf("s%02d", i), Incarnation: 1, Capacity: taskSize.Times(4), State: backend.Ready,
			Rack: fmt.Sprintf("r%d", i/2), Zone: fmt.Sprintf("z%d", i/2%3),
		})
	}
	return list
}

// newWorld returns a world of n servers with two equal teams, a and b.
func newWorld(n int) *bench.World {
	return bench.NewWorld(cell.New(cell.Config{}), servers(n), table.Restore(1, []team.Row{team.New("a"), team.New("b")}))
}

// submit submits a job of n tasks that run for the time given.
func submit(w *bench.World, spec job.Spec, tasks int, runtime time.Duration) uint64 {
	spec.Count = uint32(tasks)
	if spec.Team == "" {
		spec.Team = "a"
	}
	if spec.Kind == 0 {
		spec.Kind = job.Batch
	}
	if spec.Size.IsZero() {
		spec.Size = taskSize
	}
	times := make([]time.Duration, tasks)
	for i := range times {
		times[i] = runtime
	}
	return w.Submit(&spec, times, spec.Size, false)
}

// runUntil plays until the time and reports what was violated.
func runUntil(t *testing.T, w *bench.World, until time.Duration) {
	t.Helper()
	w.Run(until)
	if diff := cmp.Diff([]string(nil), w.Check.Broken); diff != "" {
		t.Fatal(diff)
	}
}

func assertEqual[T any](t *testing.T, label string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", label, diff)
	}
}

// A buyer on the phone asks for a quote while the cell is full of batch and
// thousands of tasks wait. The quote must not wait behind them: the youngest
// repeatable task is preempted, and one that may run only once is not.
func TestUrgentTaskIsPlacedAheadOfBacklog(t *testing.T) {
	w := newWorld(2)
	onceJob := submit(w, job.Spec{Once: true, Name: "once"}, 6, time.Hour)
	submit(w, job.Spec{Name: "batch"}, 5000, time.Hour)
	runUntil(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, time.Minute+400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.On(urgent)))
	assertEqual(t, "once tasks untouched", 6, len(w.On(onceJob)))
	assertEqual(t, "preempted", 1, w.Count(plan.Preempt))
}

// A team calls all of its work urgent. Others would be pushed out of their share
// if urgency alone decided; it takes its own share and no more.
func TestUrgentTasksStayWithinTeamShare(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	submit(w, job.Spec{Team: "a", Kind: job.Urgent}, 100, time.Hour)
	runUntil(t, w, time.Minute)
	if held := w.Team("a").Slots; held < 11 || held > 13 {
		t.Errorf("the flooding team holds %d of 24 slots", held)
	}
}

// Ten thousand queued tasks are cancelled while a quote comes in. The wave must
// neither hold the quote up nor leave anything behind that is placed later.
func TestMassCancellationDoesNotDelayUrgentTask(t *testing.T) {
	w := newWorld(2)
	running := submit(w, job.Spec{Name: "base"}, 8, time.Hour)
	runUntil(t, w, time.Second)
	cancelled := submit(w, job.Spec{Name: "flood"}, 10_000, time.Minute)
	runUntil(t, w, 2*time.Second)
	w.Cancel(cancelled)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, 2400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.On(urgent)))
	w.Cancel(running)
	runUntil(t, w, 10*time.Second)
	assertEqual(t, "nothing of the wave runs", 0, len(w.On(cancelled)))
}

// A team lends its unused half to another. When it needs it back, it gets it
// within seconds, by preemption with checkpoint, not when the borrower is done.
func TestBorrowedShareIsReclaimed(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	assertEqual(t, "borrowed", int64(24), w.Team("b").Slots)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	runUntil(t, w, 13*time.Second)
	assertEqual(t, "taken back", int64(12), w.Team("a").Slots)
}

// An operator triples a weight while both teams have work waiting. The shares
// move there and stay; nobody is stopped beyond that, and nobody starves.
func TestWeightChangeMovesShares(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	preemptionsBefore := w.Count(plan.Preempt)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithWeight(3)}, nil))
	runUntil(t, w, 20*time.Second)
	assertEqual(t, "a's part", int64(18), w.Team("a").Slots)
	runUntil(t, w, 5*time.Minute)
	assertEqual(t, "tasks stopped for the edit", 6, w.Count(plan.Preempt)-preemptionsBefore)
}

// An operator lowers a team's limit below what it runs. New placements stop at
// once; the youngest repeatable tasks are preempted until the team is within it,
// and those that may run only once end by themselves.
func TestLoweredLimitPreemptsYoungestTasks(t *testing.T) {
	w := newWorld(4)
	onceJob := submit(w, job.Spec{Once: true, Name: "once"}, 2, time.Hour)
	oldJob := submit(w, job.Spec{Name: "old"}, 4, time.Hour)
	runUntil(t, w, time.Minute)
	youngJob := submit(w, job.Spec{Name: "young"}, 4, time.Hour)
	runUntil(t, w, 2*time.Minute)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(taskSize.Times(6))}, nil))
	runUntil(t, w, 3*time.Minute)
	assertEqual(t, "once, old, young", []int{2, 4, 0}, []int{len(w.On(onceJob)), len(w.On(oldJob)), len(w.On(youngJob))})
}

// The limit is lowered below what a service needs to answer at all. The service is
// cut down to its floor and no further, though the team stays above its limit.
func TestLoweredLimitKeepsServiceFloor(t *testing.T) {
	w := newWorld(4)
	service := submit(w, job.Spec{Kind: job.Service, Floor: 3}, 6, 1000*time.Hour)
	runUntil(t, w, time.Second)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(taskSize)}, nil))
	runUntil(t, w, time.Minute)
	assertEqual(t, "running", 3, w.Running(service))
}

// A team at its limit has a quote to answer. Its own batch makes room within the
// limit; without that the quote would wait for a batch task to end.
func TestUrgentTaskAtLimitPreemptsOwnBatch(t *testing.T) {
	w := newWorld(4)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(taskSize.Times(3))}, nil))
	submit(w, job.Spec{}, 10, time.Hour)
	runUntil(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, time.Minute+400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.On(urgent)))
}

// A team at its limit runs small tasks one after the other and has a gang to
// start. Each freed part of the limit would go to the next small task; the gang
// gathers those as well.
func TestGangAtLimitIsNotStarved(t *testing.T) {
	w := newWorld(4)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(taskSize.Times(6))}, nil))
	submit(w, job.Spec{Name: "small"}, 500, 5*time.Second)
	runUntil(t, w, time.Minute)
	gang := submit(w, job.Spec{Kind: job.Gang}, 5, time.Minute)
	runUntil(t, w, time.Minute+15*time.Second)
	assertEqual(t, "gang tasks running", 5, len(w.On(gang)))
}

// A deadline passes while the cell is full. The job is dropped as not run, and
// one of which a task ran before is not, for that would not be true.
func TestDeadlineDropsOnlyJobsThatNeverRan(t *testing.T) {
	w := newWorld(1)
	started := submit(w, job.Spec{Name: "started", Deadline: time.Minute}, 6, time.Hour)
	runUntil(t, w, time.Second)
	expired := submit(w, job.Spec{Name: "late", Deadline: time.Minute}, 2, time.Hour)
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "drops", 1, w.Count(plan.Drop))
	assertEqual(t, "tasks left of the started and the late job", []int{6, 0}, []int{w.Left(started), w.Left(expired)})
}

// The control thread loses its term before a placement is committed and decides
// again from the same state: the task must wait as before, not be lost or held.
func TestUnconfirmedPlacementIsRequeued(t *testing.T) {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	p.SetServer(servers(1)[0])
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: taskSize}
	p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1}, Job: spec})
	first := p.Decide(time.Second, 10)
	second := p.Decide(2*time.Second, 10)
	assertEqual(t, "the same decision again", first, second)
	p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: 1}, Job: spec, Server: "s00", PlacedAt: 2 * time.Second})
	assertEqual(t, "nothing after it is confirmed", 0, len(p.Decide(3*time.Second, 10)))
}

// The leader fails while a gang is half stopped, a server drains and work waits.
// The next leader's planner knows only the replayed state; it must go on without
// a task in two places, a partial gang, or work left behind.
func TestPlannerContinuesFromReplayedState(t *testing.T) {
	w := newWorld(4)
	gang := submit(w, job.Spec{Kind: job.Gang, Name: "gang"}, 6, 20*time.Second)
	batch := submit(w, job.Spec{Team: "b"}, 30, 5*time.Second)
	runUntil(t, w, 3*time.Second)
	w.Lose(func(s backend.Server) bool { return s.ID == w.On(gang)[0] }, 20*time.Second, true)
	runUntil(t, w, 3*time.Second+1100*time.Millisecond)
	w.Replan(cell.New(cell.Config{}))
	runUntil(t, w, 5*time.Minute)
	assertEqual(t, "left of gang and batch", []int{0, 0}, []int{w.Left(gang), w.Left(batch)})
}
