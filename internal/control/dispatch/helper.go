package dispatch

import (
	"context"
	"maps"
	"time"

	"gypsumreel/internal/api/inner"
)

// joinerAge is how long a replica that is no member yet is remembered after it was
// heard of.
const joinerAge = 20 * time.Second

// joiner is a control replica that made itself known and may be no member yet.
type joiner struct {
	address string
	heard   time.Duration
}

// Greet makes a process known and tells it who leads; any goroutine may call it.
func (d *Dispatcher) Greet(ctx context.Context, g *inner.Greeting) *inner.Welcome {
	heard := d.Now()
	w, err := ask(ctx, d, errNotLeading, func(reply func(*inner.Welcome)) {
		if g.GetReplica() != "" {
			d.joiners[g.GetReplica()] = &joiner{address: g.GetAddress(), heard: heard}
		}
		d.crew.Hear(g.GetAddress(), heard)
		if g.GetClock() > 0 {
			d.agreed.Hear(g.GetAddress(), time.Duration(g.GetClock()), heard)
		}
		out := &inner.Welcome{Term: d.lead.term, Leads: true, Version: d.Host.Flows().Config().GetVersion(), Pause: uint32(d.crew.Pause() / time.Millisecond)}
		for _, m := range d.Host.Members().Members {
			out.Members = append(out.Members, m.Address)
		}
		d.Host.After(func() { reply(out) })
	})
	if err != nil {
		return &inner.Welcome{}
	}
	return w
}

// forgetHelpers drops processes that were not heard of for long.
func (d *Dispatcher) forgetHelpers(now time.Duration) {
	d.crew.Forget(now)
	maps.DeleteFunc(d.joiners, func(_ string, j *joiner) bool { return now-j.heard > joinerAge })
}
