// Package operator implements the Operator service of an entry. It limits the rate
// of calls, records changes for the audit and forwards the calls to the leader.
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
	// RequestTimeout bounds the wait for the leader in every call.
	RequestTimeout = 5 * time.Second
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 4 << 20
	// MaxDumpSize bounds the size of a state dump in bytes.
	MaxDumpSize = 1 << 20
	// MaxShownRows bounds the rows in one Show reply.
	MaxShownRows = 5000
)

// LeaderClient sends requests of the handler to the control group.
type LeaderClient interface {
	control.Sender
	// Dump returns the state dump of a process of the control group.
	Dump(ctx context.Context, process string) (*v1.DumpReply, error)
}

// AuditRecord describes one call of an operator for the audit.
type AuditRecord struct {
	// KeyID is the id of the operator's key. The secret is never recorded.
	KeyID string
	// PeerAddress is the network address of the client.
	PeerAddress string
	// Call is the kind of call, such as "withdraw" or "dump".
	Call string
	// Subject is the object of the call, such as a key id or a server name.
	Subject string
	// ChangeID is the change id that the operator chose.
	ChangeID string
	// Code is the result code of the call.
	Code code.Code
	// TableRevision is the revision of the table after the call.
	TableRevision uint64
}

// Auditor receives a record of every Change and Dump call, including refused ones,
// in the order in which they are answered.
type Auditor interface {
	RecordCall(ctx context.Context, r AuditRecord)
}

// Handler implements the Operator service. Set the fields, then mount it with Route.
type Handler struct {
	Leader  LeaderClient
	Auditor Auditor
	// EntryName is the name of this entry. A Dump request with this name or without
	// a name returns the state of this process.
	EntryName string
	// State returns the state of this process for a dump. It must not contain secrets.
	State func() any
	// RateLimits limits the rate of calls for each key.
	RateLimits RateLimits
}

// Route returns the URL path of the service and its HTTP handler.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewOperatorHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Change forwards one change. The change id makes a repeated request idempotent.
func (h *Handler) Change(ctx context.Context, req *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
	m := req.Msg
	reply, status := h.forward(ctx, req.Header(), checkChange(m), &inner.Item{Ask: &inner.Item_Change{Change: m}})
	response := &v1.ChangeReply{Status: status}
	if status == nil {
		response = reply.GetChange()
	}
	call, subject := describeChange(m)
	h.recordCall(ctx, req.Header(), req.Peer().Addr, AuditRecord{
		Call: call, Subject: subject, ChangeID: m.GetId(),
		Code: code.Code(response.GetStatus().GetCode()), TableRevision: response.GetRevision(),
	})
	return connect.NewResponse(response), nil
}

// Show forwards a request to read a part of the cell's state.
func (h *Handler) Show(ctx context.Context, req *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	forwarded := &v1.ShowRequest{Part: req.Msg.GetPart(), After: req.Msg.GetAfter(), Limit: req.Msg.GetLimit()}
	if forwarded.Limit == 0 || forwarded.Limit > MaxShownRows {
		forwarded.Limit = MaxShownRows
	}
	reply, status := h.forward(ctx, req.Header(), checkShow(forwarded), &inner.Item{Ask: &inner.Item_Show{Show: forwarded}})
	if status != nil {
		return connect.NewResponse(&v1.ShowReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetShow()), nil
}

// Dump returns the state of this process or of a process of the control group.
// The entry stores no keys, so it first has the leader check the operator's key
// with a small Show request.
func (h *Handler) Dump(ctx context.Context, req *connect.Request[v1.DumpRequest]) (*connect.Response[v1.DumpReply], error) {
	probe := &inner.Item{Ask: &inner.Item_Show{Show: &v1.ShowRequest{Part: v1.Part_PART_MEMBERS, Limit: 1}}}
	reply, status := h.forward(ctx, req.Header(), nil, probe)
	if status == nil && reply.GetShow().GetStatus().GetCode() != 0 {
		status = reply.GetShow().GetStatus()
	}
	response := &v1.DumpReply{Status: status}
	if status == nil {
		response = h.dumpProcess(ctx, req.Msg.GetProcess())
	}
	h.recordCall(ctx, req.Header(), req.Peer().Addr, AuditRecord{Call: "dump", Subject: req.Msg.GetProcess(), Code: code.Code(response.GetStatus().GetCode())})
	return connect.NewResponse(response), nil
}

// dumpProcess returns the state dump of the process named, or of this one.
func (h *Handler) dumpProcess(ctx context.Context, process string) *v1.DumpReply {
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

// forward applies the rate limit and sends the item with the operator's key to the
// leader, unless validation of the request failed.
func (h *Handler) forward(ctx context.Context, header http.Header, validationErr error, item *inner.Item) (*inner.Reply, *v1.Status) {
	credential, err := control.CredentialFromHeader(header)
	if err != nil {
		return nil, control.StatusFromError(err)
	}
	if !h.RateLimits.Allow(credential.GetId()) {
		return nil, control.NewStatus(code.LeaderTimeout, "rate limit exceeded for key %q, the call was not forwarded", credential.GetId())
	}
	if validationErr != nil {
		return nil, control.StatusFromError(validationErr)
	}
	item.Credential = credential
	reply, status := control.Exchange(ctx, h.Leader, item, RequestTimeout)
	return reply, control.StatusForNonSubmit(status)
}

// recordCall adds the key id and the client's address to the record and passes it to the auditor.
func (h *Handler) recordCall(ctx context.Context, header http.Header, peer string, r AuditRecord) {
	if h.Auditor == nil {
		return
	}
	if credential, err := control.CredentialFromHeader(header); err == nil {
		r.KeyID = credential.GetId()
	}
	r.PeerAddress = peer
	h.Auditor.RecordCall(ctx, r)
}
