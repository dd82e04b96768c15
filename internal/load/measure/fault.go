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
	// faultRate is the load under which faults are made, in jobs a second.
	faultRate = 400
	// faultAt is when the fault comes.
	faultAt = 4 * time.Second
	// frozen is how long a leader is paused.
	frozen = 10 * time.Second
	// stopLimit bounds a planned stop.
	stopLimit = 20 * time.Second
)

// fault is one sort of fault, with the length of the load around it.
type fault struct {
	name     string
	duration time.Duration
	// planned tells that nothing may be cut off.
	planned bool
	make    func(ctx context.Context, r *rig.Rig) error
}

var allFaults = []fault{
	{"leader-kill", 12 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		lead, _ := r.Leader()
		r.Kill(lead)
		transport.Sleep(ctx, 3*time.Second)
		return r.Restart(lead)
	}},
	{"leader-pause", 20 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		lead, _ := r.Leader()
		r.Pause(lead)
		transport.Sleep(ctx, frozen)
		r.Resume(lead)
		return nil
	}},
	{"entry-kill", 12 * time.Second, false, func(ctx context.Context, r *rig.Rig) error {
		r.Kill("entry-1")
		transport.Sleep(ctx, 3*time.Second)
		return r.Restart("entry-1")
	}},
	{"rolling", 40 * time.Second, true, rolling},
}

// rolling restarts every process in turn as planned, the leader last.
func rolling(ctx context.Context, r *rig.Rig) error {
	order := r.EntryNames()
	lead, _ := r.Leader()
	for _, name := range r.ControlNames() {
		if name != lead {
			order = append(order, name)
		}
	}
	for _, name := range append(order, lead) {
		if err := r.Stop(name, stopLimit); err != nil {
			return fmt.Errorf("stop of %s: %w", name, err)
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

// faults measures a cell under load while processes fail or are restarted.
func faults(ctx context.Context, b *bench) error {
	for _, f := range allFaults {
		if !strings.Contains(","+b.Faults+",", ","+f.name+",") {
			continue
		}
		if err := b.served(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			return b.fault(ctx, r, fleet, token, f)
		}); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

func (b *bench) fault(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, f fault) error {
	if err := b.warm(ctx, r, fleet, token); err != nil {
		return err
	}
	var w sync.WaitGroup
	var made error
	var calls rig.CallCounts
	watched, stop := context.WithCancel(ctx)
	defer stop()
	if f.planned {
		w.Go(func() { r.RunPinnedCallers(watched, token, &calls) })
	}
	w.Go(func() {
		defer stop()
		transport.Sleep(ctx, faultAt)
		made = f.make(ctx, r)
	})
	row, err := b.drive(ctx, r, fleet, token, flow{rate: faultRate, duration: f.duration, kind: job.Urgent, count: 1, runtime: 50 * time.Millisecond, once: 0.3}, "fault-")
	if err != nil {
		return err
	}
	w.Wait()
	if made != nil {
		return made
	}
	row.Fault = f.name
	if f.planned {
		cut := calls.CutOff.Load()
		row.CutOff, row.PinnedCalls = &cut, calls.Made.Load()
	}
	return emit(row)
}
