package flows

import (
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
)

// zone drains an availability zone or takes it back. The same order twice is one.
func (l *Ledger) zone(at time.Duration, m *record.ZoneMark) *code.Error {
	if m.GetZone() == "" {
		return code.New(code.Malformed, "a zone without a name")
	}
	_, drained := l.drained[m.GetZone()]
	if drained == m.GetDrain() {
		return nil
	}
	if m.GetDrain() {
		l.drained[m.GetZone()] = at
	} else {
		delete(l.drained, m.GetZone())
	}
	l.mixText(m.GetZone())
	l.mix(uint64(len(l.drained)))
	return nil
}

// ZoneDrained tells whether the servers of an availability zone get no new work.
func (l *Ledger) ZoneDrained(zone string) bool {
	_, ok := l.drained[zone]
	return ok
}

// DrainedZones returns when each drained zone was drained, on the ledger's clock, to be
// read only.
func (l *Ledger) DrainedZones() map[string]time.Duration { return l.drained }

// AcceptsWork tells whether a server may be given new work.
func (l *Ledger) AcceptsWork(b *Server) bool {
	return !b.Ended && !b.ShuttingDown && !l.ZoneDrained(b.Zone)
}

func (l *Ledger) zoneRecords() (out []*record.ZoneRecord) {
	for _, name := range slices.Sorted(maps.Keys(l.drained)) {
		out = append(out, &record.ZoneRecord{Zone: name, Since: int64(l.drained[name])})
	}
	return out
}

func (l *Ledger) restoreZones(all []*record.ZoneRecord) {
	for _, z := range all {
		l.drained[z.GetZone()] = time.Duration(z.GetSince())
	}
}
