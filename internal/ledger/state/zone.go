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
	// Since is when it was drained, on the ledger's clock.
	Since   time.Duration
	Servers int
	// Tasks is what its servers hold.
	Tasks int
}

// zone drains an availability zone or takes it back, for both kinds of work.
func (s *State) zone(m *record.ZoneMark) Result {
	if err := s.flows.Apply(s.at, &record.Flow{What: &record.Flow_Zone{Zone: m}}); err != nil {
		return refused(err.Code, err.Detail)
	}
	for _, id := range sorted(s.servers) {
		if b := s.servers[id]; b.Zone == m.GetZone() {
			s.watch().ServerChanged(s.zoned(b))
		}
	}
	return Result{}
}

// zoned returns a server with what its zone says of it.
func (s *State) zoned(b Server) Server {
	b.ZoneDrained = s.flows.ZoneDrained(b.Zone)
	return b
}

// IsDrained tells whether the server, or its whole zone, is to get no new work.
func (b Server) IsDrained() bool { return b.DrainRequested || b.ZoneDrained }

// Zones returns the availability zones that backend servers are in or that are
// drained, by name.
func (s *State) Zones() []Zone {
	zones := map[string]*Zone{}
	at := func(name string) *Zone {
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
		z := at(b.Zone)
		z.Servers++
		z.Tasks += s.PlacedTaskCount(id)
	}
	for _, b := range s.flows.Servers() {
		if b.Ended || b.Zone == "" {
			continue
		}
		z := at(b.Zone)
		z.Servers++
		z.Tasks += len(b.HeldRuns)
	}
	for name, since := range s.flows.DrainedZones() {
		z := at(name)
		z.Drained, z.Since = true, since
	}
	out := make([]Zone, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, *zones[name])
	}
	return out
}
