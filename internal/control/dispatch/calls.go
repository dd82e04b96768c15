package dispatch

import "context"

// callPool runs functions on goroutines that are used again: the stack that a call
// over HTTP needs grows in steps, each a copy, and with a goroutine for each of a
// thousand calls a second that takes a twentieth of the leader's processor time.
type callPool struct {
	ctx         context.Context
	idleWorkers chan func()
}

// newCallPool returns calls whose idle goroutines end with ctx.
func newCallPool(ctx context.Context) *callPool {
	return &callPool{ctx: ctx, idleWorkers: make(chan func())}
}

// Go runs fn at once, on a goroutine that rests or on a new one.
func (c *callPool) Go(fn func()) {
	select {
	case c.idleWorkers <- fn:
	default:
		go c.runWorker(fn)
	}
}

// runWorker runs fn, and whatever comes while it rests.
func (c *callPool) runWorker(fn func()) {
	for {
		fn()
		select {
		case fn = <-c.idleWorkers:
		case <-c.ctx.Done():
			return
		}
	}
}
