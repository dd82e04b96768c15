package dispatch

import "context"

// callPool runs functions on reused goroutines. The stack that an HTTP call needs grows in
// steps, and each step copies it. With a new goroutine for each of a thousand calls a
// second this takes a twentieth of the leader's CPU time.
type callPool struct {
	ctx         context.Context
	idleWorkers chan func()
}

// newCallPool returns a pool whose idle goroutines exit when ctx is done.
func newCallPool(ctx context.Context) *callPool {
	return &callPool{ctx: ctx, idleWorkers: make(chan func())}
}

// Go runs fn asynchronously on an idle goroutine, or on a new one if none is idle.
func (c *callPool) Go(fn func()) {
	select {
	case c.idleWorkers <- fn:
	default:
		go c.runWorker(fn)
	}
}

// runWorker runs fn and then the functions that it receives while idle.
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
