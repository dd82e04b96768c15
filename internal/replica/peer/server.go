package peer

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
)

// Limits for incoming requests.
const (
	// maxBodyBytes limits the body of a request: one message of the largest size and
	// 1 MiB for its envelope.
	maxBodyBytes = MaxMessageBytes + 1<<20
	// maxConcurrentRequests limits the requests that are handled at the same time.
	maxConcurrentRequests = 16
)

// Reasons for refusing a request.
var (
	errWrongCell           = errors.New("message for another cell")
	errWrongReplica        = errors.New("message for another replica")
	errSenderIsSelf        = errors.New("message that names this replica as its sender")
	errNoCertificate       = errors.New("message without a verified client certificate")
	errCertificateMismatch = errors.New("client certificate is not valid for the name of the sender")
	errTooManyRequests     = errors.New("too many concurrent requests from other replicas")
)

// tlsStateKey is the context key of the TLS state of a request.
type tlsStateKey struct{}

// Handler returns the HTTP handler for messages from peers. If TLS is set, its
// listener must request and verify client certificates.
func (p *Transport) Handler() http.Handler {
	p.initialize()
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

// replicaService implements the Replica service.
type replicaService struct{ pool *Transport }

// Deliver passes on the messages of an authenticated peer.
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

// check refuses messages that are not for this replica and messages whose sender is
// not authenticated. Otherwise, after a configuration mistake or the reuse of an
// address, messages of one group could count as votes in another group.
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
