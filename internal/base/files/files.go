// Package files shares out the files that a process may have open. A connection is
// one, and a process that has used up all it may open fails at whatever needs the
// next: a call, a vote, the log. So each use has a part that the uses after it
// leave alone, and who finds no room is told so before the kernel has to.
package files

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Purpose is what files are open for. The uses before one come first.
type Purpose uint8

// The uses, the most important first.
const (
	// Essential are journal, snapshot, listeners, what the runtime needs, and the few that
	// ask how the process is.
	Essential Purpose = iota
	// Peers are the connections of the consensus group.
	Peers
	// Processes are those between our own processes, and to services beside them.
	Processes
	// Callers are those that come in from callers, operators and backend servers.
	Callers
	// Servers are those of calls to backend servers.
	Servers
	purposes
)

var purposeNames = [purposes]string{"own", "peers", "processes", "callers", "servers"}

// String returns the name of the use.
func (p Purpose) String() string { return purposeNames[p] }

// What is kept for each use, in files or as one part of so many of what is left.
const (
	// essentialReserve is kept for Own, at most one part in ownOf of all.
	essentialReserve = 256
	essentialDivisor = 4
	// peerReserve are two connections to each of eight replicas, and as many that hang.
	peerReserve = 32
	// processDivisor and callersOf are the parts kept for these uses.
	processDivisor = 8
	callerDivisor  = 4
	// pressureDivisor is the part of its share that a use has left when it is pressed.
	pressureDivisor = 4
	// unlimitedFiles stands for a limit that binds nothing.
	unlimitedFiles = 1 << 24
	// reclaimInterval is how often somebody who waits lets idle connections be closed.
	reclaimInterval = 20 * time.Millisecond
)

// ErrNoFiles means that a use has no file left; nothing was opened.
var ErrNoFiles = errors.New("the process may open no more files for this")

// Budget is how many files a process may open for each use. What is opened for Own
// and Peers need not be taken: what is kept for them is theirs. A nil Budget bounds
// nothing.
type Budget struct {
	limit    int
	reserved [purposes]int

	mu         sync.Mutex
	open       [purposes]int
	waitCounts [purposes]int
	// waiters are who waits, each for the end of its channel.
	waiters [purposes][]chan struct{}
}

// NewBudget returns the budget of a process that may open so many files.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit}
	b.reserved[Essential] = min(essentialReserve, limit/essentialDivisor)
	b.reserved[Peers] = min(peerReserve, limit/essentialDivisor)
	left := limit - b.reserved[Essential] - b.reserved[Peers]
	b.reserved[Processes] = left / processDivisor
	b.reserved[Callers] = left / callerDivisor
	b.reserved[Servers] = left - b.reserved[Processes] - b.reserved[Callers]
	return b
}

// ProcessLimit returns how many files this process may open: what the system allows, and
// at most what the settings say, if that is more than 0.
func ProcessLimit(settings int64) int {
	most := uint64(unlimitedFiles)
	if settings > 0 {
		most = min(most, uint64(settings))
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil {
		most = min(most, r.Cur)
	}
	return int(most)
}

// Allowance returns how many files a use may have open now: all but what is kept for,
// or used by, the uses before it, and what those after it use.
func (b *Budget) Allowance(p Purpose) int {
	if b == nil {
		return unlimitedFiles
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowance(p)
}

func (b *Budget) allowance(p Purpose) int {
	left := b.limit
	for other := range purposes {
		switch {
		case other < p:
			left -= max(b.reserved[other], b.open[other])
		case other > p:
			left -= b.open[other]
		}
	}
	return max(left, 0)
}

// TryAcquire opens a file for a use, unless there is no room.
func (b *Budget) TryAcquire(p Purpose) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters[p]) > 0 || b.open[p] >= b.allowance(p) {
		return false
	}
	b.open[p]++
	return true
}

// Acquire opens a file for a use, as soon as there is room; ErrNone when ctx ends
// before. Where it finds none it calls full now and then, which may make some.
func (b *Budget) Acquire(ctx context.Context, p Purpose, reclaim func()) error {
	if b.TryAcquire(p) {
		return nil
	}
	reclaim()
	b.mu.Lock()
	granted := make(chan struct{})
	b.waiters[p] = append(b.waiters[p], granted)
	b.waitCounts[p]++
	b.admitWaiting()
	b.mu.Unlock()
	for {
		select {
		case <-granted:
			return nil
		case <-ctx.Done():
			return b.abandon(p, granted)
		case <-time.After(reclaimInterval):
		}
		if b.isFirst(p, granted) {
			reclaim() // what was in use may be idle by now
		}
	}
}

// isFirst tells whether somebody is the first in a queue.
func (b *Budget) isFirst(p Purpose, granted chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters[p]) > 0 && b.waiters[p][0] == granted
}

// abandon ends somebody's wait without a file.
func (b *Budget) abandon(p Purpose, granted chan struct{}) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters[p], granted); i >= 0 {
		b.waiters[p] = slices.Delete(b.waiters[p], i, i+1)
	} else {
		b.open[p]-- // it was given one in this moment
		b.admitWaiting()
	}
	return errors.Wrapf(ErrNoFiles, "%s", p)
}

// admitWaiting lets those go on for whom there is room, the most important use first.
func (b *Budget) admitWaiting() {
	for p := range purposes {
		for len(b.waiters[p]) > 0 && b.open[p] < b.allowance(p) {
			close(b.waiters[p][0])
			b.waiters[p] = b.waiters[p][1:]
			b.open[p]++
		}
	}
}

// Release closes a file.
func (b *Budget) Release(p Purpose) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[p]--
	b.admitWaiting()
}

// UnderPressure tells that a use has little left: what it keeps open without need should
// be closed.
func (b *Budget) UnderPressure(p Purpose) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.allowance(p)
	return b.open[p] >= share-share/pressureDivisor
}

// PurposeUsage is one use of the budget.
type PurposeUsage struct {
	Use string
	// Kept is how many files the uses after it leave it, Open how many it has,
	// Share how many it may have now, Waits how often it found none.
	Kept, Open, Share, Waits int
}

// Usage returns all uses, for dumps and metrics.
func (b *Budget) Usage() []PurposeUsage {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]PurposeUsage, 0, purposes)
	for p := range purposes {
		out = append(out, PurposeUsage{Use: p.String(), Kept: b.reserved[p], Open: b.open[p], Share: b.allowance(p), Waits: b.waitCounts[p]})
	}
	return out
}
