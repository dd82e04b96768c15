// Package operator serves whoever is on duty: it limits the rate of changes,
// records them and forwards to the leader.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/dump"
	"gypsumreel/internal/edge/control"
)

const (
	// RequestTimeout bounds every call.
	RequestTimeout = 5 * time.Second
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 4 << 20
	// MaxDumpSize bounds the text of a dump in bytes.
	MaxDumpSize = 1 << 20
	// MaxShownRows bounds the lines of one Show.
	MaxShownRows = 5000
)

// LeaderClient is what the handler needs of the way to the leader.
type LeaderClient interface {
	control.Sender
	// Dump asks a process of the control group for its state.
	Dump(ctx context.Context, process string) (*v1.DumpReply, error)
}

// AuditRecord is one call of an operator, as the audit keeps it.
type AuditRecord struct {
	// KeyID is the id of the key presented, never its secret.
	KeyID string
	// PeerAddress is the address that the call came from.
	PeerAddress string
	// Call names what was asked, Subject what it was about.
	Call    string
	Subject string
	// ChangeID is the operator's change id.
	ChangeID string
	// Code is the result, Revision the table's revision after it.
	Code          code.Code
	TableRevision uint64
}

// Auditor receives each change and each refusal, in the order they were answered.
type Auditor interface {
	RecordCall(ctx context.Context, r AuditRecord)
}

// Handler serves the Operator service. Set the fields, then mount it with Route.
type Handler struct {
	Leader  LeaderClient
	Auditor Auditor
	// EntryName is the entry's own; a dump of that name or none is of this process.
	EntryName string
	// State returns what a dump of this process shows; it must hold no secrets.
	State func() any
	// RateLimits bounds the rate of calls by key.
	RateLimits RateLimits
}

// Route returns the path and the handler for an HTTP mux.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewOperatorHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Change forwards one change; the change id makes it safe to ask again.
func (h *Handler) Change(ctx context.Context, req *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
	m := req.Msg
	reply, status := h.exchange(ctx, req.Header(), checkChange(m), &inner.Item{Ask: &inner.Item_Change{Change: m}})
	out := &v1.ChangeReply{Status: status}
	if status == nil {
		out = reply.GetChange()
	}
	call, subject := describe(m)
	h.record(ctx, req.Header(), req.Peer().Addr, AuditRecord{
		Call: call, Subject: subject, ChangeID: m.GetId(),
		Code: code.Code(out.GetStatus().GetCode()), TableRevision: out.GetRevision(),
	})
	return connect.NewResponse(out), nil
}

// Show forwards a read.
func (h *Handler) Show(ctx context.Context, req *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	ask := &v1.ShowRequest{Part: req.Msg.GetPart(), After: req.Msg.GetAfter(), Limit: req.Msg.GetLimit()}
	if ask.Limit == 0 || ask.Limit > MaxShownRows {
		ask.Limit = MaxShownRows
	}
	reply, status := h.exchange(ctx, req.Header(), checkShow(ask), &inner.Item{Ask: &inner.Item_Show{Show: ask}})
	if status != nil {
		return connect.NewResponse(&v1.ShowReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetShow()), nil
}

// Dump gives the state of this process or of one in the control group. The
// entry holds no keys, so the leader judges the key by a small read first.
func (h *Handler) Dump(ctx context.Context, req *connect.Request[v1.DumpRequest]) (*connect.Response[v1.DumpReply], error) {
	probe := &inner.Item{Ask: &inner.Item_Show{Show: &v1.ShowRequest{Part: v1.Part_PART_MEMBERS, Limit: 1}}}
	reply, status := h.exchange(ctx, req.Header(), nil, probe)
	if status == nil && reply.GetShow().GetStatus().GetCode() != 0 {
		status = reply.GetShow().GetStatus()
	}
	out := &v1.DumpReply{Status: status}
	if status == nil {
		out = h.dump(ctx, req.Msg.GetProcess())
	}
	h.record(ctx, req.Header(), req.Peer().Addr, AuditRecord{Call: "dump", Subject: req.Msg.GetProcess(), Code: code.Code(out.GetStatus().GetCode())})
	return connect.NewResponse(out), nil
}

func (h *Handler) dump(ctx context.Context, process string) *v1.DumpReply {
	if process != "" && process != h.EntryName {
		reply, err := h.Leader.Dump(ctx, process)
		if err != nil {
			return &v1.DumpReply{Status: control.StatusFromError(err)}
		}
		return reply
	}
	var state any
	if h.State != nil {
		state = h.State()
	}
	return &v1.DumpReply{Status: &v1.Status{}, Text: dump.Render(state, MaxDumpSize)}
}

func (h *Handler) exchange(ctx context.Context, header http.Header, fault error, item *inner.Item) (*inner.Reply, *v1.Status) {
	cred, err := control.CredentialFromHeader(header)
	if err != nil {
		return nil, control.StatusFromError(err)
	}
	if !h.RateLimits.Allow(cred.GetId()) {
		return nil, control.NewStatus(code.LeaderTimeout, "too many calls with key %q; nothing was done", cred.GetId())
	}
	if fault != nil {
		return nil, control.StatusFromError(fault)
	}
	item.Credential = cred
	reply, status := control.Exchange(ctx, h.Leader, item, RequestTimeout)
	return reply, control.StatusForNonSubmit(status)
}

func (h *Handler) record(ctx context.Context, header http.Header, peer string, r AuditRecord) {
	if h.Auditor == nil {
		return
	}
	if cred, err := control.CredentialFromHeader(header); err == nil {
		r.KeyID = cred.GetId()
	}
	r.PeerAddress = peer
	h.Auditor.RecordCall(ctx, r)
}
