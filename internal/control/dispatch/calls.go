package dispatch

import "context"

// calls runs functions on goroutines that are used again: the stack that a call
// over HTTP needs grows in steps, each a copy, and with a goroutine for each of a
// thousand calls a second that takes a twentieth of the leader's processor time.
type calls struct {
	ctx  context.Context
	idle chan func()
}

// newCalls returns calls whose idle goroutines end with ctx.
func newCalls(ctx context.Context) *calls {
	return &calls{ctx: ctx, idle: make(chan func())}
}

// Go runs fn at once, on a goroutine that rests or on a new one.
func (c *calls) Go(fn func()) {
	select {
	case c.idle <- fn:
	default:
		go c.run(fn)
	}
}

// run runs fn, and whatever comes while it rests.
func (c *calls) run(fn func()) {
	for {
		fn()
		select {
		case fn = <-c.idle:
		case <-c.ctx.Done():
			return
		}
	}
}
