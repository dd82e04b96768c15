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

// interval is the time between two rounds of asking.
const interval = 200 * time.Millisecond

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
func (f *Handshake) Handler() http.Handler { return inner.NewBootstrapServer(f) }

// SetMembers sets the first membership of a replica that was founded before.
func (f *Handshake) SetMembers(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = nil
	for _, id := range ids {
		f.members = append(f.members, quorum.Member{ID: id})
	}
}

// Hello tells who this replica is.
func (f *Handshake) Hello(_ context.Context, req *inner.HelloRequest) (*inner.HelloReply, error) {
	if req.GetCell() != f.Cell || req.GetTo() != name(f.Self.ID) {
		return nil, twirp.NewError(twirp.PermissionDenied, "this is "+name(f.Self.ID)+" of cell "+f.Cell)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rep := &inner.HelloReply{Id: f.Self.ID}
	for _, m := range f.members {
		rep.Members = append(rep.Members, m.ID)
	}
	return rep, nil
}

// AgreeMembers asks the other replicas until all of them are known, or one of them
// knows the first membership, and returns it.
func (f *Handshake) AgreeMembers(ctx context.Context) ([]quorum.Member, error) {
	known := map[string]quorum.Member{name(f.Self.ID): f.Self}
	for {
		for _, p := range f.Peers {
			rep, err := f.ask(ctx, p)
			if err != nil {
				continue
			}
			if len(rep.GetMembers()) > 0 {
				return f.join(rep.GetMembers())
			}
			known[p.ID] = quorum.Member{ID: rep.GetId(), Address: p.Address}
		}
		if len(known) == len(f.Peers)+1 {
			return f.settle(known), nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *Handshake) ask(ctx context.Context, p quorum.Member) (*inner.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c := inner.NewBootstrapProtobufClient(f.Scheme+"://"+p.Address, f.Client)
	return c.Hello(ctx, &inner.HelloRequest{Cell: f.Cell, To: p.ID})
}

// join takes the membership that another replica is sure of.
func (f *Handshake) join(ids []string) ([]quorum.Member, error) {
	if !slices.Contains(ids, f.Self.ID) {
		return nil, ErrIdentityReplaced
	}
	known := map[string]quorum.Member{}
	for _, id := range ids {
		m := quorum.Member{ID: id, Address: f.Self.Address}
		for _, p := range f.Peers {
			if p.ID == name(id) {
				m.Address = p.Address
			}
		}
		known[name(id)] = m
	}
	return f.settle(known), nil
}

// settle fixes the membership, in the same order on every replica.
func (f *Handshake) settle(known map[string]quorum.Member) []quorum.Member {
	out := make([]quorum.Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b quorum.Member) int { return strings.Compare(a.ID, b.ID) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = out
	return out
}

func name(id string) string {
	n, _, _ := strings.Cut(id, "/")
	return n
}
