package node

import (
	"context"
	"net/http"
	"slices"

	"gypsumreel/internal/replica/bootstrap"
	"gypsumreel/internal/replica/quorum"
)

// learnMembers learns the first membership: from the other replicas when the group is
// founded now, else from the disk.
func (n *Node) learnMembers(ctx context.Context, a *assembly, self quorum.Member, state quorum.PersistedState) error {
	if !n.InitCell || !isBlank(state) {
		a.handshake.SetMembers(knownMembers(state, self))
		return nil
	}
	if len(n.InitialMembers) > 0 {
		if slices.ContainsFunc(n.InitialMembers, func(m quorum.Member) bool { return m.ID == self.ID }) {
			a.group.Config.InitialMembers = n.InitialMembers
		}
		return nil
	}
	members, err := a.handshake.AgreeMembers(ctx)
	a.group.Config.InitialMembers = members
	return err
}

func (n *Node) newHandshake(self quorum.Member) *bootstrap.Handshake {
	h := &bootstrap.Handshake{Cell: n.Cell, Self: self, Scheme: "http"}
	if n.ClientTLS != nil {
		h.Scheme = "https"
	}
	// No connection is kept: the founding happens once.
	h.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: n.ClientTLS, DialContext: n.Dial, DisableKeepAlives: true}}
	for _, r := range n.Replicas {
		if r.ID != n.Name {
			h.Peers = append(h.Peers, r)
		}
	}
	return h
}

// isBlank tells whether a replica never took part in anything. One that made its
// identity and was stopped while it waited for the others is blank still, and
// goes on with the same identity.
func isBlank(state quorum.PersistedState) bool {
	return state.Snapshot.Index == 0 && len(state.Entries) == 0 && state.HardState == quorum.HardState{}
}

// knownMembers lists the membership that a replica has on its disk: that of its
// snapshot or else the first of its log. Replicas that still wait to found the
// group take it from one that was quicker, also when that one has restarted.
func knownMembers(state quorum.PersistedState, self quorum.Member) []string {
	members := state.Snapshot.Members
	for _, e := range state.Entries {
		if len(members) > 0 {
			break
		}
		if e.Kind == quorum.EntryMembership {
			members, _ = quorum.DecodeMembers(e.Data)
		}
	}
	ids := []string{self.ID}
	for _, m := range members {
		if m.ID != self.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
