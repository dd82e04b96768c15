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
	// waveEvery is how often waves are looked at.
	waveEvery = 200 * time.Millisecond
	// orderTime bounds one order about a machine.
	orderTime = 2 * time.Second
	// handoverTime is how long a new leader waits before it gives orders about
	// machines: one of the leader before it may still be on its way.
	handoverTime = 3500 * time.Millisecond
	// backTime is how long a machine is taken to be away for its upkeep when it
	// is worked out how long it may be waited for.
	backTime = 4 * time.Second
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
	fault, err := ask(ctx, d, errDeposed, func(reply func(*code.Error)) {
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
	r, err := ask(ctx, d, errNotLeading, func(reply func(result)) {
		d.Host.AfterLeadershipProof(received, func() {
			w, ok := d.Host.Flows().Wave(number)
			said := result{known: ok, complete: ok && w.Complete()}
			d.Host.AfterCommit(func() { reply(said) })
		})
	})
	if err == nil && !r.known {
		err = code.New(code.NotFound, "wave %d", number)
	}
	return r.complete, err
}

// waves goes on with the waves that are not complete.
func (d *Dispatcher) waves(now time.Duration) {
	if d.Machines == nil || now-d.lead.waved < waveEvery {
		return
	}
	d.lead.waved = now
	clear(d.lead.emptied)
	for _, w := range d.Host.Flows().Waves() {
		if !w.Complete() {
			d.wave(w, now)
		}
	}
}

// wave takes machines down as far as the cap lets it. Those that are next are
// emptied meanwhile: they get nothing new, and what can go on elsewhere is moved.
func (d *Dispatcher) wave(w *flows.Wave, now time.Duration) {
	free := w.MaxDown - w.DownMachines()
	for _, m := range w.Machines {
		switch {
		case m.MaintenanceDone:
		case m.MaintenanceStarted:
			d.returned(w, m, now)
		case free > 0:
			free--
			d.empty(w, m, now)
		}
	}
}

// returned notes that a machine is back: a later life runs on it.
func (d *Dispatcher) returned(w *flows.Wave, m *flows.Machine, now time.Duration) {
	if b, ok := d.Host.Flows().ServerOnMachine(m.Name); ok && b.StartedAtMs > m.ServerStartedAtMs {
		d.upkept(w, m)
		return
	}
	if now-d.lead.elected >= handoverTime && now >= d.lead.ordered[m.Name] {
		d.order(w, m, now) // its answer may have been lost, or the leader that gave it
	}
}

func (d *Dispatcher) upkept(w *flows.Wave, m *flows.Machine) {
	event.Log(d.Log, event.MachineUpkept, "wave", w.Number, "machine", m.Name)
	d.decide(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name, Done: true}}})
}

// empty lets a machine run empty, and takes it down when it is, or when the wave
// would be late otherwise. What must not be missed is waited for in any case.
func (d *Dispatcher) empty(w *flows.Wave, m *flows.Machine, now time.Duration) {
	b, ok := d.Host.Flows().ServerOnMachine(m.Name)
	if ok {
		d.lead.emptied[b.ID] = true
		if s := d.lead.sessions[b.ID]; s != nil {
			d.clearOut(s)
			if len(s.runs) > 0 && (d.missed(s) || !d.pressing(w)) {
				return
			}
		}
	}
	if now-d.lead.elected < handoverTime {
		return
	}
	if !d.decide(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name}}}) {
		return
	}
	d.Host.AfterCommit(func() { d.order(w, m, d.Now()) })
}

// clearOut stops what goes on elsewhere from a checkpoint, and lasting tasks as
// far as their flow can miss them.
func (d *Dispatcher) clearOut(s *session) {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.there {
			continue
		}
		if step.Spec.GetSaves() || step.Spec.GetLasting() && d.spares(step) {
			d.unwant(s, r)
		}
	}
}

// missed tells whether a lasting task is at work there that its flow cannot miss.
func (d *Dispatcher) missed(s *session) bool {
	for _, r := range s.runs {
		if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetLasting() {
			return true
		}
	}
	return false
}

// pressing tells whether a wave would be late if its next machine were waited for.
func (d *Dispatcher) pressing(w *flows.Wave) bool {
	left := 0
	for _, m := range w.Machines {
		if !m.MaintenanceDone {
			left++
		}
	}
	rounds := (left + w.MaxDown - 1) / w.MaxDown
	return d.Host.LedgerTime()-w.RequestedAt+time.Duration(rounds)*backTime >= w.Duration
}

// order takes a machine down.
func (d *Dispatcher) order(w *flows.Wave, m *flows.Machine, now time.Duration) {
	d.lead.ordered[m.Name] = now + orderTime + time.Second
	term, ctx, name, number := d.lead.term, d.lead.ctx, m.Name, w.Number
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		got := d.Machines.StartUpkeep(ctx, name, number, term)
		d.post(term, func() {
			event.Log(d.Log, event.MachineOrdered, "wave", number, "machine", name, "outcome", int(got))
			if got == UpkeepUnknownMachine {
				d.upkept(w, m)
			}
		})
	}()
}
