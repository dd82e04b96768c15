package health

import "time"

// Limits of the quarantine.
const (
	// QuarantineThreshold is the evidence at which a server is quarantined. A single job that
	// has never succeeded adds at most initialReliability/(1-retention) = 1.67 to the evidence
	// against one server, which is less.
	QuarantineThreshold = 2.0
	// initialReliability is the reliability of a job name without results.
	initialReliability = 0.5
	// retention is the factor by which a failure reduces the reliability of a job name.
	retention = 0.7
	// MaxQuarantinedShare is the largest share of servers in quarantine at the same time. One
	// server is always allowed.
	MaxQuarantinedShare = 0.1
	// FirstProbeDelay is the time in quarantine before the first probe. It doubles with each
	// failed probe.
	FirstProbeDelay = 30 * time.Second
	// MaxProbeDelay is the longest time between two probes.
	MaxProbeDelay = 30 * time.Minute
	// RequiredProbes is the number of successful probes after which a server leaves quarantine.
	RequiredProbes = 2
)

// FaultDetector distinguishes servers that fail all tasks from jobs that fail on all servers. A
// failure counts against the server in proportion to the previous reliability of the job name.
type FaultDetector struct {
	reliability      map[JobName]float64
	servers          map[int32]*serverRecord
	quarantinedCount int
}

// serverRecord holds the results of tasks on one server. evidence is the sum of the
// reliabilities of the job names that failed there since the last success.
type serverRecord struct {
	evidence    float64
	quarantined bool
	nextProbe   time.Duration
	probeDelay  time.Duration
	successes   int
}

// NewFaultDetector returns a fault detector without results.
func NewFaultDetector() *FaultDetector {
	return &FaultDetector{reliability: map[JobName]float64{}, servers: map[int32]*serverRecord{}}
}

// server returns the record of a server and creates it if needed.
func (d *FaultDetector) server(s int32) *serverRecord {
	r := d.servers[s]
	if r == nil {
		r = &serverRecord{}
		d.servers[s] = r
	}
	return r
}

// RecordSuccess records a task of the given job name that succeeded on the server.
func (d *FaultDetector) RecordSuccess(n JobName, s int32) {
	if reliability, known := d.reliability[n]; known || len(d.reliability) < MaxNames {
		if !known {
			reliability = initialReliability
		}
		d.reliability[n] = retention*reliability + 1 - retention
	}
	r := d.server(s)
	r.evidence = 0
	if r.quarantined {
		r.successes++
	}
}

// RecordFailure records a task of the given job name that failed on the server.
func (d *FaultDetector) RecordFailure(n JobName, s int32, now time.Duration) {
	reliability, known := d.reliability[n]
	if !known {
		reliability = initialReliability
	}
	if known || len(d.reliability) < MaxNames {
		d.reliability[n] = retention * reliability
	}
	r := d.server(s)
	r.evidence += reliability
	if r.quarantined {
		r.probeDelay = min(2*r.probeDelay, MaxProbeDelay)
		r.nextProbe = now + r.probeDelay
		r.successes = 0
	}
}

// ShouldQuarantine reports whether the server is to be quarantined. servers is the number of
// servers in the cell. The limit on quarantined servers keeps a faulty job, or a fault that
// affects all servers, from disabling the whole cell.
func (d *FaultDetector) ShouldQuarantine(s int32, servers int) bool {
	r := d.servers[s]
	return r != nil && !r.quarantined && r.evidence >= QuarantineThreshold && d.quarantinedCount < max(1, int(MaxQuarantinedShare*float64(servers)))
}

// Quarantine puts the server into quarantine.
func (d *FaultDetector) Quarantine(s int32, now time.Duration) {
	r := d.server(s)
	if r.quarantined {
		return
	}
	d.quarantinedCount++
	r.quarantined, r.successes = true, 0
	r.probeDelay = max(r.probeDelay, FirstProbeDelay)
	r.nextProbe = now + r.probeDelay
}

// Release takes the server out of quarantine and clears its record.
func (d *FaultDetector) Release(s int32) {
	r := d.server(s)
	if r.quarantined {
		d.quarantinedCount--
	}
	*r = serverRecord{}
}

// MayProbe reports whether a quarantined server may get a task as a probe.
func (d *FaultDetector) MayProbe(s int32, now time.Duration) bool {
	r := d.servers[s]
	return r != nil && r.quarantined && now >= r.nextProbe
}

// Recovered reports whether enough probes succeeded to end the quarantine.
func (d *FaultDetector) Recovered(s int32) bool {
	r := d.servers[s]
	return r != nil && r.quarantined && r.successes >= RequiredProbes
}
