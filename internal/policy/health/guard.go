package health

import "time"

// Bounds of quarantine.
const (
	// QuarantineThreshold is the evidence at which a server is quarantined. It lies above
	// what one job that never succeeded can add up to on any one server, which is
	// doubt/(1-keep) = 1.67.
	QuarantineThreshold = 2.0
	// initialReliability is the standing of a name that never ran before.
	initialReliability = 0.5
	// retention is what a failure leaves of a name's standing.
	retention = 0.7
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
	reliability      map[JobName]float64
	servers          map[int32]*serverRecord
	quarantinedCount int
}

type serverRecord struct {
	evidence    float64
	quarantined bool
	nextProbe   time.Duration
	probeDelay  time.Duration
	successes   int
}

// NewFaultDetector returns a guard that knows nothing.
func NewFaultDetector() *FaultDetector {
	return &FaultDetector{reliability: map[JobName]float64{}, servers: map[int32]*serverRecord{}}
}

func (g *FaultDetector) server(s int32) *serverRecord {
	r := g.servers[s]
	if r == nil {
		r = &serverRecord{}
		g.servers[s] = r
	}
	return r
}

// RecordSuccess notes that a task of that name ended well on the server.
func (g *FaultDetector) RecordSuccess(n JobName, s int32) {
	if reliability, known := g.reliability[n]; known || len(g.reliability) < MaxNames {
		if !known {
			reliability = initialReliability
		}
		g.reliability[n] = retention*reliability + 1 - retention
	}
	r := g.server(s)
	r.evidence = 0
	if r.quarantined {
		r.successes++
	}
}

// RecordFailure notes that a task of that name failed on the server.
func (g *FaultDetector) RecordFailure(n JobName, s int32, now time.Duration) {
	reliability, known := g.reliability[n]
	if !known {
		reliability = initialReliability
	}
	if known || len(g.reliability) < MaxNames {
		g.reliability[n] = retention * reliability
	}
	r := g.server(s)
	r.evidence += reliability
	if r.quarantined {
		r.probeDelay = min(2*r.probeDelay, MaxProbeDelay)
		r.nextProbe = now + r.probeDelay
		r.successes = 0
	}
}

// ShouldQuarantine tells whether the server is to be quarantined, in a cell of the given
// number of servers. The cap keeps a bad job, or a fault of everything, from
// taking the whole cell out of use.
func (g *FaultDetector) ShouldQuarantine(s int32, servers int) bool {
	r := g.servers[s]
	return r != nil && !r.quarantined && r.evidence >= QuarantineThreshold && g.quarantinedCount < max(1, int(MaxQuarantinedShare*float64(servers)))
}

// Quarantine notes that the server is in quarantine since now.
func (g *FaultDetector) Quarantine(s int32, now time.Duration) {
	r := g.server(s)
	if r.quarantined {
		return
	}
	g.quarantinedCount++
	r.quarantined, r.successes = true, 0
	r.probeDelay = max(r.probeDelay, FirstProbeDelay)
	r.nextProbe = now + r.probeDelay
}

// Release notes that the server is out of quarantine.
func (g *FaultDetector) Release(s int32) {
	r := g.server(s)
	if r.quarantined {
		g.quarantinedCount--
	}
	*r = serverRecord{}
}

// MayProbe tells whether the server may be given a task to test it.
func (g *FaultDetector) MayProbe(s int32, now time.Duration) bool {
	r := g.servers[s]
	return r != nil && r.quarantined && now >= r.nextProbe
}

// Recovered tells whether enough probes succeeded.
func (g *FaultDetector) Recovered(s int32) bool {
	r := g.servers[s]
	return r != nil && r.quarantined && r.successes >= RequiredProbes
}
