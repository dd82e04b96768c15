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
	uses
)

var names = [uses]string{"own", "peers", "processes", "callers", "servers"}

// String returns the name of the use.
func (u Purpose) String() string { return names[u] }

// What is kept for each use, in files or as one part of so many of what is left.
const (
	// own is kept for Own, at most one part in ownOf of all.
	own   = 256
	ownOf = 4
	// peers are two connections to each of eight replicas, and as many that hang.
	peers = 32
	// processesOf and callersOf are the parts kept for these uses.
	processesOf = 8
	callersOf   = 4
	// pressedOf is the part of its share that a use has left when it is pressed.
	pressedOf = 4
	// unbounded stands for a limit that binds nothing.
	unbounded = 1 << 24
	// again is how often somebody who waits lets idle connections be closed.
	again = 20 * time.Millisecond
)

// ErrNoFiles means that a use has no file left; nothing was opened.
var ErrNoFiles = errors.New("the process may open no more files for this")

// Budget is how many files a process may open for each use. What is opened for Own
// and Peers need not be taken: what is kept for them is theirs. A nil Budget bounds
// nothing.
type Budget struct {
	limit int
	kept  [uses]int

	mu    sync.Mutex
	open  [uses]int
	waits [uses]int
	// queues are who waits, each for the end of its channel.
	queues [uses][]chan struct{}
}

// NewBudget returns the budget of a process that may open so many files.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit}
	b.kept[Essential] = min(own, limit/ownOf)
	b.kept[Peers] = min(peers, limit/ownOf)
	left := limit - b.kept[Essential] - b.kept[Peers]
	b.kept[Processes] = left / processesOf
	b.kept[Callers] = left / callersOf
	b.kept[Servers] = left - b.kept[Processes] - b.kept[Callers]
	return b
}

// ProcessLimit returns how many files this process may open: what the system allows, and
// at most what the settings say, if that is more than 0.
func ProcessLimit(settings int64) int {
	most := uint64(unbounded)
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
func (b *Budget) Allowance(u Purpose) int {
	if b == nil {
		return unbounded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share(u)
}

func (b *Budget) share(u Purpose) int {
	left := b.limit
	for other := range uses {
		switch {
		case other < u:
			left -= max(b.kept[other], b.open[other])
		case other > u:
			left -= b.open[other]
		}
	}
	return max(left, 0)
}

// TryAcquire opens a file for a use, unless there is no room.
func (b *Budget) TryAcquire(u Purpose) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queues[u]) > 0 || b.open[u] >= b.share(u) {
		return false
	}
	b.open[u]++
	return true
}

// Acquire opens a file for a use, as soon as there is room; ErrNone when ctx ends
// before. Where it finds none it calls full now and then, which may make some.
func (b *Budget) Acquire(ctx context.Context, u Purpose, full func()) error {
	if b.TryAcquire(u) {
		return nil
	}
	full()
	b.mu.Lock()
	mine := make(chan struct{})
	b.queues[u] = append(b.queues[u], mine)
	b.waits[u]++
	b.next()
	b.mu.Unlock()
	for {
		select {
		case <-mine:
			return nil
		case <-ctx.Done():
			return b.give(u, mine)
		case <-time.After(again):
		}
		if b.first(u, mine) {
			full() // what was in use may be idle by now
		}
	}
}

// first tells whether somebody is the first in a queue.
func (b *Budget) first(u Purpose, mine chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queues[u]) > 0 && b.queues[u][0] == mine
}

// give ends somebody's wait without a file.
func (b *Budget) give(u Purpose, mine chan struct{}) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queues[u], mine); i >= 0 {
		b.queues[u] = slices.Delete(b.queues[u], i, i+1)
	} else {
		b.open[u]-- // it was given one in this moment
		b.next()
	}
	return errors.Wrapf(ErrNoFiles, "%s", u)
}

// next lets those go on for whom there is room, the most important use first.
func (b *Budget) next() {
	for u := range uses {
		for len(b.queues[u]) > 0 && b.open[u] < b.share(u) {
			close(b.queues[u][0])
			b.queues[u] = b.queues[u][1:]
			b.open[u]++
		}
	}
}

// Release closes a file.
func (b *Budget) Release(u Purpose) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[u]--
	b.next()
}

// UnderPressure tells that a use has little left: what it keeps open without need should
// be closed.
func (b *Budget) UnderPressure(u Purpose) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share(u)
	return b.open[u] >= share-share/pressedOf
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
	out := make([]PurposeUsage, 0, uses)
	for u := range uses {
		out = append(out, PurposeUsage{Use: u.String(), Kept: b.kept[u], Open: b.open[u], Share: b.share(u), Waits: b.waits[u]})
	}
	return out
}
