package cell_test

import (
	"slices"
	"testing"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
)

// When a server with one task of a gang is lost, the other tasks must be stopped and the whole
// gang restarted. Otherwise they would hold their capacity and wait for the lost task.
func TestGangRestartsWholeAfterServerLoss(t *testing.T) {
	w := newWorld(6)
	gang := submit(w, job.Spec{Kind: job.Gang}, 8, time.Minute)
	runUntil(t, w, time.Second)
	lostServer := w.ServersOf(gang)[0]
	w.FailServers(func(s backend.Server) bool { return s.ID == lostServer }, time.Hour, true)
	runUntil(t, w, 5*time.Second)
	assertEqual(t, "running gang tasks", 8, len(w.ServersOf(gang)))
	if slices.Contains(w.ServersOf(gang), lostServer) {
		t.Errorf("a gang task is placed on the lost server %s", lostServer)
	}
	assertEqual(t, "attempts of the first and the last task", []uint32{2, 2}, []uint32{w.Attempts(task.ID{Job: gang}), w.Attempts(task.ID{Job: gang, Index: 7})})
}

// A gang that needs a third of the cell must start while small tasks keep the cell full.
// Without a reservation, each server that becomes free would go to the next small task.
func TestLargeGangIsNotStarvedBySmallTasks(t *testing.T) {
	w := newWorld(6)
	submit(w, job.Spec{Team: "b"}, 2000, 10*time.Second)
	submit(w, job.Spec{Team: "a", Name: "small"}, 2000, 10*time.Second)
	runUntil(t, w, time.Minute)
	gang := submit(w, job.Spec{Team: "a", Kind: job.Gang}, 8, time.Minute)
	runUntil(t, w, time.Minute+15*time.Second)
	assertEqual(t, "gang tasks running", 8, len(w.ServersOf(gang)))
}

// A gang that fits into one rack must be placed there, because its tasks communicate with each
// other.
func TestGangIsPlacedInOneRack(t *testing.T) {
	w := newWorld(6)
	gang := submit(w, job.Spec{Kind: job.Gang}, 8, time.Minute)
	runUntil(t, w, time.Second)
	racks := map[string]bool{}
	for _, id := range w.ServersOf(gang) {
		racks[w.Server(id).Rack] = true
	}
	assertEqual(t, "racks used", 1, len(racks))
}

// Service tasks must be spread over zones and racks, so that the service survives the loss of
// one. When servers drain, the tasks move one at a time and never fall below the floor.
func TestServiceSpreadsAndDrainsOneTaskAtATime(t *testing.T) {
	w := newWorld(12)
	service := submit(w, job.Spec{Kind: job.Service, MinRunningTasks: 5}, 6, 1000*time.Hour)
	runUntil(t, w, time.Second)
	tasksByZone, tasksByRack := map[string]int{}, map[string]int{}
	for _, id := range w.ServersOf(service) {
		tasksByZone[w.Server(id).Zone]++
		tasksByRack[w.Server(id).Rack]++
	}
	assertEqual(t, "tasks by zone", map[string]int{"z0": 2, "z1": 2, "z2": 2}, tasksByZone)
	assertEqual(t, "racks used", 6, len(tasksByRack))
	for _, id := range w.ServersOf(service)[:3] {
		w.SetServer(w.Server(id).WithState(backend.Draining, time.Second))
	}
	fewestRunning := 6
	for i := range 100 {
		runUntil(t, w, time.Second+time.Duration(i)*20*time.Millisecond)
		fewestRunning = min(fewestRunning, w.RunningTasks(service))
	}
	assertEqual(t, "fewest running service tasks", 5, fewestRunning)
	for _, id := range w.ServersOf(service) {
		assertEqual(t, "state of "+id, backend.Ready, w.Server(id).State)
	}
}

// Service tasks that may run only once must not be stopped, because they could not be
// retried. Neither a lowered limit nor a draining server may stop them.
func TestOnceServiceIsNeverStopped(t *testing.T) {
	w := newWorld(2)
	service := submit(w, job.Spec{Kind: job.Service, AtMostOnce: true}, 4, time.Hour)
	runUntil(t, w, time.Second)
	w.SetTable(w.Table().Update([]team.Row{team.New("a").WithLimit(taskSize)}, nil))
	w.SetServer(w.Server(w.ServersOf(service)[0]).WithState(backend.Draining, time.Second))
	runUntil(t, w, time.Minute)
	assertEqual(t, "running service tasks", 4, w.RunningTasks(service))
}

