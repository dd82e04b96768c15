package flows

import (
	"maps"
	"slices"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
)

// Speed is the observed speed of one machine.
type Speed struct {
	// Ratio is the ratio of actual to declared run times relative to the average machine, in
	// thousandths. A slow machine has a high ratio.
	Ratio uint32
	// Runs is the number of runs that the ratio is based on.
	Runs uint32
}

// SpeedKey returns the name under which the speed of a server is recorded: its machine, or
// the server itself if it names none. A machine keeps its speed when its server restarts.
func (b *Server) SpeedKey() string {
	if b.Machine != "" {
		return b.Machine
	}
	return b.ID
}

// Speeds returns the observed speeds by SpeedKey. The caller must not change the map.
func (l *Ledger) Speeds() map[string]Speed { return l.speeds }

// recordSpeeds records observed speeds. It ignores machines without a server, so that the
// map stays as small as the cell.
func (l *Ledger) recordSpeeds(m *record.FlowSpeeds) *code.Error {
	known := l.machines()
	for _, s := range m.GetSpeeds() {
		if known[s.GetMachine()] && s.GetRatio() > 0 {
			l.speeds[s.GetMachine()] = Speed{Ratio: s.GetRatio(), Runs: s.GetRuns()}
		}
	}
	return nil
}

// machines returns the names under which speeds of the present servers are recorded.
func (l *Ledger) machines() map[string]bool {
	out := make(map[string]bool, len(l.servers))
	for _, b := range l.servers {
		out[b.SpeedKey()] = true
	}
	return out
}

// forgetSpeeds removes the speeds of machines that have no server any more.
func (l *Ledger) forgetSpeeds() {
	if len(l.speeds) == 0 {
		return
	}
	known := l.machines()
	maps.DeleteFunc(l.speeds, func(machine string, _ Speed) bool { return !known[machine] })
}

// speedRecords returns the snapshot records of the speeds, in the order of their names.
func (l *Ledger) speedRecords() (out []*record.MachineSpeed) {
	for _, machine := range slices.Sorted(maps.Keys(l.speeds)) {
		s := l.speeds[machine]
		out = append(out, &record.MachineSpeed{Machine: machine, Ratio: s.Ratio, Runs: s.Runs})
	}
	return out
}

// restoreSpeeds sets the speeds from their snapshot records.
func (l *Ledger) restoreSpeeds(speeds []*record.MachineSpeed) {
	for _, s := range speeds {
		l.speeds[s.GetMachine()] = Speed{Ratio: s.GetRatio(), Runs: s.GetRuns()}
	}
}
