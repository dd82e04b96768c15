package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the budget for failing jobs.
const (
	// MostServers is the number of different servers after whose failures a job
	// is given up.
	MostServers = 4
	// MostFailures is the number of failures of one job's tasks after which it is
	// given up, for cells with fewer servers.
	MostFailures = 12
	// MostStops is the number of times that a job's tasks are stopped for using
	// more than it declared before it is given up.
	MostStops = 3
	// MostCrashes is the number of servers in a row that may be lost just after a task
	// was placed there before its job is given up: the task may have crashed them.
	MostCrashes = 3
	// JustBegun is how long after its placement a run may still crash its server by its
	// beginning: it takes a few seconds until a server counts as silent.
	JustBegun = 5 * time.Second
	// FirstBackoff is the wait after the first failure; it doubles with each.
	FirstBackoff = 500 * time.Millisecond
	// LongestBackoff bounds the wait.
	LongestBackoff = 2 * time.Minute
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

// Lose counts the loss of a server under a task that had been placed there so long before.
func (b *Budget) Lose(index uint32, age time.Duration) {
	if age > JustBegun {
		b.Outlive(index)
		return
	}
	if b.crashes == nil {
		b.crashes = map[uint32]int{}
	}
	b.crashes[index]++
	b.crashed = b.crashed || b.crashes[index] >= MostCrashes
}

// Outlive notes that a task's server stood while the task ran.
func (b *Budget) Outlive(index uint32) { delete(b.crashes, index) }

// Fail counts a failure on a server.
func (b *Budget) Fail(server int32) {
	b.failures++
	if !slices.Contains(b.servers, server) {
		b.servers = append(b.servers, server)
	}
}

// Exceed counts a stop for using more than was declared.
func (b *Budget) Exceed() { b.stops++ }

// Spent tells whether the job is to be given up.
func (b *Budget) Spent() bool {
	return len(b.servers) >= MostServers || b.failures >= MostFailures || b.stops >= MostStops || b.crashed
}

// Reason says for people what the budget was spent on.
func (b *Budget) Reason() string {
	if b.stops >= MostStops {
		return "used more than it declared"
	}
	if b.crashed {
		return "servers crashed under it"
	}
	return "failed on several servers"
}

// Forgive takes back what was counted against the job on a server that turned
// out to fail everything: a black hole must not use up the budgets of sound jobs.
func (b *Budget) Forgive(server int32) {
	at := slices.Index(b.servers, server)
	if at < 0 {
		return
	}
	b.servers = slices.Delete(b.servers, at, at+1)
	b.failures = len(b.servers)
}

// Failures returns the failures counted.
func (b *Budget) Failures() int { return b.failures }

// Avoids tells whether the job failed on the server before.
func (b *Budget) Avoids(server int32) bool { return slices.Contains(b.servers, server) }

// Backoff returns the wait before the next attempt: between half and all of a
// time that doubles with each failure, so that tasks that failed together do not
// come back together.
func (b *Budget) Backoff(rng *rand.Rand) time.Duration {
	if b.failures == 0 {
		return 0
	}
	full := min(LongestBackoff, FirstBackoff<<min(b.failures-1, 16))
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}
