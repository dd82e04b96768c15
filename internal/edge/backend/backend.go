// Package backend implements the Backend service of an entry. It checks the
// enrolment secret of backend servers and forwards their requests to the leader.
package backend

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/edge/control"
)

const (
	// MaxPollWait bounds the long poll of a Sync, so that a backend server soon
	// notices a connection that carries no replies.
	MaxPollWait = 2 * time.Second
	// RequestTimeout bounds every call except Sync.
	RequestTimeout = 2 * time.Second
	// pollMargin is the time added to the poll wait of a Sync for the exchange with the leader.
	pollMargin = 500 * time.Millisecond
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 8 << 20
)

// Digest is the SHA-256 of an enrolment secret.
type Digest [sha256.Size]byte

// Handler implements the Backend service. Set the fields, then mount it with Route.
type Handler struct {
	Leader control.Sender
	// EnrolmentDigests holds the digests of the accepted secrets: two while a
	// secret is being replaced. With none, every request is refused.
	EnrolmentDigests []Digest
	Log              logr.Logger
}

// Route returns the URL path of the service and its HTTP handler.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewBackendHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Announce forwards the request of a backend server to open a session.
func (h *Handler) Announce(ctx context.Context, req *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceReply], error) {
	reply, status := h.forward(ctx, req.Header(), req.Peer(), checkAnnounce(req.Msg), &inner.Item{Ask: &inner.Item_Announce{Announce: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.AnnounceReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetAnnounce()), nil
}

// Sync forwards a bounded long poll. If the leader does not answer, the reply
// sends the backend server to another entry and grants no lease, so that the
// server's current lease still expires on time.
func (h *Handler) Sync(ctx context.Context, req *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncReply], error) {
	m := req.Msg
	pollWait := time.Duration(min(m.GetPatience(), uint64(MaxPollWait.Milliseconds()))) * time.Millisecond
	forwarded := &v1.SyncRequest{
		Server: m.GetServer(), Incarnation: m.GetIncarnation(), Number: m.GetNumber(), Reports: m.GetReports(),
		Patience: uint64(pollWait.Milliseconds()),
	}
	reply, status := h.forward(ctx, req.Header(), req.Peer(), checkSync(m), &inner.Item{Ask: &inner.Item_Sync{Sync: forwarded}}, pollWait+pollMargin)
	if status != nil {
		return connect.NewResponse(&v1.SyncReply{Status: status, Number: m.GetNumber(), Elsewhere: shouldTryOtherEntry(status)}), nil
	}
	return connect.NewResponse(reply.GetSync()), nil
}

// Leave forwards the notice that the backend server takes no new work.
func (h *Handler) Leave(ctx context.Context, req *connect.Request[v1.LeaveRequest]) (*connect.Response[v1.LeaveReply], error) {
	reply, status := h.forward(ctx, req.Header(), req.Peer(), checkServer(req.Msg.GetServer()), &inner.Item{Ask: &inner.Item_Leave{Leave: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.LeaveReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetLeave()), nil
}

// forward checks the enrolment secret and sends the item to the leader, unless
// validation of the request failed.
func (h *Handler) forward(ctx context.Context, header http.Header, peer connect.Peer, validationErr error, item *inner.Item, timeout time.Duration) (*inner.Reply, *v1.Status) {
	if !h.isEnrolled(control.BearerToken(header)) {
		event.Log(h.Log, event.EnrolmentRefused, "peer", peer.Addr)
		return nil, control.NewStatus(code.InvalidEnrolment, "")
	}
	if validationErr != nil {
		return nil, control.StatusFromError(validationErr)
	}
	reply, status := control.Exchange(ctx, h.Leader, item, timeout)
	return reply, control.StatusForNonSubmit(status)
}

// isEnrolled reports whether the secret is accepted. It compares the digest with
// all accepted ones in constant time.
func (h *Handler) isEnrolled(secret string) bool {
	presented := sha256.Sum256([]byte(secret))
	match := 0
	for _, accepted := range h.EnrolmentDigests {
		match |= subtle.ConstantTimeCompare(presented[:], accepted[:])
	}
	return match == 1 && secret != ""
}

// shouldTryOtherEntry reports whether the same request may succeed at another entry.
func shouldTryOtherEntry(s *v1.Status) bool {
	switch code.Code(s.GetCode()) {
	case code.ShuttingDown, code.NoLeader, code.LeaderTimeout:
		return true
	}
	return false
}
