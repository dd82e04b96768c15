package peer

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
)

// Bounds of what is taken in.
const (
	// bodyBytes bounds a request: one message of the largest size and its frame.
	bodyBytes = MaxMessageBytes + 1<<20
	// requests bounds those that are read at the same time.
	requests = 16
)

// Errors of requests that are refused.
var (
	errCell        = errors.New("message for another cell")
	errTo          = errors.New("message for another replica")
	errSelf        = errors.New("message that names this replica as its sender")
	errPlain       = errors.New("message without proof of identity")
	errCertificate = errors.New("certificate does not name the sender")
	errBusy        = errors.New("too many requests at the same time")
)

// connection is the key of the TLS state in a request's context.
type connection struct{}

// Handler serves what peers send. Its listener must ask for and verify client
// certificates when TLS is set.
func (p *Pool) Handler() http.Handler {
	p.init()
	server := inner.NewReplicaServer(receiver{p})
	room := make(chan struct{}, requests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case room <- struct{}{}:
			defer func() { <-room }()
		default:
			p.tell(Event{MessageRefused, r.RemoteAddr, errBusy})
			http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bodyBytes)
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connection{}, r.TLS)))
	})
}

// receiver is the server side of the service.
type receiver struct{ p *Pool }

// Deliver hands on the messages of a peer that proves to be who it says.
func (s receiver) Deliver(ctx context.Context, r *inner.DeliverRequest) (*inner.DeliverReply, error) {
	if err := s.check(ctx, r); err != nil {
		s.p.tell(Event{MessageRefused, r.GetFrom(), err})
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	done := s.p.order.await(r.GetFrom(), r.GetWire(), r.GetNumber())
	defer done()
	for _, e := range r.GetEnvelopes() {
		s.p.Deliver(r.GetFrom(), e.GetData())
	}
	return &inner.DeliverReply{}, nil
}

// check refuses what is not meant for this replica, and whoever is not the peer
// named: after a mistake in settings or a reused address, messages of one group
// would otherwise count as votes in another.
func (s receiver) check(ctx context.Context, r *inner.DeliverRequest) error {
	switch {
	case r.GetCell() != s.p.Cell:
		return errors.Wrapf(errCell, "%q", r.GetCell())
	case r.GetTo() != s.p.Self:
		return errors.Wrapf(errTo, "%q", r.GetTo())
	case r.GetFrom() == s.p.Self:
		return errSelf
	case s.p.TLS == nil:
		return nil
	}
	state, _ := ctx.Value(connection{}).(*tls.ConnectionState)
	if state == nil || len(state.VerifiedChains) == 0 {
		return errPlain
	}
	if err := state.PeerCertificates[0].VerifyHostname(name(r.GetFrom())); err != nil {
		return errors.Wrapf(errCertificate, "%v", err)
	}
	return nil
}
