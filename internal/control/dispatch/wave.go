package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
)

// Timing of upkeep waves.
const (
	// waveCheckInterval is the interval between checks of the active waves.
	waveCheckInterval = 200 * time.Millisecond
	// upkeepOrderTimeout is the timeout of one upkeep order.
	upkeepOrderTimeout = 2 * time.Second
	// upkeepHandoverDelay is how long a new leader waits before it sends upkeep orders. An
	// order of the previous leader may still be in transit.
	upkeepHandoverDelay = 3500 * time.Millisecond
	// upkeepDuration is the assumed time that a machine is down for upkeep. It is used to
	// estimate how long the wave can wait for the next machine.
	upkeepDuration = 4 * time.Second
)

// Machines starts the upkeep of machines through the platform that owns them.
type Machines interface {
	// StartMaintenance takes a machine down for upkeep. Repeating an order that was already
	// executed is not an error.
	StartMaintenance(ctx context.Context, machine string, wave, fence uint64) MaintenanceResult
}

// MaintenanceResult is the result of an upkeep order.
type MaintenanceResult uint8

// Results of an upkeep order.
const (
	// MaintenanceUnconfirmed means that the order may have been executed or may still be
	// executed.
	MaintenanceUnconfirmed MaintenanceResult = iota
	// MaintenanceStarted means that the machine is down, or has already been down for this
	// upkeep.
	MaintenanceStarted
	// MaintenanceBusy means that the order was not executed and may be repeated.
	MaintenanceBusy
	// MaintenanceUnknownMachine means that the machine no longer exists.
	MaintenanceUnknownMachine
)

// StartWave adds an upkeep wave to the ledger and returns when it is committed.
func (d *Dispatcher) StartWave(ctx context.Context, w *record.Wave) *code.Error {
	fault, err := runOnLeader(ctx, d, errDeposed, func(reply func(*code.Error)) {
		if err := d.Host.ApplyCommand(&record.Flow{What: &record.Flow_Wave{Wave: w}}); err != nil {
			reply(err)
			return
		}
		event.Log(d.Log, event.WaveTaken, "wave", w.GetNumber(), "machines", len(w.GetMachines()), "cap", w.GetCap(), "duration", w.GetDuration())
		d.Host.AfterCommit(func() { reply(nil) })
	})
	if err != nil {
		return err
	}
	return fault
}

// WaveState reports whether all machines of a wave have completed their upkeep.
func (d *Dispatcher) WaveState(ctx context.Context, number uint64) (complete bool, fault *code.Error) {
	receivedAt := d.Now()
	type result struct{ known, complete bool }
	r, err := runOnLeader(ctx, d, errNotLeading, func(reply func(result)) {
		d.Host.AfterLeadershipProof(receivedAt, func() {
			w, ok := d.Host.Flows().Wave(number)
			answer := result{known: ok, complete: ok && w.Complete()}
			d.Host.AfterCommit(func() { reply(answer) })
		})
	})
	if err == nil && !r.known {
		err = code.New(code.NotFound, "wave %d", number)
	}
	return r.complete, err
}

// advanceWaves continues the waves that are not complete.
func (d *Dispatcher) advanceWaves(now time.Duration) {
	if d.Machines == nil || now-d.leader.wavesCheckedAt < waveCheckInterval {
		return
	}
	d.leader.wavesCheckedAt = now
	clear(d.leader.drainingForUpkeep)
	for _, w := range d.Host.Flows().Waves() {
		if !w.Complete() {
			d.advanceWave(w, now)
		}
	}
}

// advanceWave takes machines down as far as the wave's cap allows. The next machines are
// drained: they get no new tasks, and runs that can continue elsewhere are moved.
func (d *Dispatcher) advanceWave(w *flows.Wave, now time.Duration) {
	freeSlots := w.MaxDown - w.DownMachines()
	for _, m := range w.Machines {
		switch {
		case m.MaintenanceDone:
		case m.MaintenanceStarted:
			d.checkMachineReturned(w, m, now)
		case freeSlots > 0:
			freeSlots--
			d.emptyMachine(w, m, now)
		}
	}
}

