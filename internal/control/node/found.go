package node

import (
	"context"
	"net/http"
	"slices"

	"gypsumreel/internal/replica/bootstrap"
	"gypsumreel/internal/replica/quorum"
)

// found learns the first membership: from the other replicas when the group is
// founded now, else from the disk.
func (n *Node) found(ctx context.Context, a *assembly, self quorum.Member, saved quorum.PersistedState) error {
	if !n.InitCell || !blank(saved) {
		a.handshake.SetMembers(known(saved, self))
		return nil
	}
	if len(n.InitialMembers) > 0 {
		if slices.ContainsFunc(n.InitialMembers, func(m quorum.Member) bool { return m.ID == self.ID }) {
			a.group.Config.InitialMembers = n.InitialMembers
		}
		return nil
	}
	first, err := a.handshake.AgreeMembers(ctx)
	a.group.Config.InitialMembers = first
	return err
}

func (n *Node) handshake(self quorum.Member) *bootstrap.Handshake {
	f := &bootstrap.Handshake{Cell: n.Cell, Self: self, Scheme: "http"}
	if n.ClientTLS != nil {
		f.Scheme = "https"
	}
	// No connection is kept: the founding happens once.
	f.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: n.ClientTLS, DialContext: n.Dial, DisableKeepAlives: true}}
	for _, r := range n.Replicas {
		if r.ID != n.Name {
			f.Peers = append(f.Peers, r)
		}
	}
	return f
}

// blank tells whether a replica never took part in anything. One that made its
// identity and was stopped while it waited for the others is blank still, and
// goes on with the same identity.
func blank(saved quorum.PersistedState) bool {
	return saved.Snapshot.Index == 0 && len(saved.Entries) == 0 && saved.HardState == quorum.HardState{}
}

// known lists the membership that a replica has on its disk: that of its
// snapshot or else the first of its log. Replicas that still wait to found the
// group take it from one that was quicker, also when that one has restarted.
func known(saved quorum.PersistedState, self quorum.Member) []string {
	members := saved.Snapshot.Members
	for _, e := range saved.Entries {
		if len(members) > 0 {
			break
		}
		if e.Kind == quorum.EntryMembership {
			members, _ = quorum.DecodeMembers(e.Data)
		}
	}
	out := []string{self.ID}
	for _, m := range members {
		if m.ID != self.ID {
			out = append(out, m.ID)
		}
	}
	return out
}
