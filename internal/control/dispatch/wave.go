package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/steps"
)

// Timing of maintenance waves.
const (
	// waveCheckInterval is the interval between checks of the active waves.
	waveCheckInterval = 200 * time.Millisecond
	// maintenanceOrderTimeout is the timeout of one maintenance order.
	maintenanceOrderTimeout = 2 * time.Second
	// maintenanceHandoverDelay is how long a new leader waits before it sends maintenance
	// orders. An order of the previous leader may still be in transit.
	maintenanceHandoverDelay = 3500 * time.Millisecond
	// maintenanceDuration is the assumed time that a machine is down for maintenance. It is
	// used to estimate how long the wave can wait for the next machine.
	maintenanceDuration = 4 * time.Second
)

// Machines is the platform that owns the machines of backend servers.
type Machines interface {
	// States returns what the platform lists about the named machines. A machine that it does
	// not list is missing from the result.
	States(ctx context.Context, machines []string) (map[string]MachineState, error)
	// StartMaintenance takes a machine down for maintenance. Repeating an order that was already
	// executed is not an error.
	StartMaintenance(ctx context.Context, machine string, wave, fence uint64) MaintenanceResult
}

// MaintenanceResult is the result of a maintenance order.
type MaintenanceResult uint8

// Results of a maintenance order.
const (
	// MaintenanceUnconfirmed means that the order may have been executed or may still be
	// executed.
	MaintenanceUnconfirmed MaintenanceResult = iota
	// MaintenanceStarted means that the machine is down, or has already been down for this
	// maintenance.
	MaintenanceStarted
	// MaintenanceBusy means that the order was not executed and may be repeated.
	MaintenanceBusy
	// MaintenanceUnknownMachine means that the machine no longer exists.
	MaintenanceUnknownMachine
)

// StartWave adds a maintenance wave to the ledger and returns when it is committed.
func (d *Dispatcher) StartWave(ctx context.Context, w *record.Wave) *code.Error {
	refusal, err := recordOnLeader(ctx, d, errDeposed, func(reply func(*code.Error)) {
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
	return refusal
}

// WaveState reports whether all machines of a wave have completed their maintenance.
func (d *Dispatcher) WaveState(ctx context.Context, number uint64) (complete bool, refusal *code.Error) {
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
	clear(d.leader.nextForMaintenance)
	for _, w := range d.Host.Flows().Waves() {
		if !w.Complete() {
			d.advanceWave(w, now)
		}
	}
}

// advanceWave takes machines down, at most MaxDown of them at the same time. Before a
// machine goes down, its server gets no new tasks, and runs that can continue on another
// server are moved.
func (d *Dispatcher) advanceWave(w *flows.Wave, now time.Duration) {
	freeSlots := w.MaxDown - w.DownMachines()
	for _, m := range w.Machines {
		switch {
		case m.MaintenanceDone:
		case m.MaintenanceStarted:
			d.checkMachineReturned(w, m, now)
		case freeSlots > 0 && d.canSpare(m):
			freeSlots--
			d.emptyMachine(w, m, now)
		}
	}
}

// canSpare reports whether tasks may be kept off the server of a machine: what it could take now finds
// another open server. Servers that are next for maintenance or down are not open. If no other server
// could ever take it, the machine is not waited for.
func (d *Dispatcher) canSpare(m *flows.Machine) bool {
	b, ok := d.Host.Flows().ServerOnMachine(m.Name)
	if !ok {
		return true
	}
	for label := range d.labelsInDemand(b) {
		if hasOther, hasOpen := d.otherServers(b, label); hasOther && !hasOpen {
			return false
		}
	}
	return true
}

// labelsInDemand returns the labels of a server that work requires which waits or lasts; the empty
// label stands for any work.
func (d *Dispatcher) labelsInDemand(b *flows.Server) map[string]bool {
	labels := map[string]bool{"": true}
	add := func(step *flows.Step) {
		if steps.HasLabel(step.Spec.GetLabel(), b) {
			labels[step.Spec.GetLabel()] = true
		}
	}
	for _, step := range d.Host.Flows().ReadySteps() {
		add(step)
	}
	for id, s := range d.leader.sessions {
		if id != b.ID && !d.leader.nextForMaintenance[id] {
			continue
		}
		for _, r := range s.runs {
			if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetLasting() {
				add(step)
			}
		}
	}
	return labels
}

// otherServers reports whether the pool of a server has others with a label, and whether one of them
// is open to new tasks.
func (d *Dispatcher) otherServers(b *flows.Server, label string) (hasOther, hasOpen bool) {
	now := d.Now()
	for _, other := range d.Host.Flows().Servers() {
		if other.ID == b.ID || other.Ended || other.ShuttingDown || other.Pool != b.Pool || !steps.HasLabel(label, other) {
			continue
		}
		hasOther = true
		if s := d.leader.sessions[other.ID]; s != nil && d.acceptsTasks(s, other, now) {
			return true, true
		}
	}
	return hasOther, false
}

// maintenanceID names the maintenance of one machine in one wave.
type maintenanceID struct {
	wave    uint64
	machine string
}

// checkMachineReturned completes the maintenance of a machine when it is confirmed to have begun
// and a server on the machine has answered since. Until it is confirmed, the order is repeated: it
// may have been refused, its answer may be lost, or another leader may have sent it.
func (d *Dispatcher) checkMachineReturned(w *flows.Wave, m *flows.Machine, now time.Duration) {
	if confirmedAt, ok := d.leader.maintenanceConfirmedAt[maintenanceID{w.Number, m.Name}]; ok {
		d.keepTasksOff(m)
		if d.hasAnsweredSince(m.Name, confirmedAt) {
			d.recordMaintenanceDone(w, m)
		}
		return
	}
	isEmptied := d.isEmptied(w, m)
	if isEmptied && now-d.leader.electedAt >= maintenanceHandoverDelay && now >= d.leader.maintenanceRetryAt[m.Name] {
		d.orderMaintenance(w, m, now)
	}
}

// hasAnsweredSince reports whether a server on the machine has made a run list after a time.
func (d *Dispatcher) hasAnsweredSince(machine string, since time.Duration) bool {
	b, ok := d.Host.Flows().ServerOnMachine(machine)
	if !ok {
		return false
	}
	s := d.leader.sessions[b.ID]
	return s != nil && s.listReceived && s.listMadeAfter > since
}

func (d *Dispatcher) recordMaintenanceDone(w *flows.Wave, m *flows.Machine) {
	event.Log(d.Log, event.MachineUpkept, "wave", w.Number, "machine", m.Name)
	d.applyOrLog(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name, Done: true}}})
}

