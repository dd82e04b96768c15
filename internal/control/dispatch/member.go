package dispatch

import (
	"time"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/policy/roster"
	"gypsumreel/internal/replica/quorum"
)

const (
	// DefaultTargetVoters is the default of Dispatcher.TargetVoters. Five voters tolerate
	// the loss of any two.
	DefaultTargetVoters = 5
	// membershipCheckInterval is the interval between membership checks. Only one change is
	// made at a time, and each change requires a commit.
	membershipCheckInterval = 150 * time.Millisecond
)

// updateMembership adds registered replicas to the replication group up to its target size
// and removes members that are permanently gone.
func (d *Dispatcher) updateMembership(now time.Duration) {
	if now-d.leader.membershipCheckedAt < membershipCheckInterval {
		return
	}
	d.leader.membershipCheckedAt = now
	members := d.Host.Members()
	view := roster.GroupView{Self: members.Self, Members: members.Members, TargetVoters: d.TargetVoters, Synced: d.Host.IsSynced}
	for id, replica := range d.joiningReplicas {
		view.Known = append(view.Known, roster.KnownReplica{Member: quorum.Member{ID: id, Address: replica.address}, SilentFor: now - replica.lastGreetingAt})
	}
	// A new leader has not received greetings yet.
	view.LeadingFor = now - d.leader.electedAt
	change, ok := roster.Decide(view)
	if !ok {
		return
	}
	event.Log(d.Log, event.MemberChange, "member", change.Member.ID, "address", change.Member.Address, "remove", change.Remove, "cause", change.Reason, "members", len(members.Members), "term", d.leader.term)
	d.Host.ChangeMember(change.Member, change.Remove)
}
