package flows

import (
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
)

// Wave is a set of machines that are to have their upkeep.
type Wave struct {
	Number uint64
	// MaxDown is how many of them may be down for it at once.
	MaxDown  int
	Duration time.Duration
	// RequestedAt is when the wave was asked for, on the ledger's clock.
	RequestedAt time.Duration
	Machines    []*Machine
}

// Machine is one machine of a wave.
type Machine struct {
	Name string
	// MaintenanceStarted tells that the order for its upkeep may have left, Done that the
	// machine is back after it.
	MaintenanceStarted bool
	MaintenanceDone    bool
	// ServerStartedAtMs is when the life began that ran on it as its upkeep began; 0 for none.
	ServerStartedAtMs int64
}

// DownMachines counts the machines that may be down for their upkeep.
func (w *Wave) DownMachines() int {
	n := 0
	for _, m := range w.Machines {
		if m.MaintenanceStarted && !m.MaintenanceDone {
			n++
		}
	}
	return n
}

// Complete tells whether all machines have had their upkeep.
func (w *Wave) Complete() bool {
	return !slices.ContainsFunc(w.Machines, func(m *Machine) bool { return !m.MaintenanceDone })
}

// Wave returns a wave by its number.
func (l *Ledger) Wave(number uint64) (*Wave, bool) {
	w, ok := l.waves[number]
	return w, ok
}

// Waves returns all waves in the order of their numbers.
func (l *Ledger) Waves() []*Wave {
	var out []*Wave
	for _, n := range slices.Sorted(maps.Keys(l.waves)) {
		out = append(out, l.waves[n])
	}
	return out
}

// wave takes a wave in; the same number again is the same wave.
func (l *Ledger) wave(at time.Duration, m *record.Wave) *code.Error {
	if _, ok := l.waves[m.GetNumber()]; ok {
		return nil
	}
	if m.GetCap() == 0 || len(m.GetMachines()) == 0 {
		return code.New(code.Malformed, "wave %d has no machines or lets none be down", m.GetNumber())
	}
	w := &Wave{Number: m.GetNumber(), MaxDown: int(m.GetCap()), Duration: time.Duration(m.GetDuration()) * time.Millisecond, RequestedAt: at}
	for _, name := range m.GetMachines() {
		w.Machines = append(w.Machines, &Machine{Name: name})
	}
	l.waves[w.Number] = w
	l.mix(w.Number)
	return nil
}

// upkeep notes how far one machine is. It begins only while fewer than the
// wave's cap are down: this is the one place where every beginning passes.
func (l *Ledger) upkeep(s *record.WaveStep) *code.Error {
	w, ok := l.waves[s.GetWave()]
	if !ok {
		return code.New(code.NotFound, "wave %d", s.GetWave())
	}
	i := slices.IndexFunc(w.Machines, func(m *Machine) bool { return m.Name == s.GetMachine() })
	if i < 0 {
		return code.New(code.NotFound, "machine %s in wave %d", s.GetMachine(), s.GetWave())
	}
	m := w.Machines[i]
	switch {
	case s.GetDone():
		m.MaintenanceStarted, m.MaintenanceDone = true, true
	case m.MaintenanceStarted:
		return nil
	case w.DownMachines() >= w.MaxDown:
		return code.New(code.MembershipChangePending, "%d machines of wave %d are down", w.DownMachines(), w.Number)
	default:
		m.MaintenanceStarted = true
		if b, ok := l.ServerOnMachine(m.Name); ok {
			m.ServerStartedAtMs = b.StartedAtMs
		}
	}
	l.mixText(m.Name)
	return nil
}

// ServerOnMachine returns the server that runs on a machine.
func (l *Ledger) ServerOnMachine(machine string) (*Server, bool) {
	var found *Server
	for _, b := range l.servers {
		if b.Machine == machine && !b.Ended && (found == nil || b.StartedAtMs > found.StartedAtMs) {
			found = b
		}
	}
	return found, found != nil
}

func waveRecord(w *Wave) *record.WaveRecord {
	r := &record.WaveRecord{Wave: &record.Wave{Number: w.Number, Duration: uint64(w.Duration / time.Millisecond), Cap: uint32(w.MaxDown)}, Began: int64(w.RequestedAt)}
	for _, m := range w.Machines {
		r.Wave.Machines = append(r.Wave.Machines, m.Name)
		r.Machines = append(r.Machines, &record.MachineRecord{Machine: m.Name, Begun: m.MaintenanceStarted, Done: m.MaintenanceDone, Born: m.ServerStartedAtMs})
	}
	return r
}

func restoreWave(r *record.WaveRecord) *Wave {
	w := &Wave{
		Number: r.GetWave().GetNumber(), MaxDown: int(r.GetWave().GetCap()),
		Duration: time.Duration(r.GetWave().GetDuration()) * time.Millisecond, RequestedAt: time.Duration(r.GetBegan()),
	}
	for _, m := range r.GetMachines() {
		w.Machines = append(w.Machines, &Machine{Name: m.GetMachine(), MaintenanceStarted: m.GetBegun(), MaintenanceDone: m.GetDone(), ServerStartedAtMs: m.GetBorn()})
	}
	return w
}
