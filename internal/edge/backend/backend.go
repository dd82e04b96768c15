// Package backend serves the backend servers: it checks their enrolment and
// forwards their announcements and syncs to the leader.
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
	// MaxPollWait bounds a Sync, so that a silent connection shows soon.
	MaxPollWait = 2 * time.Second
	// RequestTimeout bounds every other call.
	RequestTimeout = 2 * time.Second
	// pollMargin is what a Sync may take beyond its patience.
	pollMargin = 500 * time.Millisecond
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 8 << 20
)

// Digest is the SHA-256 of an enrolment secret.
type Digest [sha256.Size]byte

// Handler serves the Backend service. Set the fields, then mount it with Route.
type Handler struct {
	Leader control.Sender
	// EnrolmentDigests holds the digests accepted; two while a secret is replaced. None admits nobody.
	EnrolmentDigests []Digest
	Log              logr.Logger
}

// Route returns the path and the handler for an HTTP mux.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewBackendHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Announce forwards the opening of a session.
func (h *Handler) Announce(ctx context.Context, req *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceReply], error) {
	reply, status := h.exchange(ctx, req.Header(), req.Peer(), checkAnnounce(req.Msg), &inner.Item{Ask: &inner.Item_Announce{Announce: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.AnnounceReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetAnnounce()), nil
}

// Sync forwards a bounded long poll. When no answer comes the server is sent to
// another entry without any lease: the old one keeps running down.
func (h *Handler) Sync(ctx context.Context, req *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncReply], error) {
	m := req.Msg
	patience := time.Duration(min(m.GetPatience(), uint64(MaxPollWait.Milliseconds()))) * time.Millisecond
	ask := &v1.SyncRequest{
		Server: m.GetServer(), Incarnation: m.GetIncarnation(), Number: m.GetNumber(), Reports: m.GetReports(),
		Patience: uint64(patience.Milliseconds()),
	}
	reply, status := h.exchange(ctx, req.Header(), req.Peer(), checkSync(m), &inner.Item{Ask: &inner.Item_Sync{Sync: ask}}, patience+pollMargin)
	if status != nil {
		return connect.NewResponse(&v1.SyncReply{Status: status, Number: m.GetNumber(), Elsewhere: turnAway(status)}), nil
	}
	return connect.NewResponse(reply.GetSync()), nil
}

// Leave forwards the word that the server takes no new work.
func (h *Handler) Leave(ctx context.Context, req *connect.Request[v1.LeaveRequest]) (*connect.Response[v1.LeaveReply], error) {
	reply, status := h.exchange(ctx, req.Header(), req.Peer(), checkServer(req.Msg.GetServer()), &inner.Item{Ask: &inner.Item_Leave{Leave: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.LeaveReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetLeave()), nil
}

func (h *Handler) exchange(ctx context.Context, header http.Header, peer connect.Peer, fault error, item *inner.Item, bound time.Duration) (*inner.Reply, *v1.Status) {
	if !h.enrolled(control.BearerToken(header)) {
		event.Log(h.Log, event.EnrolmentRefused, "peer", peer.Addr)
		return nil, control.NewStatus(code.InvalidEnrolment, "")
	}
	if fault != nil {
		return nil, control.StatusFromError(fault)
	}
	reply, status := control.Exchange(ctx, h.Leader, item, bound)
	return reply, control.StatusForNonSubmit(status)
}

// enrolled compares the secret's digest with all accepted ones in constant time.
func (h *Handler) enrolled(secret string) bool {
	got := sha256.Sum256([]byte(secret))
	match := 0
	for _, want := range h.EnrolmentDigests {
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return match == 1 && secret != ""
}

// turnAway tells whether another entry may do better.
func turnAway(s *v1.Status) bool {
	switch code.Code(s.GetCode()) {
	case code.ShuttingDown, code.NoLeader, code.LeaderTimeout:
		return true
	}
	return false
}