// After the loss of an availability zone with a third of the cell, urgent and service tasks
// must be placed again first. Batch of teams above their share is preempted for them.
func TestUrgentAndServiceTasksAreReplacedFirstAfterZoneLoss(t *testing.T) {
	w := newWorld(12)
	service := submit(w, job.Spec{Kind: job.Service}, 6, 1000*time.Hour)
	submit(w, job.Spec{Team: "b"}, 500, time.Hour)
	runUntil(t, w, 10*time.Second)
	for range 5 {
		submit(w, job.Spec{Kind: job.Urgent}, 1, time.Minute)
	}
	runUntil(t, w, 12*time.Second)
	w.Metrics.MeasureFrom = 12 * time.Second
	w.FailServers(func(s backend.Server) bool { return s.Zone == "z0" }, time.Hour, true)
	runUntil(t, w, 15*time.Second)
	assertEqual(t, "service tasks running", 6, len(w.ServersOf(service)))
	if wait := max(w.MaxWait(job.Urgent), w.MaxWait(job.Service)); wait > 1300*time.Millisecond {
		t.Errorf("urgent or service task was placed %v after the loss, want at most 1.3 s including 1 s for the lease", wait)
	}
}

// When the servers that hold the urgent reserve become suspect, the reserve must be rebuilt on
// other servers. Otherwise the next urgent tasks would wait for preempted tasks to save their
// checkpoint.
func TestUrgentReserveMovesOffSuspectServers(t *testing.T) {
	w := newWorld(6)
	for range 2 {
		submit(w, job.Spec{Team: "b", Kind: job.Urgent}, 1, 100*time.Millisecond)
	}
	runUntil(t, w, 100*time.Millisecond)
	backlog := submit(w, job.Spec{}, 4000, time.Second)
	runUntil(t, w, 5*time.Second)
	tasksByServer := map[string]int{}
	for _, id := range w.ServersOf(backlog) {
		tasksByServer[id]++
	}
	for _, s := range servers(6) {
		if tasksByServer[s.ID] < 4 {
			w.SetServer(s.WithState(backend.Suspect, w.Now()))
		}
	}
	runUntil(t, w, 10*time.Second)
	w.Metrics.MeasureFrom = 10 * time.Second
	submit(w, job.Spec{Team: "b", Kind: job.Urgent}, 1, time.Second)
	runUntil(t, w, 11*time.Second)
	if wait := w.MaxWait(job.Urgent); wait == 0 || wait > 10*time.Millisecond {
		t.Errorf("urgent task waited %v, want more than 0 and at most 10 ms", wait)
	}
}

// A suspect server must get no new tasks, even before its lease expires. It may still be
// running, so its tasks take capacity until they are confirmed lost.
func TestSuspectServerGetsNoNewTasks(t *testing.T) {
	w := newWorld(2)
	first := submit(w, job.Spec{}, 1, time.Hour)
	runUntil(t, w, time.Second)
	suspect := w.ServersOf(first)[0]
	w.SetServer(w.Server(suspect).WithState(backend.Suspect, time.Second))
	second := submit(w, job.Spec{}, 7, time.Hour)
	runUntil(t, w, 10*time.Second)
	assertEqual(t, "tasks on the other server", 4, len(w.ServersOf(second)))
	assertEqual(t, "tasks on the suspect server", 1, len(w.ServersOf(first)))
}

// A task that uses twice its declared memory must be stopped when its server is overcommitted,
// and no task may be placed in the excess. After three stops the job is parked. Otherwise it
// would be retried without end.
func TestMemoryOveruseStopsTaskAndParksJob(t *testing.T) {
	w := newWorld(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: taskSize}
	overuser := w.Submit(spec, []time.Duration{time.Hour}, capacity.Size{CPU: 1000, Memory: 2048, Slots: 1}, false)
	runUntil(t, w, 12*time.Second)
	others := submit(w, job.Spec{Team: "b"}, 3, time.Hour)
	runUntil(t, w, 13*time.Second)
	assertEqual(t, "other tasks on the server", 2, len(w.ServersOf(others)))
	runUntil(t, w, 5*time.Minute)
	assertEqual(t, "tasks left of the overuser", 0, w.UnfinishedTasks(overuser))
	assertEqual(t, "stop and park decisions", []int{3, 1}, []int{w.DecisionCount(plan.Stop), w.DecisionCount(plan.Park)})
}

