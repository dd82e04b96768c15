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

// A server dies under one task of a gang. The others would wait for it for ever
// and hold their room: they are stopped too, and the gang starts anew as a whole.
func TestGangStartsWholeAgainAfterALoss(t *testing.T) {
	w := world(6)
	gang := submit(w, job.Spec{Kind: job.Gang}, 8, time.Minute)
	run(t, w, time.Second)
	lost := w.On(gang)[0]
	w.Lose(func(s backend.Server) bool { return s.ID == lost }, time.Hour, true)
	run(t, w, 5*time.Second)
	want(t, "tasks running again", 8, len(w.On(gang)))
	if slices.Contains(w.On(gang), lost) {
		t.Error("the gang is on the lost server")
	}
	want(t, "attempts of the first and the last task", []uint32{2, 2}, []uint32{w.Attempts(task.ID{Job: gang}), w.Attempts(task.ID{Job: gang, Index: 7})})
}

// A gang needs a third of a cell that small tasks fill again as fast as they end.
// Each free piece would go to the next small task; the gang gathers them instead.
func TestLargeGangIsNotStarvedBySmallTasks(t *testing.T) {
	w := world(6)
	submit(w, job.Spec{Team: "b"}, 2000, 10*time.Second)
	submit(w, job.Spec{Team: "a", Name: "small"}, 2000, 10*time.Second)
	run(t, w, time.Minute)
	gang := submit(w, job.Spec{Team: "a", Kind: job.Gang}, 8, time.Minute)
	run(t, w, time.Minute+15*time.Second)
	want(t, "gang tasks running", 8, len(w.On(gang)))
}

// A gang fits into one rack and into pieces all over the cell. Its tasks talk to
// each other, so it goes into the one rack.
func TestGangGoesIntoOneRack(t *testing.T) {
	w := world(6)
	gang := submit(w, job.Spec{Kind: job.Gang}, 8, time.Minute)
	run(t, w, time.Second)
	racks := map[string]bool{}
	for _, id := range w.On(gang) {
		racks[w.Server(id).Rack] = true
	}
	want(t, "racks used", 1, len(racks))
}

// A service must outlive a rack and a zone: its tasks spread over both, and when
// a server drains, they move one at a time and never fall below the floor.
func TestServiceSpreadsAndMovesOneAtATime(t *testing.T) {
	w := world(12)
	service := submit(w, job.Spec{Kind: job.Service, Floor: 5}, 6, 1000*time.Hour)
	run(t, w, time.Second)
	zones, racks := map[string]int{}, map[string]int{}
	for _, id := range w.On(service) {
		zones[w.Server(id).Zone]++
		racks[w.Server(id).Rack]++
	}
	want(t, "tasks by zone", map[string]int{"z0": 2, "z1": 2, "z2": 2}, zones)
	want(t, "racks used", 6, len(racks))
	for _, id := range w.On(service)[:3] {
		w.SetServer(w.Server(id).WithState(backend.Draining, time.Second))
	}
	least := 6
	for i := range 100 {
		run(t, w, time.Second+time.Duration(i)*20*time.Millisecond)
		least = min(least, w.Running(service))
	}
	want(t, "fewest running", 5, least)
	for _, id := range w.On(service) {
		want(t, "state of "+id, backend.Ready, w.Server(id).State)
	}
}

// A service's tasks may run only once, and the team's limit is lowered below them
// or their server drains. Stopping them would end them for good: they stay.
func TestOnceServiceIsNeverStopped(t *testing.T) {
	w := world(2)
	service := submit(w, job.Spec{Kind: job.Service, Once: true}, 4, time.Hour)
	run(t, w, time.Second)
	w.SetTable(w.Table().With([]team.Row{team.New("a").WithLimit(one)}, nil))
	w.SetServer(w.Server(w.On(service)[0]).WithState(backend.Draining, time.Second))
	run(t, w, time.Minute)
	want(t, "running", 4, w.Running(service))
}

