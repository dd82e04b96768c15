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
	// rosterEvery is how often the membership is looked at. One change at a time
	// is made, and each takes a commit.
	rosterEvery = 150 * time.Millisecond
)

// members keeps the control group at its size: replicas that make themselves
// known are taken in, and those that are gone for good make room.
func (d *Dispatcher) members(now time.Duration) {
	if now-d.lead.roster < rosterEvery {
		return
	}
	d.lead.roster = now
	m := d.Host.Members()
	v := roster.GroupView{Self: m.Self, Members: m.Members, TargetVoters: d.TargetVoters, Synced: d.Host.IsSynced}
	for id, j := range d.joiners {
		v.Known = append(v.Known, roster.KnownReplica{Member: quorum.Member{ID: id, Address: j.address}, SilentFor: now - j.heard})
	}
	// A leader that has just begun has not heard of anybody yet.
	v.LeadingFor = now - d.lead.elected
	c, ok := roster.Decide(v)
	if !ok {
		return
	}
	event.Log(d.Log, event.MemberChange, "member", c.Member.ID, "address", c.Member.Address, "remove", c.Remove, "cause", c.Reason, "members", len(m.Members), "term", d.lead.term)
	d.Host.ChangeMember(c.Member, c.Remove)
}