// checkMachineReturned completes the upkeep of a machine when a later incarnation of its
// server has reported, and repeats the order if it is due.
func (d *Dispatcher) checkMachineReturned(w *flows.Wave, m *flows.Machine, now time.Duration) {
	if b, ok := d.Host.Flows().ServerOnMachine(m.Name); ok && b.StartedAtMs > m.ServerStartedAtMs {
		d.recordUpkeepDone(w, m)
		return
	}
	if now-d.leader.electedAt >= upkeepHandoverDelay && now >= d.leader.upkeepRetryAt[m.Name] {
		d.orderUpkeep(w, m, now) // the answer may be lost, or the leader that sent the order was replaced
	}
}

func (d *Dispatcher) recordUpkeepDone(w *flows.Wave, m *flows.Machine) {
	event.Log(d.Log, event.MachineUpkept, "wave", w.Number, "machine", m.Name)
	d.applyOrLog(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name, Done: true}}})
}

// emptyMachine drains a machine and takes it down when it is empty, or when waiting longer
// would delay the wave. It always waits for lasting tasks that their flow cannot miss.
func (d *Dispatcher) emptyMachine(w *flows.Wave, m *flows.Machine, now time.Duration) {
	b, ok := d.Host.Flows().ServerOnMachine(m.Name)
	if ok {
		d.leader.drainingForUpkeep[b.ID] = true
		if s := d.leader.sessions[b.ID]; s != nil {
			d.stopMovableRuns(s)
			if len(s.runs) > 0 && (d.hasLastingTask(s) || !d.isWaveLate(w)) {
				return
			}
		}
	}
	if now-d.leader.electedAt < upkeepHandoverDelay {
		return
	}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name}}}) {
		return
	}
	d.Host.AfterCommit(func() { d.orderUpkeep(w, m, d.Now()) })
}

// stopMovableRuns stops runs that continue from a checkpoint on another server, and lasting
// tasks as far as their flow can miss them.
func (d *Dispatcher) stopMovableRuns(s *session) {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.reportedByServer {
			continue
		}
		if step.Spec.GetSaves() || step.Spec.GetLasting() && d.canMissTask(step) {
			d.stopRun(s, r)
		}
	}
}

// hasLastingTask reports whether a lasting task runs on the server.
func (d *Dispatcher) hasLastingTask(s *session) bool {
	for _, r := range s.runs {
		if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetLasting() {
			return true
		}
	}
	return false
}

// isWaveLate reports whether the wave would exceed its duration if it waited longer for its
// next machine.
func (d *Dispatcher) isWaveLate(w *flows.Wave) bool {
	remaining := 0
	for _, m := range w.Machines {
		if !m.MaintenanceDone {
			remaining++
		}
	}
	rounds := (remaining + w.MaxDown - 1) / w.MaxDown
	return d.Host.LedgerTime()-w.RequestedAt+time.Duration(rounds)*upkeepDuration >= w.Duration
}

// orderUpkeep sends the order to take a machine down.
func (d *Dispatcher) orderUpkeep(w *flows.Wave, m *flows.Machine, now time.Duration) {
	d.leader.upkeepRetryAt[m.Name] = now + upkeepOrderTimeout + time.Second
	term, ctx, name, number := d.leader.term, d.leader.ctx, m.Name, w.Number
	go func() {
		ctx, cancel := context.WithTimeout(ctx, upkeepOrderTimeout)
		defer cancel()
		outcome := d.Machines.StartMaintenance(ctx, name, number, term)
		d.postInTerm(term, func() {
			event.Log(d.Log, event.MachineOrdered, "wave", number, "machine", name, "outcome", int(outcome))
			if outcome == MaintenanceUnknownMachine {
				d.recordUpkeepDone(w, m)
			}
		})
	}()
}