// An availability zone goes at the peak, a third of the cell with it. Everything
// lost comes back at once; the urgent task and the services go first, and batch
// of teams above their due makes room for them.
func TestLostZoneIsReplacedUrgentFirst(t *testing.T) {
	w := world(12)
	service := submit(w, job.Spec{Kind: job.Service}, 6, 1000*time.Hour)
	submit(w, job.Spec{Team: "b"}, 500, time.Hour)
	run(t, w, 10*time.Second)
	for range 5 {
		submit(w, job.Spec{Kind: job.Urgent}, 1, time.Minute)
	}
	run(t, w, 12*time.Second)
	w.Meter.From = 12 * time.Second
	w.Lose(func(s backend.Server) bool { return s.Zone == "z0" }, time.Hour, true)
	run(t, w, 15*time.Second)
	want(t, "service tasks running", 6, len(w.On(service)))
	if wait := max(w.Longest(job.Urgent), w.Longest(job.Service)); wait > 1300*time.Millisecond {
		t.Errorf("waited %v to be placed again, 1 s of it for the lease", wait)
	}
}

// The servers that hold the urgent reserve go silent. What is reserved there
// helps nobody: the reserve is built up again elsewhere, and the next quotes need
// not wait for a checkpoint.
func TestReserveMovesFromLostServers(t *testing.T) {
	w := world(6)
	for range 2 {
		submit(w, job.Spec{Team: "b", Kind: job.Urgent}, 1, 100*time.Millisecond)
	}
	run(t, w, 100*time.Millisecond)
	flood := submit(w, job.Spec{}, 4000, time.Second)
	run(t, w, 5*time.Second)
	full := map[string]int{}
	for _, id := range w.On(flood) {
		full[id]++
	}
	for _, s := range servers(6) {
		if full[s.ID] < 4 {
			w.SetServer(s.WithState(backend.Suspect, w.Now()))
		}
	}
	run(t, w, 10*time.Second)
	w.Meter.From = 10 * time.Second
	submit(w, job.Spec{Team: "b", Kind: job.Urgent}, 1, time.Second)
	run(t, w, 11*time.Second)
	if wait := w.Longest(job.Urgent); wait == 0 || wait > 10*time.Millisecond {
		t.Errorf("urgent work waits %v", wait)
	}
}

// A silent server may be up still. It takes nothing new from the moment that it
// is suspect, before the wait for its lease begins, and its tasks count as
// running until they are proved lost.
func TestSuspectServerTakesNothingNew(t *testing.T) {
	w := world(2)
	first := submit(w, job.Spec{}, 1, time.Hour)
	run(t, w, time.Second)
	silent := w.On(first)[0]
	w.SetServer(w.Server(silent).WithState(backend.Suspect, time.Second))
	second := submit(w, job.Spec{}, 7, time.Hour)
	run(t, w, 10*time.Second)
	want(t, "placed beside it", 4, len(w.On(second)))
	want(t, "held on it", 1, len(w.On(first)))
}

// A task uses twice the memory that it declared. Its server has no room for the
// excess: nothing more is placed there, the task is stopped, and after three
// times the job is given up instead of running for ever without an end.
func TestUseBeyondSizeIsStoppedAndGivenUp(t *testing.T) {
	w := world(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: one}
	greedy := w.Submit(spec, []time.Duration{time.Hour}, capacity.Size{CPU: 1000, Memory: 2048, Slots: 1}, false)
	run(t, w, 12*time.Second)
	rest := submit(w, job.Spec{Team: "b"}, 3, time.Hour)
	run(t, w, 13*time.Second)
	want(t, "placed beside it", 2, len(w.On(rest)))
	run(t, w, 5*time.Minute)
	want(t, "left of it", 0, w.Left(greedy))
	want(t, "stops and parks", []int{3, 1}, []int{w.Count(plan.Stop), w.Count(plan.Park)})
}

// The same use by a task that may run only once: stopped, it would be lost, and
// the ledger refuses the order. It is throttled once, and its server takes nothing
// more until it has ended.
func TestUseBeyondSizeOfAOnceTaskIsOnlyThrottled(t *testing.T) {
	w := world(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: one, Once: true}
	greedy := w.Submit(spec, []time.Duration{time.Minute}, capacity.Size{CPU: 1000, Memory: 4096, Slots: 1}, false)
	run(t, w, 12*time.Second)
	rest := submit(w, job.Spec{Team: "b"}, 3, time.Hour)
	run(t, w, 50*time.Second)
	want(t, "running of it, placed beside it", []int{1, 0}, []int{w.Running(greedy), len(w.On(rest))})
	run(t, w, 2*time.Minute)
	want(t, "left of it, placed after it", []int{0, 3}, []int{w.Left(greedy), len(w.On(rest))})
	want(t, "throttles, stops", []int{1, 0}, []int{w.Count(plan.Throttle), w.Count(plan.Stop)})
}

