package dispatch

import (
	"context"
	"maps"
	"time"

	"gypsumreel/internal/api/inner"
)

// joiningReplicaTTL is how long a replica that is no member yet is remembered after it was
// heard of.
const joiningReplicaTTL = 20 * time.Second

// joiningReplica is a control replica that made itself known and may be no member yet.
type joiningReplica struct {
	address        string
	lastGreetingAt time.Duration
}

// Greet makes a process known and tells it who leads; any goroutine may call it.
func (d *Dispatcher) Greet(ctx context.Context, g *inner.Greeting) *inner.Welcome {
	heard := d.Now()
	w, err := runOnLeader(ctx, d, errNotLeading, func(reply func(*inner.Welcome)) {
		d.registerProcess(g, heard)
		out := d.welcomeMessage()
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
	d.Host.Post(func() { d.registerProcess(g, heard) })
}

// registerProcess notes a process that made itself known.
func (d *Dispatcher) registerProcess(g *inner.Greeting, at time.Duration) {
	if g.GetReplica() != "" {
		d.joiningReplicas[g.GetReplica()] = &joiningReplica{address: g.GetAddress(), lastGreetingAt: at}
	}
	d.helperPool.Hear(g.GetAddress(), at)
	if g.GetClock() > 0 {
		d.agreedTime.Hear(g.GetAddress(), time.Duration(g.GetClock()), at)
	}
}

// welcomeMessage is what a leader tells a process that makes itself known.
func (d *Dispatcher) welcomeMessage() *inner.Welcome {
	out := &inner.Welcome{Term: d.leader.term, Leads: true, Version: d.Host.Flows().Config().GetVersion(), Pause: uint32(d.helperPool.Pause() / time.Millisecond)}
	for _, m := range d.Host.Members().Members {
		out.Members = append(out.Members, m.Address)
	}
	return out
}

// announceTimeout bounds the announcement of a new leader to one process.
const announceTimeout = 700 * time.Millisecond

// announceLeadership tells the processes that were heard of lately that this replica leads, so
// that neither their callers nor the leader's questions wait for the next greeting.
func (d *Dispatcher) announceLeadership() {
	now := d.Now()
	word := &inner.Announcement{Cell: d.Cell, Welcome: d.welcomeMessage()}
	for _, m := range d.Host.Members().Members {
		if m.ID == d.Host.Members().Self {
			word.Address = m.Address
		}
	}
	if word.Address == "" {
		return
	}
	term, ctx := d.leader.term, d.leader.ctx
	for _, address := range d.helperPool.Alive(now) {
		d.leader.callPool.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if g := d.Helpers.Announce(ctx, address, word); g.GetAddress() != "" {
				heard := d.Now()
				d.postInTerm(term, func() { d.registerProcess(g, heard) })
			}
		})
	}
}

// removeExpiredProcesses drops processes that were not heard of for long.
func (d *Dispatcher) removeExpiredProcesses(now time.Duration) {
	d.helperPool.Forget(now)
	maps.DeleteFunc(d.joiningReplicas, func(_ string, j *joiningReplica) bool { return now-j.lastGreetingAt > joiningReplicaTTL })
}
