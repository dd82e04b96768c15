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

// taskSize is the size of a small task. A backend server of the tests holds four of them.
var taskSize = capacity.Size{CPU: 1000, Memory: 1024, Slots: 1}

// servers returns n backend servers in racks of two, with the racks spread over three zones.
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

// newWorld returns a simulated cell of n backend servers with two equal teams, a and b.
func newWorld(n int) *bench.Simulation {
	return bench.NewSimulation(cell.New(cell.Config{}), servers(n), table.Restore(1, []team.Row{team.New("a"), team.New("b")}))
}

// submit submits a job with the given number of tasks. Each of them runs for runtime.
func submit(w *bench.Simulation, spec job.Spec, tasks int, runtime time.Duration) uint64 {
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

// runUntil runs the simulation until the given time and fails the test if an invariant was
// violated.
func runUntil(t *testing.T, w *bench.Simulation, until time.Duration) {
	t.Helper()
	w.Run(until)
	if diff := cmp.Diff([]string(nil), w.Checker.Violations); diff != "" {
		t.Fatal(diff)
	}
}

// assertEqual reports a difference between want and got as an error.
func assertEqual[T any](t *testing.T, label string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", label, diff)
	}
}

// An urgent task must not wait behind a full cell and thousands of queued batch tasks. One
// repeatable task is preempted for it, and tasks that may run only once are not.
func TestUrgentTaskIsPlacedAheadOfBacklog(t *testing.T) {
	w := newWorld(2)
	onceJob := submit(w, job.Spec{AtMostOnce: true, Name: "once"}, 6, time.Hour)
	submit(w, job.Spec{Name: "batch"}, 5000, time.Hour)
	runUntil(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, time.Minute+400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.ServersOf(urgent)))
	assertEqual(t, "running once tasks", 6, len(w.ServersOf(onceJob)))
	assertEqual(t, "preemptions", 1, w.DecisionCount(plan.Preempt))
}

// A team that declares all its work urgent must not get more than its share. Otherwise its
// urgent tasks would preempt the other teams below their shares.
func TestUrgentTasksStayWithinTeamShare(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	submit(w, job.Spec{Team: "a", Kind: job.Urgent}, 100, time.Hour)
	runUntil(t, w, time.Minute)
	if slots := w.TeamUsage("a").Slots; slots < 11 || slots > 13 {
		t.Errorf("team a holds %d of 24 slots, want 11 to 13", slots)
	}
}

// The cancellation of ten thousand queued tasks must not delay an urgent task, and none of
// the cancelled tasks may be placed later.
func TestMassCancellationDoesNotDelayUrgentTask(t *testing.T) {
	w := newWorld(2)
	running := submit(w, job.Spec{Name: "base"}, 8, time.Hour)
	runUntil(t, w, time.Second)
	cancelled := submit(w, job.Spec{Name: "flood"}, 10_000, time.Minute)
	runUntil(t, w, 2*time.Second)
	w.Cancel(cancelled)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, 2400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.ServersOf(urgent)))
	w.Cancel(running)
	runUntil(t, w, 10*time.Second)
	assertEqual(t, "running cancelled tasks", 0, len(w.ServersOf(cancelled)))
}

// A team whose unused share is borrowed by another team must get it back within seconds, by
// preemption with a checkpoint. It must not wait for the borrowing tasks to end.
func TestBorrowedShareIsReclaimed(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	assertEqual(t, "slots of team b with the borrowed share", int64(24), w.TeamUsage("b").Slots)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	runUntil(t, w, 13*time.Second)
	assertEqual(t, "slots of team a after preemption", int64(12), w.TeamUsage("a").Slots)
}

// After an operator triples a team's weight, the shares must move to the new targets and stay
// there. No more tasks are preempted than the change requires.
func TestWeightChangeMovesShares(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "a"}, 100, time.Hour)
	submit(w, job.Spec{Team: "b"}, 100, time.Hour)
	runUntil(t, w, 10*time.Second)
	preemptionsBefore := w.DecisionCount(plan.Preempt)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithWeight(3)}, nil))
	runUntil(t, w, 20*time.Second)
	assertEqual(t, "slots of team a", int64(18), w.TeamUsage("a").Slots)
	runUntil(t, w, 5*time.Minute)
	assertEqual(t, "preemptions after the weight change", 6, w.DecisionCount(plan.Preempt)-preemptionsBefore)
}