// A task uses more processor time than it declared. It is throttled, which puts
// it back into its size, and goes on to its end.
func TestProcessorUseBeyondSizeIsThrottled(t *testing.T) {
	w := world(1)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Count: 1, Size: one}
	greedy := w.Submit(spec, []time.Duration{time.Minute}, capacity.Size{CPU: 2500, Memory: 1024, Slots: 1}, false)
	run(t, w, 2*time.Minute)
	want(t, "left of it", 0, w.Left(greedy))
	want(t, "throttles, stops", []int{1, 0}, []int{w.Count(plan.Throttle), w.Count(plan.Stop)})
}

// A server fails all it starts, at once, and so looks free and draws in more and
// more work. It is quarantined, the jobs that failed there are not given up, and
// once it is sound again a little work proves it and it returns.
func TestFailingServerIsQuarantinedAndReturns(t *testing.T) {
	w := world(12)
	good := submit(w, job.Spec{Name: "good"}, 300, 5*time.Second)
	run(t, w, 10*time.Second)
	w.Fail("s03", true)
	run(t, w, 30*time.Second)
	want(t, "state", backend.Quarantined, w.Server("s03").State)
	w.Fail("s03", false)
	submit(w, job.Spec{Name: "good"}, 300, 5*time.Second)
	run(t, w, 2*time.Minute)
	want(t, "state after probes", backend.Ready, w.Server("s03").State)
	want(t, "left of the jobs, parked", []int{0, 0}, []int{w.Left(good), w.Count(plan.Park)})
}

// A job of a hundred tasks crashes wherever it runs. It must not take a single
// server out of use; it is given up after a few, and its retries keep apart.
func TestCrashingJobQuarantinesNothing(t *testing.T) {
	w := world(12)
	submit(w, job.Spec{Team: "b", Name: "good"}, 200, 5*time.Second)
	run(t, w, 6*time.Second)
	spec := &job.Spec{Team: "a", Kind: job.Batch, Name: "bad", Count: 100, Size: one}
	bad := w.Submit(spec, make([]time.Duration, 100), one, true)
	run(t, w, 2*time.Minute)
	want(t, "quarantines, parks", []int{0, 1}, []int{w.Count(plan.Quarantine), w.Count(plan.Park)})
	want(t, "left of it", 0, w.Left(bad))
}

// Four servers fail everything at once, and a sound job meets one after the other
// before each is found out. Without forgiveness it would be given up, though
// nothing is wrong with it.
func TestSoundJobOutlivesFailingServers(t *testing.T) {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	list := servers(40)
	for _, s := range list {
		p.SetServer(s)
	}
	next := uint64(1)
	attempt := func(id uint64, name, server string, failed bool) {
		spec := &job.Spec{Team: "a", Kind: job.Batch, Name: name, Count: 1, Size: one}
		p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: id}, Job: spec, Server: server})
		p.EndAttempt(task.ID{Job: id}, plan.AttemptEnd{Started: true, Failed: failed})
		if failed && id == 1 {
			p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1}, Job: spec, Attempts: 1})
		}
	}
	for range 20 {
		next++
		attempt(next, "good", "s39", false)
	}
	for i := range 4 {
		for range 4 {
			next++
			attempt(next, "good", list[i].ID, true)
		}
		attempt(1, "sound", list[i].ID, true)
		for range 8 {
			next++
			attempt(next, "good", "s39", false)
		}
		for _, d := range p.Decide(time.Duration(i)*time.Millisecond, 100) {
			if d.Action == plan.Park {
				t.Fatalf("after %d servers: %+v", i+1, d)
			}
			if d.Action == plan.Quarantine {
				p.SetServer(list[i].WithState(backend.Quarantined, 0))
			}
		}
	}
}

