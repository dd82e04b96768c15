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
	receivedAt := d.Now()
	welcome, err := runOnLeader(ctx, d, errNotLeading, func(reply func(*inner.Welcome)) {
		d.registerProcess(g, receivedAt)
		message := d.welcomeMessage()
		d.Host.AfterCommit(func() { reply(message) })
	})
	if err != nil {
		return &inner.Welcome{}
	}
	return welcome
}

// RegisterProcess notes a process that greeted this replica while another one leads: should this
// one lead next, it has its helpers at once.
func (d *Dispatcher) RegisterProcess(g *inner.Greeting) {
	receivedAt := d.Now()
	d.Host.Post(func() { d.registerProcess(g, receivedAt) })
}

// registerProcess notes a process that made itself known.
func (d *Dispatcher) registerProcess(g *inner.Greeting, receivedAt time.Duration) {
	if g.GetReplica() != "" {
		d.joiningReplicas[g.GetReplica()] = &joiningReplica{address: g.GetAddress(), lastGreetingAt: receivedAt}
	}
	d.helperPool.Hear(g.GetAddress(), receivedAt)
	if g.GetClock() > 0 {
		d.agreedTime.Hear(g.GetAddress(), time.Duration(g.GetClock()), receivedAt)
	}
}

// welcomeMessage is what a leader tells a process that makes itself known.
func (d *Dispatcher) welcomeMessage() *inner.Welcome {
	message := &inner.Welcome{Term: d.leader.term, Leads: true, Version: d.Host.Flows().Config().GetVersion(), Pause: uint32(d.helperPool.Pause() / time.Millisecond)}
	for _, m := range d.Host.Members().Members {
		message.Members = append(message.Members, m.Address)
	}
	return message
}

// announceTimeout bounds the announcement of a new leader to one process.
const announceTimeout = 700 * time.Millisecond

// announceLeadership tells the processes that were heard of lately that this replica leads, so
// that neither their callers nor the leader's questions wait for the next greeting.
func (d *Dispatcher) announceLeadership() {
	now := d.Now()
	announcement := &inner.Announcement{Cell: d.Cell, Welcome: d.welcomeMessage()}
	for _, m := range d.Host.Members().Members {
		if m.ID == d.Host.Members().Self {
			announcement.Address = m.Address
		}
	}
	if announcement.Address == "" {
		return
	}
	term, ctx := d.leader.term, d.leader.ctx
	for _, address := range d.helperPool.Alive(now) {
		d.leader.callPool.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if g := d.Helpers.Announce(ctx, address, announcement); g.GetAddress() != "" {
				answeredAt := d.Now()
				d.postInTerm(term, func() { d.registerProcess(g, answeredAt) })
			}
		})
	}
}

// removeExpiredProcesses drops processes that were not heard of for long.
func (d *Dispatcher) removeExpiredProcesses(now time.Duration) {
	d.helperPool.Forget(now)
	maps.DeleteFunc(d.joiningReplicas, func(_ string, replica *joiningReplica) bool { return now-replica.lastGreetingAt > joiningReplicaTTL })
}
