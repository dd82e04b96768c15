package flows

import (
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
)

// setZoneDrain drains an availability zone or ends its drain. Repeating the command
// changes nothing.
func (l *Ledger) setZoneDrain(now time.Duration, m *record.ZoneMark) *code.Error {
	if m.GetZone() == "" {
		return code.New(code.Malformed, "a zone without a name")
	}
	_, drained := l.drainedZones[m.GetZone()]
	if drained == m.GetDrain() {
		return nil
	}
	if m.GetDrain() {
		l.drainedZones[m.GetZone()] = now
	} else {
		delete(l.drainedZones, m.GetZone())
	}
	l.addTextToDigest(m.GetZone())
	l.addToDigest(uint64(len(l.drainedZones)))
	return nil
}

// ZoneDrained reports whether an availability zone is drained, so that its servers get
// no new work.
func (l *Ledger) ZoneDrained(zone string) bool {
	_, ok := l.drainedZones[zone]
	return ok
}

// DrainedZones returns the drained zones with the time of their drain, on the ledger's
// clock. The caller must not change the map.
func (l *Ledger) DrainedZones() map[string]time.Duration { return l.drainedZones }

// AcceptsWork reports whether a server may be given new work.
func (l *Ledger) AcceptsWork(b *Server) bool {
	return !b.Ended && !b.ShuttingDown && !l.ZoneDrained(b.Zone)
}

func (l *Ledger) zoneRecords() (out []*record.ZoneRecord) {
	for _, name := range slices.Sorted(maps.Keys(l.drainedZones)) {
		out = append(out, &record.ZoneRecord{Zone: name, Since: int64(l.drainedZones[name])})
	}
	return out
}

func (l *Ledger) restoreZones(zones []*record.ZoneRecord) {
	for _, z := range zones {
		l.drainedZones[z.GetZone()] = time.Duration(z.GetSince())
	}
}
