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
	members := d.Host.Members()
	view := roster.View{Self: members.Self, Members: members.Members, Target: d.TargetVoters, Synced: d.Host.IsSynced}
	for id, replica := range d.joiningReplicas {
		view.Known = append(view.Known, roster.Known{Member: quorum.Member{ID: id, Address: replica.address}, Silent: now - replica.lastGreetingAt})
	}
	// A leader that has just begun has not heard of anybody yet.
	view.Watched = now - d.leader.electedAt
	change, ok := roster.Decide(view)
	if !ok {
		return
	}
	event.Log(d.Log, event.MemberChange, "member", change.Member.ID, "address", change.Member.Address, "remove", change.Remove, "cause", change.Cause, "members", len(members.Members), "term", d.leader.term)
	d.Host.ChangeMember(change.Member, change.Remove)
}
