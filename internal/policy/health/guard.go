package health

import "time"

// Bounds of quarantine.
const (
	// Suspicion is the evidence at which a server is quarantined. It lies above
	// what one job that never succeeded can add up to on any one server, which is
	// doubt/(1-keep) = 1.67.
	Suspicion = 2.0
	// doubt is the standing of a name that never ran before.
	doubt = 0.5
	// keep is what a failure leaves of a name's standing.
	keep = 0.7
	// MostQuarantined is the largest part of the servers in quarantine at once, but
	// one is always allowed.
	MostQuarantined = 0.1
	// Probation is the time in quarantine before the first probe; it doubles with
	// each failed one.
	Probation = 30 * time.Second
	// LongestProbation bounds it.
	LongestProbation = 30 * time.Minute
	// Probes is the number of successes that bring a server back.
	Probes = 2
)

// Guard tells servers that fail everything from jobs that fail everywhere: a
// failure counts against the server as much as the job's name was sound before.
type Guard struct {
	names   map[Name]float64
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

// NewGuard returns a guard that knows nothing.
func NewGuard() *Guard { return &Guard{names: map[Name]float64{}, servers: map[int32]*record{}} }

func (g *Guard) server(s int32) *record {
	r := g.servers[s]
	if r == nil {
		r = &record{}
		g.servers[s] = r
	}
	return r
}

// Succeed notes that a task of that name ended well on the server.
func (g *Guard) Succeed(n Name, s int32) {
	if standing, known := g.names[n]; known || len(g.names) < MostNames {
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

// Fail notes that a task of that name failed on the server.
func (g *Guard) Fail(n Name, s int32, now time.Duration) {
	standing, known := g.names[n]
	if !known {
		standing = doubt
	}
	if known || len(g.names) < MostNames {
		g.names[n] = keep * standing
	}
	r := g.server(s)
	r.evidence += standing
	if r.inside {
		r.wait = min(2*r.wait, LongestProbation)
		r.next = now + r.wait
		r.successes = 0
	}
}

// Suspects tells whether the server is to be quarantined, in a cell of the given
// number of servers. The cap keeps a bad job, or a fault of everything, from
// taking the whole cell out of use.
func (g *Guard) Suspects(s int32, servers int) bool {
	r := g.servers[s]
	return r != nil && !r.inside && r.evidence >= Suspicion && g.inside < max(1, int(MostQuarantined*float64(servers)))
}

// Enter notes that the server is in quarantine since now.
func (g *Guard) Enter(s int32, now time.Duration) {
	r := g.server(s)
	if r.inside {
		return
	}
	g.inside++
	r.inside, r.successes = true, 0
	r.wait = max(r.wait, Probation)
	r.next = now + r.wait
}

// Leave notes that the server is out of quarantine.
func (g *Guard) Leave(s int32) {
	r := g.server(s)
	if r.inside {
		g.inside--
	}
	*r = record{}
}

// Probe tells whether the server may be given a task to test it.
func (g *Guard) Probe(s int32, now time.Duration) bool {
	r := g.servers[s]
	return r != nil && r.inside && now >= r.next
}

// Sound tells whether enough probes succeeded.
func (g *Guard) Sound(s int32) bool {
	r := g.servers[s]
	return r != nil && r.inside && r.successes >= Probes
}