// emptyMachine moves runs off a machine and takes it down when it is emptied.
func (d *Dispatcher) emptyMachine(w *flows.Wave, m *flows.Machine, now time.Duration) {
	if !d.isEmptied(w, m) || now-d.leader.electedAt < maintenanceHandoverDelay {
		return
	}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Upkeep{Upkeep: &record.WaveStep{Wave: w.Number, Machine: m.Name}}}) {
		return
	}
	d.Host.AfterCommit(func() { d.orderMaintenance(w, m, d.Now()) })
}

// isEmptied keeps new tasks off a machine, moves its runs and reports whether it may be taken down:
// when no run is left, or when waiting longer would make the wave exceed its duration. A machine
// with a lasting task always waits.
func (d *Dispatcher) isEmptied(w *flows.Wave, m *flows.Machine) bool {
	s := d.keepTasksOff(m)
	if s == nil {
		return true
	}
	d.stopMovableRuns(s)
	return len(s.runs) == 0 || !d.hasLastingTask(s) && d.isWaveLate(w)
}

// keepTasksOff keeps new tasks off a machine until the next check of the waves, and returns the
// session of its server; nil if there is none.
func (d *Dispatcher) keepTasksOff(m *flows.Machine) *session {
	b, ok := d.Host.Flows().ServerOnMachine(m.Name)
	if !ok {
		return nil
	}
	d.leader.nextForMaintenance[b.ID] = true
	return d.leader.sessions[b.ID]
}

// stopMovableRuns stops runs that continue from a checkpoint on another server, and lasting
// tasks as far as their flow can miss them and another server has room. A lasting task that no other
// server could ever take is stopped for the maintenance.
func (d *Dispatcher) stopMovableRuns(s *session) {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.reportedByServer {
			continue
		}
		if step.Spec.GetSaves() || step.Spec.GetLasting() && d.canMissTask(step) && d.hasPlaceBeside(s, step) {
			d.stopRun(s, r)
		}
	}
}

// hasPlaceBeside reports whether a task of a step that runs on a server has room on another one, or
// has no other one at all.
func (d *Dispatcher) hasPlaceBeside(s *session, step *flows.Step) bool {
	if d.hasServerWithRoom(step) {
		return true
	}
	b, ok := d.Host.Flows().Server(s.id)
	if !ok {
		return false
	}
	hasOther, _ := d.otherServers(b, step.Spec.GetLabel())
	return !hasOther
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
	return d.Host.LedgerTime()-w.RequestedAt+time.Duration(rounds)*maintenanceDuration >= w.Duration
}

// orderMaintenance sends the order to take a machine down.
func (d *Dispatcher) orderMaintenance(w *flows.Wave, m *flows.Machine, now time.Duration) {
	d.leader.maintenanceRetryAt[m.Name] = now + maintenanceOrderTimeout + time.Second
	term, ctx, name, number := d.leader.term, d.leader.ctx, m.Name, w.Number
	go func() {
		ctx, cancel := context.WithTimeout(ctx, maintenanceOrderTimeout)
		defer cancel()
		result := d.Machines.StartMaintenance(ctx, name, number, term)
		d.postInTerm(term, func() {
			event.Log(d.Log, event.MachineOrdered, "wave", number, "machine", name, "outcome", int(result))
			switch result {
			case MaintenanceStarted:
				d.leader.maintenanceConfirmedAt[maintenanceID{number, name}] = d.Now()
			case MaintenanceUnknownMachine:
				d.recordMaintenanceDone(w, m)
			}
		})
	}()
}
