package node

import (
	"context"
	"net/http"
	"slices"

	"gypsumreel/internal/replica/bootstrap"
	"gypsumreel/internal/replica/quorum"
)

// learnMembers sets the initial membership of the group. A replica that founds the
// group uses InitialMembers or agrees on the members with the other replicas. Any
// other replica publishes the members that it has stored.
func (n *Node) learnMembers(ctx context.Context, parts *assembly, self quorum.Member, state quorum.PersistedState) error {
	if !n.InitCell || !isBlank(state) {
		parts.handshake.SetMembers(knownMembers(state, self))
		return nil
	}
	if len(n.InitialMembers) > 0 {
		if slices.ContainsFunc(n.InitialMembers, func(m quorum.Member) bool { return m.ID == self.ID }) {
			parts.group.Config.InitialMembers = n.InitialMembers
		}
		return nil
	}
	members, err := parts.handshake.AgreeMembers(ctx)
	parts.group.Config.InitialMembers = members
	return err
}

func (n *Node) newHandshake(self quorum.Member) *bootstrap.Handshake {
	h := &bootstrap.Handshake{Cell: n.Cell, Self: self, Scheme: "http"}
	if n.ClientTLS != nil {
		h.Scheme = "https"
	}
	// Connections are not kept alive, because founding happens only once.
	h.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: n.ClientTLS, DialContext: n.Dial, DisableKeepAlives: true}}
	for _, r := range n.Replicas {
		if r.ID != n.Name {
			h.Peers = append(h.Peers, r)
		}
	}
	return h
}

// isBlank reports whether a replica has stored neither a snapshot, a log entry nor
// hard state. A replica that was stopped while it waited for the others is still
// blank after it has created its identity. It continues with that identity.
func isBlank(state quorum.PersistedState) bool {
	return state.Snapshot.Index == 0 && len(state.Entries) == 0 && state.HardState == quorum.HardState{}
}

// knownMembers returns the IDs of this replica and of the members stored on its disk.
// These are the members of the snapshot, or else of the first membership entry of
// the log. Replicas that still wait for the founding take them from a replica that
// has already founded the group, also after that replica has restarted.
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