// A task that may run only once and exceeds its declared memory must be throttled once and not
// stopped, because the ledger refuses to stop it. Its server gets no tasks until it has ended.
func TestOveruseOfOnceTaskIsOnlyThrottled(t *testing.T) {
	w := newWorld(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: taskSize, AtMostOnce: true}
	overuser := w.Submit(spec, []time.Duration{time.Minute}, capacity.Size{CPU: 1000, Memory: 4096, Slots: 1}, false)
	runUntil(t, w, 12*time.Second)
	others := submit(w, job.Spec{Team: "b"}, 3, time.Hour)
	runUntil(t, w, 50*time.Second)
	assertEqual(t, "running tasks of the overuser, other tasks on the server", []int{1, 0}, []int{w.RunningTasks(overuser), len(w.ServersOf(others))})
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "tasks left of the overuser, other tasks placed afterwards", []int{0, 3}, []int{w.UnfinishedTasks(overuser), len(w.ServersOf(others))})
	assertEqual(t, "throttle and stop decisions", []int{1, 0}, []int{w.DecisionCount(plan.Throttle), w.DecisionCount(plan.Stop)})
}

// A task that uses more CPU than declared must be throttled and then run to its end, because
// throttling brings its usage back to the declared size.
func TestCPUOveruseIsThrottled(t *testing.T) {
	w := newWorld(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: taskSize}
	overuser := w.Submit(spec, []time.Duration{time.Minute}, capacity.Size{CPU: 2500, Memory: 1024, Slots: 1}, false)
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "tasks left of the overuser", 0, w.UnfinishedTasks(overuser))
	assertEqual(t, "throttle and stop decisions", []int{1, 0}, []int{w.DecisionCount(plan.Throttle), w.DecisionCount(plan.Stop)})
}

// A server that fails every task immediately always has free capacity and attracts more tasks. It
// must be quarantined without parking the jobs that failed on it. After it is repaired, probes
// must restore it.
func TestFailingServerIsQuarantinedAndReturns(t *testing.T) {
	w := newWorld(12)
	goodJob := submit(w, job.Spec{Name: "good"}, 300, 5*time.Second)
	runUntil(t, w, 10*time.Second)
	w.SetFailing("s03", true)
	runUntil(t, w, 30*time.Second)
	assertEqual(t, "state of the failing server", backend.Quarantined, w.Server("s03").State)
	w.SetFailing("s03", false)
	submit(w, job.Spec{Name: "good"}, 300, 5*time.Second)
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "state of the repaired server", backend.Ready, w.Server("s03").State)
	assertEqual(t, "tasks left of the job, park decisions", []int{0, 0}, []int{w.UnfinishedTasks(goodJob), w.DecisionCount(plan.Park)})
}

// A job whose hundred tasks crash on every server must be parked after a few failures and must
// not cause the quarantine of any server.
func TestCrashingJobQuarantinesNoServer(t *testing.T) {
	w := newWorld(12)
	submit(w, job.Spec{Team: "b", Name: "good"}, 200, 5*time.Second)
	runUntil(t, w, 6*time.Second)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Name: "bad", Count: 100, Size: taskSize}
	crashingJob := w.Submit(spec, make([]time.Duration, 100), taskSize, true)
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "quarantine and park decisions", []int{0, 1}, []int{w.DecisionCount(plan.Quarantine), w.DecisionCount(plan.Park)})
	assertEqual(t, "tasks left of the crashing job", 0, w.UnfinishedTasks(crashingJob))
}

// A healthy job that fails on four faulty servers, each before its quarantine, must not be
// parked. The quarantine of a server removes its failures from the job's budget.
func TestHealthyJobSurvivesFailingServers(t *testing.T) {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	allServers := servers(40)
	for _, s := range allServers {
		p.SetServer(s)
	}
	lastJob := uint64(1)
	runAttempt := func(id uint64, name, server string, failed bool) {
		spec := &job.Spec{Team: "a", Kind: job.Batch, Name: name, Count: 1, Size: taskSize}
		p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: id}, Job: spec, Server: server})
		p.EndAttempt(task.ID{Job: id}, plan.AttemptEnd{Started: true, Failed: failed})
		if failed && id == 1 {
			p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1}, Job: spec, Attempts: 1})
		}
	}
	for range 20 {
		lastJob++
		runAttempt(lastJob, "good", "s39", false)
	}
	for i := range 4 {
		for range 4 {
			lastJob++
			runAttempt(lastJob, "good", allServers[i].ID, true)
		}
		runAttempt(1, "sound", allServers[i].ID, true)
		for range 8 {
			lastJob++
			runAttempt(lastJob, "good", "s39", false)
		}
		for _, d := range p.Decide(time.Duration(i)*time.Millisecond, 100) {
			if d.Action == plan.Park {
				t.Fatalf("job parked after failures on %d servers: %+v", i+1, d)
			}
			if d.Action == plan.Quarantine {
				p.SetServer(allServers[i].WithState(backend.Quarantined, 0))
			}
		}
	}
}

