package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

func TestWaveLeavesAServerForEachLabel(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		w.putLabels(map[string][]string{"s1": {"b"}, "s2": {"b"}, "s3": {"a"}, "s4": {"a"}})
		outcome := func(r flow.RunID) (time.Duration, inner.RunEnd) {
			if r.Flow == "service" {
				return 0, inner.RunEnd_RUN_END_UNSPECIFIED
			}
			return time.Second, inner.RunEnd_RUN_END_DONE
		}
		w.runOutcome = outcome
		w.changeWorkers(func(_ string, backend *worker.Worker) { backend.RunOutcome = outcome })
		service := newStep(4, 500)
		service.Lasting, service.Absent, service.Label, service.Apart = true, 1, "b", 3
		w.submit("service", service)
		time.Sleep(2 * time.Second)
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3", "m-s4"}, Duration: 60_000, Cap: 2}
		if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		for i := range 10 {
			time.Sleep(2 * time.Second)
			id := fmt.Sprint("short", i)
			step := newStep(1, 500)
			step.Label = "b"
			w.submit(id, step)
			w.awaitState(id, stateDone, 3*time.Second)
			atWork := 0
			for _, backend := range w.busyWorkers() {
				atWork += len(backend.Running())
			}
			if atWork < 3 {
				t.Errorf("%d of 4 tasks of the service run, at most one may be away", atWork)
			}
		}
	})
}

func (w *testCluster) putLabels(labels map[string][]string) {
	for id, names := range labels {
		r := w.report(id, 1, false)
		r.Labels, r.Number = names, 1
		if err := w.dispatcher.AcceptReport(w.t.Context(), r); err != nil {
			w.t.Fatal(err)
		}
	}
}

func TestMaintenanceWaveRespectsCap(t *testing.T) {
	runWithCluster(t, 4, func(t *testing.T, w *testCluster) {
		lasting := newStep(3, 1000)
		lasting.Lasting, lasting.Absent = true, 1
		w.makeRunsLasting()
		w.submit("a", lasting)
		time.Sleep(time.Second)
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3", "m-s4"}, Duration: 60_000, Cap: 1}
		if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		minAtWork := 3
		updateMinimum := func() {
			atWork := 0
			for _, backend := range w.busyWorkers() {
				atWork += len(backend.Running())
			}
			minAtWork = min(minAtWork, atWork)
		}
		for range 250 {
			time.Sleep(20 * time.Millisecond)
			updateMinimum()
		}
		w.electNewLeader()
		for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
			updateMinimum()
			complete, err := w.dispatcher.WaveState(t.Context(), 1)
			if err != nil {
				t.Fatal(err)
			}
			if complete {
				break
			}
			if time.Now().After(end) {
				t.Fatal("the wave is not complete after a minute")
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.maxUnderMaintenance != 1 || w.interruptedRuns != 0 {
			t.Errorf("%d machines were down at the same time, want 1; %d runs were interrupted, want 0", w.maxUnderMaintenance, w.interruptedRuns)
		}
		if minAtWork < 2 {
			t.Errorf("only %d of 3 lasting tasks were running, want at least 2", minAtWork)
		}
	})
}

func (w *testCluster) awaitWave(number uint64, within time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		complete, err := w.dispatcher.WaveState(w.t.Context(), number)
		if err != nil {
			w.t.Fatal(err)
		}
		if complete {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("wave %d is not complete after %v", number, within)
		}
	}
}

func TestCrashIsNoMaintenance(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, w *testCluster) {
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3"}, Duration: 60_000, Cap: 1}
		if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		for !w.hasBegunMaintenance("m-s1 in wave 1") {
			time.Sleep(20 * time.Millisecond)
		}
		w.crashWorker("s2", nil)
		w.awaitWave(1, time.Minute)
		for _, machine := range wave.GetMachines() {
			if !w.hasBegunMaintenance(machine + " in wave 1") {
				t.Errorf("the wave is complete without the maintenance of %s", machine)
			}
		}
		if w.maxUnderMaintenance != 1 {
			t.Errorf("%d machines were down at the same time, want 1", w.maxUnderMaintenance)
		}
	})
}

func TestEachWaveMaintainsItsMachines(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, w *testCluster) {
		for number := uint64(1); number <= 2; number++ {
			wave := &record.Wave{Number: number, Machines: []string{"m-s1", "m-s2"}, Duration: 60_000, Cap: 1}
			if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
				t.Fatal(err)
			}
		}
		for number := uint64(1); number <= 2; number++ {
			w.awaitWave(number, time.Minute)
			for _, machine := range []string{"m-s1", "m-s2"} {
				if !w.hasBegunMaintenance(fmt.Sprintf("%s in wave %d", machine, number)) {
					t.Errorf("wave %d is complete without the maintenance of %s", number, machine)
				}
			}
		}
	})
}

func TestRefusedMaintenanceKeepsTasksOffTheMachine(t *testing.T) {
	runWithCluster(t, 2, func(t *testing.T, w *testCluster) {
		w.makeRunsLasting()
		w.refusesMaintenance.Store(true)
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1"}, Duration: 60_000, Cap: 1}
		if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		lasting := newStep(4, 1000)
		lasting.Lasting = true
		w.submit("a", lasting)
		time.Sleep(time.Second)
		w.refusesMaintenance.Store(false)
		w.awaitWave(1, time.Minute)
		if w.interruptedRuns > 0 {
			t.Errorf("%d runs were interrupted by the maintenance, want none", w.interruptedRuns)
		}
	})
}

func TestNewLeaderDelaysMaintenanceOrders(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, w *testCluster) {
		wave := &record.Wave{Number: 1, Machines: []string{"m-s1", "m-s2", "m-s3"}, Duration: 60_000, Cap: 1}
		time.Sleep(5 * time.Second)
		if err := w.dispatcher.StartWave(t.Context(), wave); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		electedAt := w.now()
		w.electNewLeader()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.firstMaintenanceOrders) != 2 || w.firstMaintenanceOrders[2]-electedAt < 3*time.Second {
			t.Errorf("first maintenance order by fencing token: %v; the second leader was elected at %v", w.firstMaintenanceOrders, electedAt)
		}
	})
}