// When a team's limit is lowered below its usage, its youngest repeatable tasks must be
// preempted until it is within the limit. Tasks that may run only once continue to their end.
func TestLoweredLimitPreemptsYoungestTasks(t *testing.T) {
	w := newWorld(4)
	onceJob := submit(w, job.Spec{AtMostOnce: true, Name: "once"}, 2, time.Hour)
	oldJob := submit(w, job.Spec{Name: "old"}, 4, time.Hour)
	runUntil(t, w, time.Minute)
	youngJob := submit(w, job.Spec{Name: "young"}, 4, time.Hour)
	runUntil(t, w, 2*time.Minute)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize.Times(6))}, nil))
	runUntil(t, w, 3*time.Minute)
	assertEqual(t, "running tasks of the jobs once, old, young", []int{2, 4, 0}, []int{len(w.ServersOf(onceJob)), len(w.ServersOf(oldJob)), len(w.ServersOf(youngJob))})
}

// When a team's limit is lowered below the floor of its service, the service must be reduced
// to its floor and no further, even though the team stays above its limit.
func TestLoweredLimitKeepsServiceFloor(t *testing.T) {
	w := newWorld(4)
	service := submit(w, job.Spec{Kind: job.Service, MinRunningTasks: 3}, 6, 1000*time.Hour)
	runUntil(t, w, time.Second)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize)}, nil))
	runUntil(t, w, time.Minute)
	assertEqual(t, "running service tasks", 3, w.RunningTasks(service))
}

// An urgent task of a team at its limit must preempt batch of the same team. Otherwise it
// would wait until a batch task ends.
func TestUrgentTaskAtLimitPreemptsOwnBatch(t *testing.T) {
	w := newWorld(4)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize.Times(3))}, nil))
	submit(w, job.Spec{}, 10, time.Hour)
	runUntil(t, w, time.Minute)
	urgent := submit(w, job.Spec{Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, time.Minute+400*time.Millisecond)
	assertEqual(t, "urgent task placed", 1, len(w.ServersOf(urgent)))
}

// A gang of a team at its limit must not starve. Without a reservation, each freed part of the
// limit would go to the team's next small task.
func TestGangAtLimitIsNotStarved(t *testing.T) {
	w := newWorld(4)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize.Times(6))}, nil))
	submit(w, job.Spec{Name: "small"}, 500, 5*time.Second)
	runUntil(t, w, time.Minute)
	gang := submit(w, job.Spec{Kind: job.Gang}, 5, time.Minute)
	runUntil(t, w, time.Minute+15*time.Second)
	assertEqual(t, "gang tasks running", 5, len(w.ServersOf(gang)))
}

// A job whose deadline passes before any of its tasks is placed must be dropped as not run. A
// job of which a task has been placed must not be dropped, because it did run.
func TestDeadlineDropsOnlyJobsThatNeverRan(t *testing.T) {
	w := newWorld(1)
	started := submit(w, job.Spec{Name: "started", PlacementTimeout: time.Minute}, 6, time.Hour)
	runUntil(t, w, time.Second)
	expired := submit(w, job.Spec{Name: "late", PlacementTimeout: time.Minute}, 2, time.Hour)
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "drops", 1, w.DecisionCount(plan.Drop))
	assertEqual(t, "tasks left of the started and the expired job", []int{6, 0}, []int{w.UnfinishedTasks(started), w.UnfinishedTasks(expired)})
}

// If the leader's term ends before a placement is committed, the task must wait again. It must
// neither be lost nor take capacity.
func TestUnconfirmedPlacementIsRequeued(t *testing.T) {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	p.SetServer(servers(1)[0])
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: taskSize}
	p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1}, Job: spec})
	first := p.Decide(time.Second, 10)
	second := p.Decide(2*time.Second, 10)
	assertEqual(t, "decision repeated after a placement without confirmation", first, second)
	p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: 1}, Job: spec, Server: "s00", PlacedAt: 2 * time.Second})
	assertEqual(t, "decisions after the confirmation", 0, len(p.Decide(3*time.Second, 10)))
}

// After a failover, the planner of the new leader knows only the replayed state. It must
// continue without a task placed twice, a partial gang or lost work, even if the old leader
// failed while a gang was being stopped.
func TestPlannerContinuesFromReplayedState(t *testing.T) {
	w := newWorld(4)
	gang := submit(w, job.Spec{Kind: job.Gang, Name: "gang"}, 6, 20*time.Second)
	batch := submit(w, job.Spec{Team: "b"}, 30, 5*time.Second)
	runUntil(t, w, 3*time.Second)
	w.FailServers(func(s backend.Server) bool { return s.ID == w.ServersOf(gang)[0] }, 20*time.Second, true)
	runUntil(t, w, 3*time.Second+1100*time.Millisecond)
	w.ReplacePlanner(cell.New(cell.Config{}))
	runUntil(t, w, 5*time.Minute)
	assertEqual(t, "tasks left of the gang and the batch job", []int{0, 0}, []int{w.UnfinishedTasks(gang), w.UnfinishedTasks(batch)})
}
