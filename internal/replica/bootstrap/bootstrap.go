// Package bootstrap determines the first membership of a control group. Each replica
// generates a random identity when it creates its data folder, so the replicas named
// in the settings first have to learn each other's identities.
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

// retryInterval is the time between two rounds of Hello calls.
const retryInterval = 200 * time.Millisecond

// ErrIdentityReplaced is returned if the first membership contains another identity of
// this replica, whose disk has been replaced since. A replica with an empty disk must
// not act as a first member, because the earlier replica of the same name may already
// have voted differently.
var ErrIdentityReplaced = errors.New("the group already exists, and the identity of this replica is not one of its first members; start without --init and add this replica as a new member")

// Handshake exchanges identities with the other replicas. The exported fields must be
// set before use.
type Handshake struct {
	Cell string
	// Self is the identity (NAME/NONCE) and the address of this replica.
	Self quorum.Member
	// Peers are the other replicas. Their IDs are names without a nonce.
	Peers []quorum.Member
	// Client calls the other replicas.
	Client *http.Client
	// Scheme is http or https.
	Scheme string

	mu sync.Mutex
	// firstMembers is the first membership. It is empty until it is known.
	firstMembers []quorum.Member
}

var _ inner.Bootstrap = (*Handshake)(nil)

// Handler returns the HTTP handler of the service.
func (h *Handshake) Handler() http.Handler { return inner.NewBootstrapServer(h) }

// SetMembers sets the first membership of a replica that already has one on its disk.
// Hello then returns it to replicas that are still waiting for the membership.
func (h *Handshake) SetMembers(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstMembers = nil
	for _, id := range ids {
		h.firstMembers = append(h.firstMembers, quorum.Member{ID: id})
	}
}

// Hello returns the identity of this replica, and the first membership if it is known.
func (h *Handshake) Hello(_ context.Context, req *inner.HelloRequest) (*inner.HelloReply, error) {
	if req.GetCell() != h.Cell || req.GetTo() != replicaName(h.Self.ID) {
		return nil, twirp.NewError(twirp.PermissionDenied, "request for another replica: this is "+replicaName(h.Self.ID)+" of cell "+h.Cell)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &inner.HelloReply{Id: h.Self.ID}
	for _, m := range h.firstMembers {
		reply.Members = append(reply.Members, m.ID)
	}
	return reply, nil
}

// AgreeMembers calls the other replicas until all of them have sent their identity, or
// until one of them has sent the first membership. It returns the first membership.
func (h *Handshake) AgreeMembers(ctx context.Context) ([]quorum.Member, error) {
	knownMembers := map[string]quorum.Member{replicaName(h.Self.ID): h.Self}
	for {
		for _, peer := range h.Peers {
			reply, err := h.callHello(ctx, peer)
			if err != nil {
				continue
			}
			if len(reply.GetMembers()) > 0 {
				return h.adoptMembers(reply.GetMembers())
			}
			knownMembers[peer.ID] = quorum.Member{ID: reply.GetId(), Address: peer.Address}
		}
		if len(knownMembers) == len(h.Peers)+1 {
			return h.setSortedMembers(knownMembers), nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// callHello asks a peer for its identity and the first membership. The timeout is 1 s.
func (h *Handshake) callHello(ctx context.Context, peer quorum.Member) (*inner.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := inner.NewBootstrapProtobufClient(h.Scheme+"://"+peer.Address, h.Client)
	return client.Hello(ctx, &inner.HelloRequest{Cell: h.Cell, To: peer.ID})
}

// adoptMembers accepts the first membership that another replica has sent.
func (h *Handshake) adoptMembers(ids []string) ([]quorum.Member, error) {
	if !slices.Contains(ids, h.Self.ID) {
		return nil, ErrIdentityReplaced
	}
	membersByName := map[string]quorum.Member{}
	for _, id := range ids {
		m := quorum.Member{ID: id, Address: h.Self.Address}
		for _, peer := range h.Peers {
			if peer.ID == replicaName(id) {
				m.Address = peer.Address
			}
		}
		membersByName[replicaName(id)] = m
	}
	return h.setSortedMembers(membersByName), nil
}

// setSortedMembers stores the membership, sorted so that it is the same on every
// replica.
func (h *Handshake) setSortedMembers(membersByName map[string]quorum.Member) []quorum.Member {
	members := make([]quorum.Member, 0, len(membersByName))
	for _, m := range membersByName {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return strings.Compare(a.ID, b.ID) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstMembers = members
	return members
}

// replicaName returns the NAME part of an identity NAME/NONCE.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
