// Package caller serves the callers of the cell: it checks bounds and forwards to the leader.
package caller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/control"
)

const (
	// MaxPollWait bounds a Wait.
	MaxPollWait = 10 * time.Second
	// RequestTimeout bounds every other call.
	RequestTimeout = 5 * time.Second
	// pollMargin is what a Wait may take beyond its patience.
	pollMargin = time.Second
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 4 << 20
)

// Handler serves the Caller service. Set the fields, then mount it with Route.
type Handler struct {
	Leader control.Sender
}

// Route returns the path and the handler for an HTTP mux.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewCallerHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Submit forwards the jobs that are within bounds and merges the answers in the request's order.
func (h *Handler) Submit(ctx context.Context, req *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	jobs := req.Msg.GetJobs()
	if len(jobs) == 0 || len(jobs) > MaxJobsPerSubmit {
		return nil, connect.NewError(connect.CodeInvalidArgument, code.New(code.Malformed, "1 to %d jobs at once", MaxJobsPerSubmit))
	}
	out := make([]*v1.Accepted, len(jobs))
	seen := make(map[string]bool, len(jobs))
	var good []*v1.Spec
	var places []int
	for i, spec := range jobs {
		out[i] = &v1.Accepted{Id: spec.GetId()}
		err := checkSpec(spec)
		if err == nil && seen[spec.GetId()] {
			err = code.New(code.Malformed, "id %q stands twice in one request", spec.GetId())
		}
		if err != nil {
			out[i].Status = control.StatusFromError(err)
			continue
		}
		seen[spec.GetId()] = true
		good, places = append(good, spec), append(places, i)
	}
	if len(good) > 0 {
		answers := h.submit(ctx, req.Header(), &v1.SubmitRequest{Jobs: good, First: req.Msg.GetFirst()})
		for i, a := range answers {
			out[places[i]] = a
		}
	}
	return connect.NewResponse(&v1.SubmitReply{Jobs: out}), nil
}

// submit returns one answer for each job of the request.
func (h *Handler) submit(ctx context.Context, header http.Header, req *v1.SubmitRequest) []*v1.Accepted {
	cred, err := control.CredentialFromHeader(header)
	if err != nil {
		return alike(req, control.StatusFromError(err), v1.Outcome_OUTCOME_UNSPECIFIED)
	}
	reply, status := control.Exchange(ctx, h.Leader, &inner.Item{Credential: cred, Ask: &inner.Item_Submit{Submit: req}}, RequestTimeout)
	if status != nil {
		return refused(req, status)
	}
	answers := reply.GetSubmit().GetJobs()
	if len(answers) != len(req.GetJobs()) {
		return alike(req, control.NewStatus(code.LeaderTimeout, "the answer does not fit the request"), v1.Outcome_OUTCOME_UNSPECIFIED)
	}
	return answers
}

// refused answers for the entry. It cannot know whether an earlier request with
// one of the ids got through elsewhere, so without the caller's word that this
// is the first it says unknown and never not run.
func refused(req *v1.SubmitRequest, s *v1.Status) []*v1.Accepted {
	switch c := code.Code(s.GetCode()); {
	case c != code.ControlUnreachable && c != code.Overloaded:
		return alike(req, s, v1.Outcome_OUTCOME_UNSPECIFIED)
	case req.GetFirst():
		return alike(req, s, v1.Outcome_OUTCOME_NOT_RUN)
	}
	return alike(req, &v1.Status{Code: uint32(code.LeaderTimeout), Text: s.GetText(), Retry: s.GetRetry()}, v1.Outcome_OUTCOME_UNSPECIFIED)
}

func alike(req *v1.SubmitRequest, s *v1.Status, o v1.Outcome) []*v1.Accepted {
	out := make([]*v1.Accepted, len(req.GetJobs()))
	for i, spec := range req.GetJobs() {
		out[i] = &v1.Accepted{Id: spec.GetId(), Status: s, Outcome: o}
	}
	return out
}

// Wait forwards a long poll; it may be resumed at any entry by the job's id.
func (h *Handler) Wait(ctx context.Context, req *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	m := req.Msg
	patience := min(time.Duration(min(m.GetPatience(), uint64(MaxPollWait.Milliseconds())))*time.Millisecond, MaxPollWait)
	ask := &v1.WaitRequest{Id: m.GetId(), Chunk: m.GetChunk(), Patience: uint64(patience.Milliseconds())}
	reply, status := h.exchange(ctx, req.Header(), checkID(m.GetId()), &inner.Item{Ask: &inner.Item_Wait{Wait: ask}}, patience+pollMargin)
	if status != nil {
		return connect.NewResponse(&v1.WaitReply{Id: m.GetId(), Status: status}), nil
	}
	return connect.NewResponse(reply.GetWait()), nil
}

// Cancel forwards a cancellation by ids or by labels.
func (h *Handler) Cancel(ctx context.Context, req *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
	reply, status := h.exchange(ctx, req.Header(), checkCancel(req.Msg), &inner.Item{Ask: &inner.Item_Cancel{Cancel: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.CancelReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetCancel()), nil
}

// List forwards a request for the states of the team's jobs.
func (h *Handler) List(ctx context.Context, req *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	m := req.Msg
	limit := m.GetLimit()
	if limit == 0 || limit > MaxListedJobs {
		limit = MaxListedJobs
	}
	ask := &v1.ListRequest{Ids: m.GetIds(), After: m.GetAfter(), Limit: limit}
	reply, status := h.exchange(ctx, req.Header(), checkIDs(m.GetIds()), &inner.Item{Ask: &inner.Item_List{List: ask}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.ListReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetList()), nil
}

// Acknowledge forwards the word that outcomes may be forgotten.
func (h *Handler) Acknowledge(ctx context.Context, req *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	reply, status := h.exchange(ctx, req.Header(), checkIDs(req.Msg.GetIds()), &inner.Item{Ask: &inner.Item_Acknowledge{Acknowledge: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.AcknowledgeReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetAcknowledge()), nil
}

// exchange forwards an item under the caller's key unless its check failed.
func (h *Handler) exchange(ctx context.Context, header http.Header, fault error, item *inner.Item, bound time.Duration) (*inner.Reply, *v1.Status) {
	if fault != nil {
		return nil, control.StatusFromError(fault)
	}
	cred, err := control.CredentialFromHeader(header)
	if err != nil {
		return nil, control.StatusFromError(err)
	}
	item.Credential = cred
	reply, status := control.Exchange(ctx, h.Leader, item, bound)
	return reply, control.StatusForNonSubmit(status)
}
