package health

import "time"

// Bounds of quarantine.
const (
	// QuarantineThreshold is the evidence at which a server is quarantined. It lies above
	// what one job that never succeeded can add up to on any one server, which is
	// doubt/(1-keep) = 1.67.
	QuarantineThreshold = 2.0
	// doubt is the standing of a name that never ran before.
	doubt = 0.5
	// keep is what a failure leaves of a name's standing.
	keep = 0.7
	// MaxQuarantinedShare is the largest part of the servers in quarantine at once, but
	// one is always allowed.
	MaxQuarantinedShare = 0.1
	// FirstProbeDelay is the time in quarantine before the first probe; it doubles with
	// each failed one.
	FirstProbeDelay = 30 * time.Second
	// MaxProbeDelay bounds it.
	MaxProbeDelay = 30 * time.Minute
	// RequiredProbes is the number of successes that bring a server back.
	RequiredProbes = 2
)

// FaultDetector tells servers that fail everything from jobs that fail everywhere: a
// failure counts against the server as much as the job's name was sound before.
type FaultDetector struct {
	names   map[JobName]float64
	servers map[int32]*record
	inside  int
}

type record struct {
	evidence  float64
	inside    bool
	next      time.Duration
	wait      time.Duration
	successes int
}

// NewFaultDetector returns a guard that knows nothing.
func NewFaultDetector() *FaultDetector {
	return &FaultDetector{names: map[JobName]float64{}, servers: map[int32]*record{}}
}

func (g *FaultDetector) server(s int32) *record {
	r := g.servers[s]
	if r == nil {
		r = &record{}
		g.servers[s] = r
	}
	return r
}

// RecordSuccess notes that a task of that name ended well on the server.
func (g *FaultDetector) RecordSuccess(n JobName, s int32) {
	if standing, known := g.names[n]; known || len(g.names) < MaxNames {
		if !known {
			standing = doubt
		}
		g.names[n] = keep*standing + 1 - keep
	}
	r := g.server(s)
	r.evidence = 0
	if r.inside {
		r.successes++
	}
}

// RecordFailure notes that a task of that name failed on the server.
func (g *FaultDetector) RecordFailure(n JobName, s int32, now time.Duration) {
	standing, known := g.names[n]
	if !known {
		standing = doubt
	}
	if known || len(g.names) < MaxNames {
		g.names[n] = keep * standing
	}
	r := g.server(s)
	r.evidence += standing
	if r.inside {
		r.wait = min(2*r.wait, MaxProbeDelay)
		r.next = now + r.wait
		r.successes = 0
	}
}

// ShouldQuarantine tells whether the server is to be quarantined, in a cell of the given
// number of servers. The cap keeps a bad job, or a fault of everything, from
// taking the whole cell out of use.
func (g *FaultDetector) ShouldQuarantine(s int32, servers int) bool {
	r := g.servers[s]
	return r != nil && !r.inside && r.evidence >= QuarantineThreshold && g.inside < max(1, int(MaxQuarantinedShare*float64(servers)))
}

// Quarantine notes that the server is in quarantine since now.
func (g *FaultDetector) Quarantine(s int32, now time.Duration) {
	r := g.server(s)
	if r.inside {
		return
	}
	g.inside++
	r.inside, r.successes = true, 0
	r.wait = max(r.wait, FirstProbeDelay)
	r.next = now + r.wait
}

// Release notes that the server is out of quarantine.
func (g *FaultDetector) Release(s int32) {
	r := g.server(s)
	if r.inside {
		g.inside--
	}
	*r = record{}
}

// MayProbe tells whether the server may be given a task to test it.
func (g *FaultDetector) MayProbe(s int32, now time.Duration) bool {
	r := g.servers[s]
	return r != nil && r.inside && now >= r.next
}

// Recovered tells whether enough probes succeeded.
func (g *FaultDetector) Recovered(s int32) bool {
	r := g.servers[s]
	return r != nil && r.inside && r.successes >= RequiredProbes
}
