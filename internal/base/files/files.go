// Package files divides the file descriptors of a process between their purposes. Each
// connection takes one. A process without free descriptors cannot make a call, send
// a vote or write its journal. Therefore each purpose has a reserve that less
// important purposes cannot use. A request beyond the allowance of its purpose fails
// in this package, before the limit of the operating system is reached.
package files

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Purpose tells what a file is open for. Lower values take precedence.
type Purpose uint8

// The purposes in the order of their precedence.
const (
	// Essential is for the journal, snapshots, listeners, the Go runtime, and the few
	// connections of health checks and metrics.
	Essential Purpose = iota
	// Peers is for the connections between control replicas.
	Peers
	// Processes is for connections between other processes of the cell, and to external
	// services.
	Processes
	// Callers is for connections from callers, operators and backend servers.
	Callers
	// Servers is for connections to backend servers.
	Servers
	// purposes is the number of purposes.
	purposes
)

// purposeNames holds the names that metrics and state dumps show.
var purposeNames = [purposes]string{"own", "peers", "processes", "callers", "servers"}

// String returns the name of the purpose.
func (p Purpose) String() string { return purposeNames[p] }

// The reserves of the purposes and the intervals of waiting.
const (
	// essentialReserve is the number of files reserved for Essential. This reserve and
	// peerReserve are each at most 1/essentialDivisor of the limit.
	essentialReserve = 256
	essentialDivisor = 4
	// peerReserve allows two connections to each of eight replicas, and as many
	// connections that have stopped responding.
	peerReserve = 32
	// Processes and Callers reserve 1/processDivisor and 1/callerDivisor of the files
	// that Essential and Peers leave.
	processDivisor = 8
	callerDivisor  = 4
	// A purpose is under pressure when at most 1/pressureDivisor of its allowance is
	// free.
	pressureDivisor = 4
	// unlimitedFiles is the limit when neither the system nor the settings set one.
	unlimitedFiles = 1 << 24
	// reclaimInterval is the time between two attempts of a waiting caller to close
	// idle connections.
	reclaimInterval = 20 * time.Millisecond
)

// ErrNoFiles means that the allowance of a purpose is used up. No file was opened.
var ErrNoFiles = errors.New("no files left in the budget of this purpose")

// Budget limits the number of open files for each purpose. Files for Essential and
// Peers need not be acquired, because their reserves are never used for other
// purposes. A nil Budget has no limits.
type Budget struct {
	limit    int
	reserved [purposes]int

	mu         sync.Mutex
	open       [purposes]int
	waitCounts [purposes]int
	// waiters holds the queue of waiting callers of each purpose. Closing a channel
	// grants its caller a file.
	waiters [purposes][]chan struct{}
}

// NewBudget returns the budget of a process that may open limit files.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit}
	b.reserved[Essential] = min(essentialReserve, limit/essentialDivisor)
	b.reserved[Peers] = min(peerReserve, limit/essentialDivisor)
	remaining := limit - b.reserved[Essential] - b.reserved[Peers]
	b.reserved[Processes] = remaining / processDivisor
	b.reserved[Callers] = remaining / callerDivisor
	b.reserved[Servers] = remaining - b.reserved[Processes] - b.reserved[Callers]
	return b
}

// ProcessLimit returns the number of files that this process may open: the lower of
// the system's limit and the configured one. A configured limit of 0 is ignored.
func ProcessLimit(configured int64) int {
	limit := uint64(unlimitedFiles)
	if configured > 0 {
		limit = min(limit, uint64(configured))
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil {
		limit = min(limit, r.Cur)
	}
	return int(limit)
}

// Allowance returns the number of files that a purpose may have open now. From the
// limit it subtracts the reserves of the more important purposes, or their open files
// if these are more, and the open files of the less important purposes.
func (b *Budget) Allowance(p Purpose) int {
	if b == nil {
		return unlimitedFiles
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowance(p)
}

// allowance is Allowance for callers that hold the lock.
func (b *Budget) allowance(p Purpose) int {
	free := b.limit
	for other := range purposes {
		switch {
		case other < p:
			free -= max(b.reserved[other], b.open[other])
		case other > p:
			free -= b.open[other]
		}
	}
	return max(free, 0)
}

// TryAcquire counts a file as open for a purpose. It returns false if the allowance is
// used up or other callers wait.
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

// Acquire waits until a file is free for a purpose and counts it as open. It returns
// ErrNoFiles if ctx ends first. While it waits it calls reclaim repeatedly, which
// may close idle connections.
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
			reclaim() // connections may have become idle in the meantime
		}
	}
}

// isFirst reports whether the caller that waits for granted is the first in its queue.
func (b *Budget) isFirst(p Purpose, granted chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters[p]) > 0 && b.waiters[p][0] == granted
}

// abandon ends the wait of a caller without a file.
func (b *Budget) abandon(p Purpose, granted chan struct{}) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters[p], granted); i >= 0 {
		b.waiters[p] = slices.Delete(b.waiters[p], i, i+1)
	} else {
		b.open[p]-- // the file was granted at the same time
		b.admitWaiting()
	}
	return errors.Wrapf(ErrNoFiles, "%s", p)
}

// admitWaiting grants free files to waiting callers, the most important purpose first.
func (b *Budget) admitWaiting() {
	for p := range purposes {
		for len(b.waiters[p]) > 0 && b.open[p] < b.allowance(p) {
			close(b.waiters[p][0])
			b.waiters[p] = b.waiters[p][1:]
			b.open[p]++
		}
	}
}

// Release counts a file of a purpose as closed.
func (b *Budget) Release(p Purpose) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[p]--
	b.admitWaiting()
}

// UnderPressure reports whether a purpose has used most of its allowance. Its idle
// connections should then be closed.
func (b *Budget) UnderPressure(p Purpose) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	allowance := b.allowance(p)
	return b.open[p] >= allowance-allowance/pressureDivisor
}

// PurposeUsage is the state of one purpose in a Budget. State dumps contain it under
// these field names.
type PurposeUsage struct {
	// Use is the name of the purpose.
	Use string
	// Kept is the reserve, Open the number of open files, Share the allowance and
	// Waits the number of times that a caller had to wait.
	Kept, Open, Share, Waits int
}

// Usage returns the state of all purposes, for state dumps and metrics.
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
