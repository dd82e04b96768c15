package dispatch

import (
	"time"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/policy/roster"
	"gypsumreel/internal/replica/quorum"
)

const (
	// DefaultTargetVoters is the number of voters that the group grows to: five
	// outlive the loss of any two.
	DefaultTargetVoters = 5
	// membershipCheckInterval is how often the membership is looked at. One change at a time
	// is made, and each takes a commit.
	membershipCheckInterval = 150 * time.Millisecond
)

// updateMembership keeps the control group at its size: replicas that make themselves
// known are taken in, and those that are gone for good make room.
func (d *Dispatcher) updateMembership(now time.Duration) {
	if now-d.leader.membershipCheckedAt < membershipCheckInterval {
		return
	}
	d.leader.membershipCheckedAt = now
	m := d.Host.Members()
	v := roster.View{Self: m.Self, Members: m.Members, Target: d.TargetVoters, Synced: d.Host.IsSynced}
	for id, j := range d.joiningReplicas {
		v.Known = append(v.Known, roster.Known{Member: quorum.Member{ID: id, Address: j.address}, Silent: now - j.lastGreetingAt})
	}
	// A leader that has just begun has not heard of anybody yet.
	v.Watched = now - d.leader.electedAt
	c, ok := roster.Decide(v)
	if !ok {
		return
	}
	event.Log(d.Log, event.MemberChange, "member", c.Member.ID, "address", c.Member.Address, "remove", c.Remove, "cause", c.Cause, "members", len(m.Members), "term", d.leader.term)
	d.Host.ChangeMember(c.Member, c.Remove)
}
