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
		d.hear(g, heard)
		out := d.welcome()
		d.Host.AfterCommit(func() { reply(out) })
	})
	if err != nil {
		return &inner.Welcome{}
	}
	return w
}

// RegisterProcess notes a process that greeted this replica while another one leads: should this
// one lead next, it has its helpers at once.
func (d *Dispatcher) RegisterProcess(g *inner.Greeting) {
	heard := d.Now()
	d.Host.Post(func() { d.hear(g, heard) })
}

// hear notes a process that made itself known.
func (d *Dispatcher) hear(g *inner.Greeting, at time.Duration) {
	if g.GetReplica() != "" {
		d.joiners[g.GetReplica()] = &joiner{address: g.GetAddress(), heard: at}
	}
	d.crew.RecordGreeting(g.GetAddress(), at)
	if g.GetClock() > 0 {
		d.agreed.Observe(g.GetAddress(), time.Duration(g.GetClock()), at)
	}
}

// welcome is what a leader tells a process that makes itself known.
func (d *Dispatcher) welcome() *inner.Welcome {
	out := &inner.Welcome{Term: d.lead.term, Leads: true, Version: d.Host.Flows().Config().GetVersion(), Pause: uint32(d.crew.GreetingInterval() / time.Millisecond)}
	for _, m := range d.Host.Members().Members {
		out.Members = append(out.Members, m.Address)
	}
	return out
}

// announceTime bounds the announcement of a new leader to one process.
const announceTime = 700 * time.Millisecond

// announce tells the processes that were heard of lately that this replica leads, so
// that neither their callers nor the leader's questions wait for the next greeting.
func (d *Dispatcher) announce() {
	now := d.Now()
	word := &inner.Announcement{Cell: d.Cell, Welcome: d.welcome()}
	for _, m := range d.Host.Members().Members {
		if m.ID == d.Host.Members().Self {
			word.Address = m.Address
		}
	}
	if word.Address == "" {
		return
	}
	term, ctx := d.lead.term, d.lead.ctx
	for _, address := range d.crew.Alive(now) {
		d.lead.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceTime)
			defer cancel()
			if g := d.Helpers.Announce(ctx, address, word); g.GetAddress() != "" {
				heard := d.Now()
				d.post(term, func() { d.hear(g, heard) })
			}
		})
	}
}

// forgetHelpers drops processes that were not heard of for long.
func (d *Dispatcher) forgetHelpers(now time.Duration) {
	d.crew.RemoveSilent(now)
	maps.DeleteFunc(d.joiners, func(_ string, j *joiner) bool { return now-j.heard > joinerAge })
}
