package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
)

// Times of waves.
const (
	// waveCheckInterval is how often waves are looked at.
	waveCheckInterval = 200 * time.Millisecond
	// upkeepOrderTimeout bounds one order about a machine.
	upkeepOrderTimeout = 2 * time.Second
	// upkeepHandoverDelay is how long a new leader waits before it gives orders about
	// machines: one of the leader before it may still be on its way.
	upkeepHandoverDelay = 3500 * time.Millisecond
	// upkeepDuration is how long a machine is taken to be away for its upkeep when it
	// is worked out how long it may be waited for.
	upkeepDuration = 4 * time.Second
)

// Machines gives orders about machines to whoever owns them.
type Machines interface {
	// StartUpkeep takes a machine down for its upkeep. An order that was carried out
	// already is no fault.
	StartUpkeep(ctx context.Context, machine string, wave, fence uint64) UpkeepResult
}

// UpkeepResult is what became of an order.
type UpkeepResult uint8

// What becomes of an order.
const (
	// UpkeepUnconfirmed means that the order may be carried out, now or later.
	UpkeepUnconfirmed UpkeepResult = iota
	// UpkeepStarted means that the machine is down, or was before.
	UpkeepStarted
	// UpkeepBusy means that nothing was done, and that it can be asked again.
	UpkeepBusy
	// UpkeepUnknownMachine means that there is no such machine any more.
	UpkeepUnknownMachine
)

// Wave takes a wave in; it returns once the wave is committed.
func (d *Dispatcher) Wave(ctx context.Context, w *record.Wave) *code.Error {
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

// WaveState tells whether all machines of a wave have had their upkeep.
func (d *Dispatcher) WaveState(ctx context.Context, number uint64) (complete bool, fault *code.Error) {
	received := d.Now()
	type result struct{ known, complete bool }
	r, err := runOnLeader(ctx, d, errNotLeading, func(reply func(result)) {
		d.Host.AfterLeadershipProof(received, func() {
			w, ok := d.Host.Flows().Wave(number)
			answer := result{known: ok, complete: ok && w.Complete()}
			d.Host.AfterCommit(func() { reply(answer) })
		})
	})
	if err == nil && !r.known {
		err = code.New(code.Unknown, "wave %d", number)
	}
	return r.complete, err
}

// advanceWaves goes on with the waves that are not complete.
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

// advanceWave takes machines down as far as the cap lets it. Those that are next are
// emptied meanwhile: they get nothing new, and what can go on elsewhere is moved.
func (d *Dispatcher) advanceWave(w *flows.Wave, now time.Duration) {
	free := w.Cap - w.Down()
	for _, m := range w.Machines {
		switch {
		case m.Done:
		case m.Begun:
			d.checkMachineReturned(w, m, now)
		case free > 0:
			free--
			d.emptyMachine(w, m, now)
		}
	}
}

// checkMachineReturned notes that a machine is back: a later life runs on it.
func (d *Dispatcher) checkMachineReturned(w *flows.Wave, m *flows.Machine, now time.Duration) {
	if b, ok := d.Host.Flows().On(m.Name); ok && b.Born > m.Born {
		d.recordUpkeepDone(w, m)
		return
	}
	if now-d.leader.electedAt >= upkeepHandoverDelay && now >= d.leader.upkeepRetryAt[m.Name] {
		d.orderUpkeep(w, m, now) // its answer may have been lost, or the leader that gave it
	}
}

func (d *Dispatcher) recordUpkeepDone(w *flows.Wave, m *flows.Machine) {
	event.Log(d.Log, event.MachineUpkept, "wave", w.Number, "machine", m.Name)
	d.applyOrLog(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name, Done: true}}})
}

// emptyMachine lets a machine run empty, and takes it down when it is, or when the wave
// would be late otherwise. What must not be missed is waited for in any case.
func (d *Dispatcher) emptyMachine(w *flows.Wave, m *flows.Machine, now time.Duration) {
	b, ok := d.Host.Flows().On(m.Name)
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

// stopMovableRuns stops what goes on elsewhere from a checkpoint, and lasting tasks as
// far as their flow can miss them.
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

// hasLastingTask tells whether a lasting task is at work there that its flow cannot miss.
func (d *Dispatcher) hasLastingTask(s *session) bool {
	for _, r := range s.runs {
		if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetLasting() {
			return true
		}
	}
	return false
}

// isWaveLate tells whether a wave would be late if its next machine were waited for.
func (d *Dispatcher) isWaveLate(w *flows.Wave) bool {
	remaining := 0
	for _, m := range w.Machines {
		if !m.Done {
			remaining++
		}
	}
	rounds := (remaining + w.Cap - 1) / w.Cap
	return d.Host.LedgerTime()-w.Began+time.Duration(rounds)*upkeepDuration >= w.Duration
}

// orderUpkeep takes a machine down.
func (d *Dispatcher) orderUpkeep(w *flows.Wave, m *flows.Machine, now time.Duration) {
	d.leader.upkeepRetryAt[m.Name] = now + upkeepOrderTimeout + time.Second
	term, ctx, name, number := d.leader.term, d.leader.ctx, m.Name, w.Number
	go func() {
		ctx, cancel := context.WithTimeout(ctx, upkeepOrderTimeout)
		defer cancel()
		outcome := d.Machines.StartUpkeep(ctx, name, number, term)
		d.postInTerm(term, func() {
			event.Log(d.Log, event.MachineOrdered, "wave", number, "machine", name, "outcome", int(outcome))
			if outcome == UpkeepUnknownMachine {
				d.recordUpkeepDone(w, m)
			}
		})
	}()
}
