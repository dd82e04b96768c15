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
	// maxBodyBytes bounds a request: one message of the largest size and its frame.
	maxBodyBytes = MaxMessageBytes + 1<<20
	// maxConcurrentRequests bounds those that are read at the same time.
	maxConcurrentRequests = 16
)

// Errors of requests that are refused.
var (
	errWrongCell           = errors.New("message for another cell")
	errWrongReplica        = errors.New("message for another replica")
	errSenderIsSelf        = errors.New("message that names this replica as its sender")
	errNoCertificate       = errors.New("message without proof of identity")
	errCertificateMismatch = errors.New("certificate does not name the sender")
	errTooManyRequests     = errors.New("too many requests at the same time")
)

// tlsStateKey is the key of the TLS state in a request's context.
type tlsStateKey struct{}

// Handler serves what peers send. Its listener must ask for and verify client
// certificates when TLS is set.
func (p *Pool) Handler() http.Handler {
	p.init()
	server := inner.NewReplicaServer(replicaService{p})
	slots := make(chan struct{}, maxConcurrentRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			p.report(Event{MessageRefused, r.RemoteAddr, errTooManyRequests})
			http.Error(w, errTooManyRequests.Error(), http.StatusServiceUnavailable)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tlsStateKey{}, r.TLS)))
	})
}

// replicaService is the server side of the service.
type replicaService struct{ pool *Pool }

// Deliver hands on the messages of a peer that proves to be who it says.
func (s replicaService) Deliver(ctx context.Context, r *inner.DeliverRequest) (*inner.DeliverReply, error) {
	if err := s.check(ctx, r); err != nil {
		s.pool.report(Event{MessageRefused, r.GetFrom(), err})
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	done := s.pool.callOrder.waitForTurn(r.GetFrom(), r.GetWire(), r.GetNumber())
	defer done()
	for _, e := range r.GetEnvelopes() {
		s.pool.Deliver(r.GetFrom(), e.GetData())
	}
	return &inner.DeliverReply{}, nil
}

// check refuses what is not meant for this replica, and whoever is not the peer
// named: after a mistake in settings or a reused address, messages of one group
// would otherwise count as votes in another.
func (s replicaService) check(ctx context.Context, r *inner.DeliverRequest) error {
	switch {
	case r.GetCell() != s.pool.Cell:
		return errors.Wrapf(errWrongCell, "%q", r.GetCell())
	case r.GetTo() != s.pool.Self:
		return errors.Wrapf(errWrongReplica, "%q", r.GetTo())
	case r.GetFrom() == s.pool.Self:
		return errSenderIsSelf
	case s.pool.TLS == nil:
		return nil
	}
	state, _ := ctx.Value(tlsStateKey{}).(*tls.ConnectionState)
	if state == nil || len(state.VerifiedChains) == 0 {
		return errNoCertificate
	}
	if err := state.PeerCertificates[0].VerifyHostname(replicaName(r.GetFrom())); err != nil {
		return errors.Wrapf(errCertificateMismatch, "%v", err)
	}
	return nil
}
