package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the budget for failing jobs.
const (
	// MaxFailedServers is the number of different servers after whose failures a job
	// is given up.
	MaxFailedServers = 4
	// MaxFailures is the number of failures of one job's tasks after which it is
	// given up, for cells with fewer servers.
	MaxFailures = 12
	// MaxStops is the number of times that a job's tasks are stopped for using
	// more than it declared before it is given up.
	MaxStops = 3
	// MaxCrashes is the number of servers in a row that may be lost just after a task
	// was placed there before its job is given up: the task may have crashed them.
	MaxCrashes = 3
	// CrashWindow is how long after its placement a run may still crash its server by its
	// beginning: it takes a few seconds until a server counts as silent.
	CrashWindow = 5 * time.Second
	// MinBackoff is the wait after the first failure; it doubles with each.
	MinBackoff = 500 * time.Millisecond
	// MaxBackoff bounds the wait.
	MaxBackoff = 2 * time.Minute
)

// Budget counts the failures of one job.
type Budget struct {
	servers  []int32
	failures int
	stops    int
	// crashes counts the servers in a row that were lost just after a task was placed
	// there, by the task's index; crashed tells that it was so once too often.
	crashes map[uint32]int
	crashed bool
}

// RecordServerLoss counts the loss of a server under a task that had been placed there so long before.
func (b *Budget) RecordServerLoss(index uint32, age time.Duration) {
	if age > CrashWindow {
		b.ResetCrashes(index)
		return
	}
	if b.crashes == nil {
		b.crashes = map[uint32]int{}
	}
	b.crashes[index]++
	b.crashed = b.crashed || b.crashes[index] >= MaxCrashes
}

// ResetCrashes notes that a task's server stood while the task ran.
func (b *Budget) ResetCrashes(index uint32) { delete(b.crashes, index) }

// RecordFailure counts a failure on a server.
func (b *Budget) RecordFailure(server int32) {
	b.failures++
	if !slices.Contains(b.servers, server) {
		b.servers = append(b.servers, server)
	}
}

// RecordStop counts a stop for using more than was declared.
func (b *Budget) RecordStop() { b.stops++ }

// Exhausted tells whether the job is to be given up.
func (b *Budget) Exhausted() bool {
	return len(b.servers) >= MaxFailedServers || b.failures >= MaxFailures || b.stops >= MaxStops || b.crashed
}

// Reason says for people what the budget was spent on.
func (b *Budget) Reason() string {
	if b.stops >= MaxStops {
		return "used more than it declared"
	}
	if b.crashed {
		return "servers crashed under it"
	}
	return "failed on several servers"
}

// RemoveFailures takes back what was counted against the job on a server that turned
// out to fail everything: a black hole must not use up the budgets of sound jobs.
func (b *Budget) RemoveFailures(server int32) {
	at := slices.Index(b.servers, server)
	if at < 0 {
		return
	}
	b.servers = slices.Delete(b.servers, at, at+1)
	b.failures = len(b.servers)
}

// Failures returns the failures counted.
func (b *Budget) Failures() int { return b.failures }

// FailedOn tells whether the job failed on the server before.
func (b *Budget) FailedOn(server int32) bool { return slices.Contains(b.servers, server) }

// Backoff returns the wait before the next attempt: between half and all of a
// time that doubles with each failure, so that tasks that failed together do not
// come back together.
func (b *Budget) Backoff(rng *rand.Rand) time.Duration {
	if b.failures == 0 {
		return 0
	}
	full := min(MaxBackoff, MinBackoff<<min(b.failures-1, 16))
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}
