// Package bootstrap agrees on the first membership of a control group. Identities
// are drawn at random when a data folder is made, so the replicas named in the
// settings first ask each other who they are.
package bootstrap

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/replica/quorum"
)

// retryInterval is the time between two rounds of asking.
const retryInterval = 200 * time.Millisecond

// ErrIdentityReplaced is returned when the group was founded by another disk of the
// same name. A blank disk must not count as a first member: it would vote as a
// replica that may have voted otherwise before.
var ErrIdentityReplaced = errors.New("the group was founded already; start without --init and add this replica as a new member")

// Handshake takes part in the founding. The exported fields are set before use.
type Handshake struct {
	Cell string
	// Self is this replica's own NAME/NONCE and address.
	Self quorum.Member
	// Peers are the other replicas, with their names as ID.
	Peers []quorum.Member
	// Client calls the other replicas.
	Client *http.Client
	// Scheme is http or https.
	Scheme string

	mu      sync.Mutex
	members []quorum.Member
}

var _ inner.Bootstrap = (*Handshake)(nil)

// Handler returns the HTTP handler of the service.
func (h *Handshake) Handler() http.Handler { return inner.NewBootstrapServer(h) }

// SetMembers sets the first membership of a replica that was founded before.
func (h *Handshake) SetMembers(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = nil
	for _, id := range ids {
		h.members = append(h.members, quorum.Member{ID: id})
	}
}

// Hello tells who this replica is.
func (h *Handshake) Hello(_ context.Context, req *inner.HelloRequest) (*inner.HelloReply, error) {
	if req.GetCell() != h.Cell || req.GetTo() != replicaName(h.Self.ID) {
		return nil, twirp.NewError(twirp.PermissionDenied, "this is "+replicaName(h.Self.ID)+" of cell "+h.Cell)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	rep := &inner.HelloReply{Id: h.Self.ID}
	for _, m := range h.members {
		rep.Members = append(rep.Members, m.ID)
	}
	return rep, nil
}

// AgreeMembers asks the other replicas until all of them are known, or one of them
// knows the first membership, and returns it.
func (h *Handshake) AgreeMembers(ctx context.Context) ([]quorum.Member, error) {
	known := map[string]quorum.Member{replicaName(h.Self.ID): h.Self}
	for {
		for _, p := range h.Peers {
			rep, err := h.callHello(ctx, p)
			if err != nil {
				continue
			}
			if len(rep.GetMembers()) > 0 {
				return h.adoptMembers(rep.GetMembers())
			}
			known[p.ID] = quorum.Member{ID: rep.GetId(), Address: p.Address}
		}
		if len(known) == len(h.Peers)+1 {
			return h.setSortedMembers(known), nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *Handshake) callHello(ctx context.Context, p quorum.Member) (*inner.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c := inner.NewBootstrapProtobufClient(h.Scheme+"://"+p.Address, h.Client)
	return c.Hello(ctx, &inner.HelloRequest{Cell: h.Cell, To: p.ID})
}

// adoptMembers takes the membership that another replica is sure of.
func (h *Handshake) adoptMembers(ids []string) ([]quorum.Member, error) {
	if !slices.Contains(ids, h.Self.ID) {
		return nil, ErrIdentityReplaced
	}
	known := map[string]quorum.Member{}
	for _, id := range ids {
		m := quorum.Member{ID: id, Address: h.Self.Address}
		for _, p := range h.Peers {
			if p.ID == replicaName(id) {
				m.Address = p.Address
			}
		}
		known[replicaName(id)] = m
	}
	return h.setSortedMembers(known), nil
}

// setSortedMembers fixes the membership, in the same order on every replica.
func (h *Handshake) setSortedMembers(known map[string]quorum.Member) []quorum.Member {
	members := make([]quorum.Member, 0, len(known))
	for _, m := range known {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return strings.Compare(a.ID, b.ID) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = members
	return members
}

func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
