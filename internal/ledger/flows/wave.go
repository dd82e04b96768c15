package flows

import (
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/millis"
)

// Wave is a set of machines that go through maintenance together.
type Wave struct {
	Number uint64
	// MaxDown is the maximum number of machines that may be down for maintenance at the
	// same time.
	MaxDown  int
	Duration time.Duration
	// RequestedAt is the time of the request for the wave, on the ledger's clock.
	RequestedAt time.Duration
	Machines    []*Machine
}

// Machine is the maintenance state of one machine of a wave.
type Machine struct {
	Name string
	// MaintenanceStarted is true once the order for the maintenance may have been sent.
	// MaintenanceDone is true once the machine is back.
	MaintenanceStarted bool
	MaintenanceDone    bool
	// ServerStartedAtMs is the start time of the server incarnation that ran on the
	// machine when its maintenance began. It is 0 if there was none.
	ServerStartedAtMs int64
}

// DownMachines returns the number of machines that may be down for maintenance.
func (w *Wave) DownMachines() int {
	n := 0
	for _, m := range w.Machines {
		if m.MaintenanceStarted && !m.MaintenanceDone {
			n++
		}
	}
	return n
}

// Complete reports whether all machines have had their maintenance.
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

// addWave records a new wave. A wave with a known number is a resend and changes
// nothing.
func (l *Ledger) addWave(now time.Duration, m *record.Wave) *code.Error {
	if _, ok := l.waves[m.GetNumber()]; ok {
		return nil
	}
	if m.GetCap() == 0 || len(m.GetMachines()) == 0 {
		return code.New(code.Malformed, "wave %d has no machines, or a limit of 0 machines down", m.GetNumber())
	}
	w := &Wave{Number: m.GetNumber(), MaxDown: int(m.GetCap()), Duration: millis.Duration(m.GetDuration()), RequestedAt: now}
	for _, name := range m.GetMachines() {
		w.Machines = append(w.Machines, &Machine{Name: name})
	}
	l.waves[w.Number] = w
	l.addToDigest(w.Number)
	return nil
}

// recordMaintenance records that the maintenance of one machine begins or is done.
// Every beginning passes through here, so this is where the limit on machines that are
// down at once is enforced.
func (l *Ledger) recordMaintenance(s *record.WaveStep) *code.Error {
	w, ok := l.waves[s.GetWave()]
	if !ok {
		return code.New(code.NotFound, "unknown wave %d", s.GetWave())
	}
	i := slices.IndexFunc(w.Machines, func(m *Machine) bool { return m.Name == s.GetMachine() })
	if i < 0 {
		return code.New(code.NotFound, "machine %s is not part of wave %d", s.GetMachine(), s.GetWave())
	}
	m := w.Machines[i]
	switch {
	case s.GetDone():
		m.MaintenanceStarted, m.MaintenanceDone = true, true
	case m.MaintenanceStarted:
		return nil
	case w.DownMachines() >= w.MaxDown:
		return code.New(code.MembershipChangePending, "%d machines of wave %d are already down", w.DownMachines(), w.Number)
	default:
		m.MaintenanceStarted = true
		if b, ok := l.ServerOnMachine(m.Name); ok {
			m.ServerStartedAtMs = b.StartedAtMs
		}
	}
	l.addTextToDigest(m.Name)
	return nil
}

// ServerOnMachine returns the latest server incarnation that runs on a machine.
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
		Duration: millis.Duration(r.GetWave().GetDuration()), RequestedAt: time.Duration(r.GetBegan()),
	}
	for _, m := range r.GetMachines() {
		w.Machines = append(w.Machines, &Machine{Name: m.GetMachine(), MaintenanceStarted: m.GetBegun(), MaintenanceDone: m.GetDone(), ServerStartedAtMs: m.GetBorn()})
	}
	return w
}
