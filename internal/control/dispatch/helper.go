package dispatch

import (
	"context"
	"maps"
	"time"

	"gypsumreel/internal/api/inner"
)

// joiningReplicaTTL is how long a replica that is not a member is remembered after its last
// greeting.
const joiningReplicaTTL = 20 * time.Second

// replicaAliveTimeout is how long after its last greeting a replica counts as alive.
const replicaAliveTimeout = 2 * time.Second

// joiningReplica is a control replica that has sent a greeting and may not be a member yet.
type joiningReplica struct {
	address        string
	zone           string
	lastGreetingAt time.Duration
	// holds is the number of backend servers that the replica can hold.
	holds int
}

// Name returns the address of the replica, and Zone its availability zone.
func (r *joiningReplica) Name() string { return r.address }

// Zone returns the availability zone of the replica.
func (r *joiningReplica) Zone() string { return r.zone }

// Greet registers a process and returns which replica leads. It is safe for concurrent use.
func (d *Dispatcher) Greet(ctx context.Context, g *inner.Greeting) *inner.Welcome {
	receivedAt := d.Now()
	welcome, err := recordOnLeader(ctx, d, errNotLeading, func(reply func(*inner.Welcome)) {
		d.registerProcess(g, receivedAt)
		message := d.welcomeMessage()
		d.Host.AfterCommit(func() { reply(message) })
	})
	if err != nil {
		return &inner.Welcome{}
	}
	return welcome
}

// RegisterProcess registers a process that greeted this replica while another one leads. If
// this replica is elected next, it has its helpers immediately. A greeting for which there is
// no room until ctx ends is left out, because the next one follows soon.
func (d *Dispatcher) RegisterProcess(ctx context.Context, g *inner.Greeting) {
	receivedAt := d.Now()
	d.Host.PostContext(ctx, func() { d.registerProcess(g, receivedAt) })
}

// registerProcess registers a process from its greeting.
func (d *Dispatcher) registerProcess(g *inner.Greeting, receivedAt time.Duration) {
	if g.GetReplica() != "" {
		d.joiningReplicas[g.GetReplica()] = &joiningReplica{address: g.GetAddress(), zone: g.GetZone(), lastGreetingAt: receivedAt, holds: int(g.GetHolds())}
	}
	d.helperPool.RecordGreeting(g.GetAddress(), receivedAt)
	if g.GetClock() > 0 {
		d.agreedTime.Observe(g.GetAddress(), time.Duration(g.GetClock()), receivedAt)
	}
}

// welcomeMessage returns the leader's answer to a greeting.
func (d *Dispatcher) welcomeMessage() *inner.Welcome {
	message := &inner.Welcome{Term: d.leader.term, Leads: true, Version: d.Host.Flows().Config().GetVersion(), Pause: uint32(d.helperPool.GreetingInterval() / time.Millisecond), Clock: uint64(d.Now() / time.Millisecond)}
	for _, m := range d.Host.Members().Members {
		message.Members = append(message.Members, m.Address)
	}
	return message
}

// announceTimeout is the timeout of the announcement to one process.
const announceTimeout = 700 * time.Millisecond

// announceLeadership tells the recently registered processes that this replica leads.
// Without it, callers and questions to the adviser would wait for the next greetings.
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

// removeExpiredProcesses removes processes and replicas whose last greeting is too old.
func (d *Dispatcher) removeExpiredProcesses(now time.Duration) {
	d.helperPool.RemoveSilent(now)
	maps.DeleteFunc(d.joiningReplicas, func(_ string, replica *joiningReplica) bool { return now-replica.lastGreetingAt > joiningReplicaTTL })
}