// losses plays how servers are lost under a job of so many tasks, again and again, each
// so long after the tasks were placed there, and tells after which loss it is given up;
// 0 for never.
func losses(tasks uint32, age time.Duration) int {
	p := cell.New(cell.Config{})
	p.SetTable(table.Restore(1, []team.Row{team.New("a")}))
	list := servers(40)
	for _, s := range list {
		p.SetServer(s)
	}
	spec := &job.Spec{Team: "a", Kind: job.Batch, Name: "one", Count: tasks, Size: one}
	now := time.Minute
	for n := 1; n <= 8; n++ {
		for i := range tasks {
			p.SetPlaced(plan.PlacedTask{ID: task.ID{Job: 1, Index: i}, Job: spec, Server: list[n*4+int(i)%4].ID, PlacedAt: now})
		}
		silent := now + age
		now = silent + 15*time.Second
		for _, s := range list[n*4 : n*4+4] {
			p.SetServer(s.WithState(backend.Suspect, silent))
			p.SetServer(s.WithState(backend.Gone, now))
		}
		for i := range tasks {
			p.EndAttempt(task.ID{Job: 1, Index: i}, plan.AttemptEnd{EndedAt: now, Started: true, ServerLost: true})
		}
		for i := range tasks {
			p.AddWaiting(plan.WaitingTask{ID: task.ID{Job: 1, Index: i}, Job: spec, Attempts: uint32(n)})
		}
		for _, d := range p.Decide(now, 100) {
			if d.Action == plan.Park {
				return n
			}
		}
	}
	return 0
}

// A job crashes every server that starts a task of it: it is placed again for ever, and
// takes down the whole cell. One that worked for long on servers that were lost, or lost
// several at once, is sound.
func TestJobThatCrashesItsServersIsGivenUp(t *testing.T) {
	want(t, "given up: one task", 3, losses(1, time.Second))
	want(t, "given up: many tasks, whose servers are lost together", 3, losses(12, time.Second))
	want(t, "given up: after an hour each", 0, losses(1, time.Hour))
}

// Every server starts to fail everything: a bad image, or a fault of the network.
// Quarantine of all of them would end the service of the cell; the cap holds.
func TestQuarantineIsCapped(t *testing.T) {
	w := world(20)
	for i := range 20 {
		submit(w, job.Spec{Name: string(rune('a' + i))}, 4, time.Second)
	}
	run(t, w, 10*time.Second)
	for _, s := range servers(20) {
		w.Fail(s.ID, true)
	}
	for i := range 20 {
		submit(w, job.Spec{Name: string(rune('a' + i))}, 4, time.Second)
	}
	run(t, w, 2*time.Minute)
	want(t, "quarantined", 2, w.Count(plan.Quarantine))
}

// A task is larger than any server. It waits aside and costs nothing, holds up
// nobody, counts for no share, and runs when a server that holds it announces.
func TestNeverRunnableWaitsAside(t *testing.T) {
	w := world(2)
	big := submit(w, job.Spec{Team: "a", Size: one.Times(6)}, 50, time.Minute)
	rest := submit(w, job.Spec{Team: "b"}, 8, time.Hour)
	run(t, w, time.Minute)
	want(t, "others placed", 8, len(w.On(rest)))
	want(t, "preempted", 0, w.Count(plan.Preempt))
	large := servers(1)[0]
	large.ID, large.Capacity = "large", one.Times(8)
	w.SetServer(large)
	run(t, w, time.Minute+time.Second)
	want(t, "placed on the large server", []string{"large"}, w.On(big))
}

// Declared run times are off by ten times, so that long tasks look short. What
// was learned of their name orders them behind the really short ones.
func TestLearnedRuntimesOrderTheQueue(t *testing.T) {
	w := world(1)
	submit(w, job.Spec{Name: "liar", Runtime: time.Second}, 8, 30*time.Second)
	run(t, w, 2*time.Minute)
	blocker := submit(w, job.Spec{Name: "blocker", Runtime: time.Second}, 4, 10*time.Second)
	run(t, w, 2*time.Minute+time.Second)
	liar := submit(w, job.Spec{Name: "liar", Runtime: time.Second}, 4, 30*time.Second)
	short := submit(w, job.Spec{Name: "short", Runtime: 5 * time.Second}, 4, 5*time.Second)
	run(t, w, 2*time.Minute+12*time.Second)
	want(t, "blocker, liar, short running", []int{0, 0, 4}, []int{len(w.On(blocker)), len(w.On(liar)), len(w.On(short))})
}