// lossesUntilParked simulates the repeated loss of the servers of a job. Each loss happens
// ranFor after the placement of its tasks. It returns the number of losses after which the job
// is parked, or 0 if it is not parked.
func lossesUntilParked(tasks uint32, ranFor time.Duration) int {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	allServers := servers(40)
	for _, s := range allServers {
		p.SetServer(s)
	}
	spec := &job.Spec{Team: "a", Kind: job.Batch, Name: "one", Count: tasks, Size: taskSize}
	now := time.Minute
	for loss := 1; loss <= 8; loss++ {
		for i := range tasks {
			p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: 1, Index: i}, Job: spec, Server: allServers[loss*4+int(i)%4].ID, PlacedAt: now})
		}
		silentAt := now + ranFor
		now = silentAt + 15*time.Second
		for _, s := range allServers[loss*4 : loss*4+4] {
			p.SetServer(s.WithState(backend.Suspect, silentAt))
			p.SetServer(s.WithState(backend.Gone, now))
		}
		for i := range tasks {
			p.EndAttempt(task.ID{Job: 1, Index: i}, plan.AttemptEnd{EndedAt: now, Started: true, ServerLost: true})
		}
		for i := range tasks {
			p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1, Index: i}, Job: spec, Attempts: uint32(loss)})
		}
		for _, d := range p.Decide(now, 100) {
			if d.Action == plan.Park {
				return loss
			}
		}
	}
	return 0
}

// A job that crashes every server it starts on must be parked. Otherwise it would be placed
// again and again and crash the whole cell. Several servers lost together count as one loss.
// A job that ran for an hour before each loss must not be parked.
func TestJobThatCrashesServersIsParked(t *testing.T) {
	assertEqual(t, "losses until parked, one task", 3, lossesUntilParked(1, time.Second))
	assertEqual(t, "losses until parked, twelve tasks on servers lost together", 3, lossesUntilParked(12, time.Second))
	assertEqual(t, "losses until parked, one hour of run time before each loss", 0, lossesUntilParked(1, time.Hour))
}

// If every server fails all tasks, for example because of a bad image or a network fault, only
// a limited number of servers may be quarantined. Otherwise the cell would stop working.
func TestQuarantineIsCapped(t *testing.T) {
	w := newWorld(20)
	for i := range 20 {
		submit(w, job.Spec{Name: string(rune('a' + i))}, 4, time.Second)
	}
	runUntil(t, w, 10*time.Second)
	for _, s := range servers(20) {
		w.SetFailing(s.ID, true)
	}
	for i := range 20 {
		submit(w, job.Spec{Name: string(rune('a' + i))}, 4, time.Second)
	}
	runUntil(t, w, 2*time.Minute)
	assertEqual(t, "quarantine decisions", 2, w.DecisionCount(plan.Quarantine))
}

// A task larger than any server must wait without blocking other tasks or causing preemptions,
// and must be placed when a large enough server is announced.
func TestUnplaceableTaskDoesNotBlockOthers(t *testing.T) {
	w := newWorld(2)
	unplaceable := submit(w, job.Spec{Team: "a", Size: taskSize.Times(6)}, 50, time.Minute)
	others := submit(w, job.Spec{Team: "b"}, 8, time.Hour)
	runUntil(t, w, time.Minute)
	assertEqual(t, "placed tasks of the other job", 8, len(w.ServersOf(others)))
	assertEqual(t, "preemptions", 0, w.DecisionCount(plan.Preempt))
	largeServer := servers(1)[0]
	largeServer.ID, largeServer.Capacity = "large", taskSize.Times(8)
	w.SetServer(largeServer)
	runUntil(t, w, time.Minute+time.Second)
	assertEqual(t, "placed on the large server", []string{"large"}, w.ServersOf(unplaceable))
}

// Tasks whose real run time is more than ten times the declared one must be ordered behind
// tasks that are really short, because the planner uses the run times learned for their name.
func TestLearnedRuntimeOrdersQueue(t *testing.T) {
	w := newWorld(1)
	submit(w, job.Spec{Name: "liar", EstimatedRuntime: time.Second}, 8, 30*time.Second)
	runUntil(t, w, 2*time.Minute)
	blocker := submit(w, job.Spec{Name: "blocker", EstimatedRuntime: time.Second}, 4, 10*time.Second)
	runUntil(t, w, 2*time.Minute+time.Second)
	underdeclared := submit(w, job.Spec{Name: "liar", EstimatedRuntime: time.Second}, 4, 30*time.Second)
	short := submit(w, job.Spec{Name: "short", EstimatedRuntime: 5 * time.Second}, 4, 5*time.Second)
	runUntil(t, w, 2*time.Minute+12*time.Second)
	assertEqual(t, "blocker, liar, short running", []int{0, 0, 4}, []int{len(w.ServersOf(blocker)), len(w.ServersOf(underdeclared)), len(w.ServersOf(short))})
}
