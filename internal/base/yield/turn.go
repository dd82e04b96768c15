// Package turn lets a goroutine that computes for long share its processor. On one
// processor whatever waits, a heartbeat among it, waits for as long as that goroutine
// goes on; and where hundreds wait, one that stood back for all of them again and again
// would come to nothing itself.
package yield

import (
	"runtime"
	"time"
)

// most bounds how long a turn takes: what waits may have to wait for several.
const most = 20 * time.Millisecond

// Yielder is the turns of one goroutine. The zero value is ready.
type Yielder struct {
	// since is when this turn began, least how long it may take: as long as the others
	// had before it.
	since time.Time
	least time.Duration
}

// YieldIfDue lets the other goroutines run, unless they had as much time lately as this one.
func (t *Yielder) YieldIfDue() {
	now := time.Now()
	if now.Sub(t.since) < t.least {
		return
	}
	runtime.Gosched()
	t.since = time.Now()
	t.least = min(t.since.Sub(now), most)
}
