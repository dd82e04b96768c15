package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the failure budget of a job.
const (
	// MaxFailedServers is the number of different servers on which the tasks of a job may fail
	// before it is given up.
	MaxFailedServers = 4
	// MaxFailures is the number of failed tasks after which a job is given up. It applies to
	// cells with few servers.
	MaxFailures = 12
	// MaxStops is the number of times that tasks of a job are stopped for exceeding their
	// declared size before the job is given up.
	MaxStops = 3
	// MaxCrashes is the number of servers in a row that may be lost just after a task was
	// placed there before its job is given up. The task may have crashed them.
	MaxCrashes = 3
	// CrashWindow is the time after its placement during which a task may crash its server by
	// starting. It includes the few seconds until a crashed server is detected as silent.
	CrashWindow = 5 * time.Second
	// MinBackoff is the delay after the first failure. It doubles with each further failure.
	MinBackoff = 500 * time.Millisecond
	// MaxBackoff is the longest delay after a failure.
	MaxBackoff = 2 * time.Minute
)

// Budget counts the failures of one job.
type Budget struct {
	failedServers []int32
	failures      int
	stops         int
	// crashesByTask counts, by task index, the servers in a row that were lost within
	// CrashWindow. crashLimitReached is true once a task has reached MaxCrashes.
	crashesByTask     map[uint32]int
	crashLimitReached bool
}

// RecordServerLoss counts the loss of the server of a task. age is the time since the placement
// of the task.
func (b *Budget) RecordServerLoss(index uint32, age time.Duration) {
	if age > CrashWindow {
		b.ResetCrashes(index)
		return
	}
	if b.crashesByTask == nil {
		b.crashesByTask = map[uint32]int{}
	}
	b.crashesByTask[index]++
	b.crashLimitReached = b.crashLimitReached || b.crashesByTask[index] >= MaxCrashes
}

// ResetCrashes clears the crash count of a task whose server stayed up while the task ran.
func (b *Budget) ResetCrashes(index uint32) { delete(b.crashesByTask, index) }

// RecordFailure counts a failed task on a server.
func (b *Budget) RecordFailure(server int32) {
	b.failures++
	if !slices.Contains(b.failedServers, server) {
		b.failedServers = append(b.failedServers, server)
	}
}

// RecordStop counts a task that was stopped for exceeding its declared size.
func (b *Budget) RecordStop() { b.stops++ }

// Exhausted reports whether the job is to be given up.
func (b *Budget) Exhausted() bool {
	return len(b.failedServers) >= MaxFailedServers || b.failures >= MaxFailures || b.stops >= MaxStops || b.crashLimitReached
}

// Reason returns a readable reason for giving up the job.
func (b *Budget) Reason() string {
	if b.stops >= MaxStops {
		return "used more than it declared"
	}
	if b.crashLimitReached {
		return "servers crashed under it"
	}
	return "failed on several servers"
}

// RemoveFailures takes back the failures on a server that turned out to fail every task. Such a
// server must not exhaust the budgets of jobs without a fault.
func (b *Budget) RemoveFailures(server int32) {
	i := slices.Index(b.failedServers, server)
	if i < 0 {
		return
	}
	b.failedServers = slices.Delete(b.failedServers, i, i+1)
	b.failures = len(b.failedServers)
}

// Failures returns the number of failed tasks that still count.
func (b *Budget) Failures() int { return b.failures }

// FailedOn reports whether a task of the job failed on the server.
func (b *Budget) FailedOn(server int32) bool { return slices.Contains(b.failedServers, server) }

// Backoff returns the delay before the next attempt. It is random between half and all of a
// time that doubles with each failure, so that tasks that failed together are not retried
// together.
func (b *Budget) Backoff(rng *rand.Rand) time.Duration {
	if b.failures == 0 {
		return 0
	}
	full := min(MaxBackoff, MinBackoff<<min(b.failures-1, 16))
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}
