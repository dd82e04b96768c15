package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/rig"
)

const (
	// faultRate is the load during a fault, in jobs per second.
	faultRate = 400
	// faultDelay is the time from the start of the load to the fault.
	faultDelay = 4 * time.Second
	// pauseDuration is how long a leader is paused.
	pauseDuration = 10 * time.Second
	// stopTimeout limits a graceful shutdown.
	stopTimeout = 20 * time.Second
)

// faultCase is one fault to inject, with the duration of the load around it.
type faultCase struct {
	name     string
	duration time.Duration
	// graceful is true if the fault is a graceful restart, during which every call must
	// get an answer.
	graceful bool
	inject   func(ctx context.Context, r *rig.Rig) error
}

var faultCases = []faultCase{
	{"leader-kill", 12 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		leader, _ := r.Leader()
		r.Kill(leader)
		transport.Sleep(ctx, 3*time.Second)
		return r.Restart(leader)
	}},
	{"leader-pause", 20 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		leader, _ := r.Leader()
		r.Pause(leader)
		transport.Sleep(ctx, pauseDuration)
		r.Resume(leader)
		return nil
	}},
	{"entry-kill", 12 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		r.Kill("entry-1")
		transport.Sleep(ctx, 3*time.Second)
		return r.Restart("entry-1")
	}},
	{"rolling", 40 * time.Second, true, rollingRestart},
}

// rollingRestart gracefully restarts one process after another, the leader last.
func rollingRestart(ctx context.Context, r *rig.Rig) error {
	order := r.EntryNames()
	leader, _ := r.Leader()
	for _, name := range r.ControlNames() {
		if name != leader {
			order = append(order, name)
		}
	}
	for _, name := range append(order, leader) {
		if err := r.Stop(name, stopTimeout); err != nil {
			return fmt.Errorf("stop %s: %w", name, err)
		}
		if err := r.Restart(name); err != nil {
			return err
		}
		if err := r.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureFaults measures a cell under load during each selected fault.
func measureFaults(ctx context.Context, m *measurement) error {
	for _, f := range faultCases {
		if !strings.Contains(","+m.Faults+",", ","+f.name+",") {
			continue
		}
		if err := m.withServers(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			return m.measureFault(ctx, r, fleet, token, f)
		}); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

func (m *measurement) measureFault(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, f faultCase) error {
	if err := m.warmUp(ctx, r, fleet, token); err != nil {
		return err
	}
	var wg sync.WaitGroup
	var injectErr error
	var calls rig.CallCounts
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	if f.graceful {
		wg.Go(func() { r.RunPinnedCallers(callCtx, token, &calls) })
	}
	wg.Go(func() {
		defer stopCalls()
		transport.Sleep(ctx, faultDelay)
		injectErr = f.inject(ctx, r)
	})
	row, err := m.runLoad(ctx, r, fleet, token, loadSpec{rate: faultRate, duration: f.duration, kind: job.Urgent, tasksPerJob: 1, runtime: 50 * time.Millisecond, onceFraction: 0.3}, "fault-")
	if err != nil {
		return err
	}
	wg.Wait()
	if injectErr != nil {
		return injectErr
	}
	row.Fault = f.name
	if f.graceful {
		unanswered := calls.Unanswered.Load()
		row.UnansweredPinnedCalls, row.PinnedCalls = &unanswered, calls.Total.Load()
	}
	return printRow(row)
}
