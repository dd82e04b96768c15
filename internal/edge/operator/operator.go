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
	// MaxAsk bounds every call.
	MaxAsk = 5 * time.Second
	// MaxRequest bounds the size of a request in bytes.
	MaxRequest = 4 << 20
	// MaxDump bounds the text of a dump in bytes.
	MaxDump = 1 << 20
	// MaxShow bounds the lines of one Show.
	MaxShow = 5000
)

// Leader is what the handler needs of the way to the leader.
type Leader interface {
	control.Sender
	// Dump asks a process of the control group for its state.
	Dump(ctx context.Context, process string) (*v1.DumpReply, error)
}

// Record is one call of an operator, as the audit keeps it.
type Record struct {
	// Key is the id of the key presented, never its secret.
	Key string
	// Peer is the address that the call came from.
	Peer string
	// Call names what was asked, Subject what it was about.
	Call    string
	Subject string
	// Change is the operator's change id.
	Change string
	// Code is the result, Revision the table's revision after it.
	Code     code.Code
	Revision uint64
}

// Audit receives each change and each refusal, in the order they were answered.
type Audit interface {
	Audit(ctx context.Context, r Record)
}

// Handler serves the Operator service. Set the fields, then mount it with Route.
type Handler struct {
	Leader Leader
	Audit  Audit
	// Name is the entry's own; a dump of that name or none is of this process.
	Name string
	// State returns what a dump of this process shows; it must hold no secrets.
	State func() any
	// Limits bounds the rate of calls by key.
	Limits Limits
}

// Route returns the path and the handler for an HTTP mux.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewOperatorHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequest))...)
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
	h.record(ctx, req.Header(), req.Peer().Addr, Record{
		Call: call, Subject: subject, Change: m.GetId(),
		Code: code.Code(out.GetStatus().GetCode()), Revision: out.GetRevision(),
	})
	return connect.NewResponse(out), nil
}

// Show forwards a read.
func (h *Handler) Show(ctx context.Context, req *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	ask := &v1.ShowRequest{Part: req.Msg.GetPart(), After: req.Msg.GetAfter(), Limit: req.Msg.GetLimit()}
	if ask.Limit == 0 || ask.Limit > MaxShow {
		ask.Limit = MaxShow
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
	h.record(ctx, req.Header(), req.Peer().Addr, Record{Call: "dump", Subject: req.Msg.GetProcess(), Code: code.Code(out.GetStatus().GetCode())})
	return connect.NewResponse(out), nil
}

func (h *Handler) dump(ctx context.Context, process string) *v1.DumpReply {
	if process != "" && process != h.Name {
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
	return &v1.DumpReply{Status: &v1.Status{}, Text: dump.Render(state, MaxDump)}
}

func (h *Handler) exchange(ctx context.Context, header http.Header, fault error, item *inner.Item) (*inner.Reply, *v1.Status) {
	cred, err := control.CredentialFromHeader(header)
	if err != nil {
		return nil, control.StatusFromError(err)
	}
	if !h.Limits.Allow(cred.GetId()) {
		return nil, control.NewStatus(code.LeaderTimeout, "too many calls with key %q; nothing was done", cred.GetId())
	}
	if fault != nil {
		return nil, control.StatusFromError(fault)
	}
	item.Credential = cred
	reply, status := control.Exchange(ctx, h.Leader, item, MaxAsk)
	return reply, control.StatusForNonSubmit(status)
}

func (h *Handler) record(ctx context.Context, header http.Header, peer string, r Record) {
	if h.Audit == nil {
		return
	}
	if cred, err := control.CredentialFromHeader(header); err == nil {
		r.Key = cred.GetId()
	}
	r.Peer = peer
	h.Audit.Audit(ctx, r)
}
