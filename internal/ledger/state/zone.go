package state

import (
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
)

// Zone is an availability zone with its backend servers.
type Zone struct {
	Name    string
	Drained bool
	// Since is the time of the drain, on the ledger's clock.
	Since   time.Duration
	Servers int
	// Tasks counts the tasks that the zone's servers hold.
	Tasks int
}

// setZoneDrain drains an availability zone or ends its drain, for jobs and for flows.
func (s *State) setZoneDrain(m *record.ZoneMark) Result {
	if err := s.flows.Apply(s.now, &record.Flow{What: &record.Flow_Zone{Zone: m}}); err != nil {
		return refused(err.Code, err.Detail)
	}
	for _, id := range sortedKeys(s.servers) {
		if b := s.servers[id]; b.Zone == m.GetZone() {
			s.observer().ServerChanged(s.withZoneDrain(b))
		}
	}
	return Result{}
}

// withZoneDrain returns the server with ZoneDrained set from its zone.
func (s *State) withZoneDrain(b Server) Server {
	b.ZoneDrained = s.flows.ZoneDrained(b.Zone)
	return b
}

// IsDrained reports whether the server or its whole zone is drained, so that it gets no
// new work.
func (b Server) IsDrained() bool { return b.DrainRequested || b.ZoneDrained }

// Zones returns, sorted by name, the availability zones that have backend servers or
// are drained.
func (s *State) Zones() []Zone {
	zones := map[string]*Zone{}
	zoneByName := func(name string) *Zone {
		z := zones[name]
		if z == nil {
			z = &Zone{Name: name}
			zones[name] = z
		}
		return z
	}
	for id, b := range s.servers {
		if b.Server.State == gone || b.Zone == "" {
			continue
		}
		z := zoneByName(b.Zone)
		z.Servers++
		z.Tasks += s.PlacedTaskCount(id)
	}
	for _, b := range s.flows.Servers() {
		if b.Ended || b.Zone == "" {
			continue
		}
		z := zoneByName(b.Zone)
		z.Servers++
		z.Tasks += len(b.HeldRuns)
	}
	for name, since := range s.flows.DrainedZones() {
		z := zoneByName(name)
		z.Drained, z.Since = true, since
	}
	out := make([]Zone, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, *zones[name])
	}
	return out
}
