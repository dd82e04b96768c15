// Package caller implements the Caller service of an entry. It checks the
// requests of teams against the limits and forwards them to the leader.
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
	// MaxPollWait bounds the long poll of a Wait.
	MaxPollWait = 10 * time.Second
	// RequestTimeout bounds every call except Wait.
	RequestTimeout = 5 * time.Second
	// pollMargin is the time added to the poll wait of a Wait for the exchange with the leader.
	pollMargin = time.Second
	// MaxRequestSize bounds the size of a request in bytes.
	MaxRequestSize = 4 << 20
)

// Handler implements the Caller service. Set the fields, then mount it with Route.
type Handler struct {
	Leader control.Sender
}

// Route returns the URL path of the service and its HTTP handler.
func (h *Handler) Route(opts ...connect.HandlerOption) (string, http.Handler) {
	return v1.NewCallerHandler(h, append(opts, connect.WithReadMaxBytes(MaxRequestSize))...)
}

// Submit forwards the valid jobs to the leader and returns one answer for each
// job, in the order of the request.
func (h *Handler) Submit(ctx context.Context, req *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	jobs := req.Msg.GetJobs()
	if len(jobs) == 0 || len(jobs) > MaxJobsPerSubmit {
		return nil, connect.NewError(connect.CodeInvalidArgument, code.New(code.Malformed, "the request has %d jobs, 1 to %d are allowed", len(jobs), MaxJobsPerSubmit))
	}
	results := make([]*v1.Accepted, len(jobs))
	seenIDs := make(map[string]bool, len(jobs))
	var validJobs []*v1.Spec
	var positions []int
	for i, spec := range jobs {
		results[i] = &v1.Accepted{Id: spec.GetId()}
		err := checkSpec(spec)
		if err == nil && seenIDs[spec.GetId()] {
			err = code.New(code.Malformed, "id %q occurs twice in one request", spec.GetId())
		}
		if err != nil {
			results[i].Status = control.StatusFromError(err)
			continue
		}
		seenIDs[spec.GetId()] = true
		validJobs, positions = append(validJobs, spec), append(positions, i)
	}
	if len(validJobs) > 0 {
		answers := h.forwardJobs(ctx, req.Header(), &v1.SubmitRequest{Jobs: validJobs, First: req.Msg.GetFirst()})
		for i, a := range answers {
			results[positions[i]] = a
		}
	}
	return connect.NewResponse(&v1.SubmitReply{Jobs: results}), nil
}

// forwardJobs sends the jobs to the leader and returns one answer for each of them.
func (h *Handler) forwardJobs(ctx context.Context, header http.Header, req *v1.SubmitRequest) []*v1.Accepted {
	credential, err := control.CredentialFromHeader(header)
	if err != nil {
		return answerAll(req, control.StatusFromError(err), v1.Outcome_OUTCOME_UNSPECIFIED)
	}
	reply, status := control.Exchange(ctx, h.Leader, &inner.Item{Credential: credential, Ask: &inner.Item_Submit{Submit: req}}, RequestTimeout)
	if status != nil {
		return refuseJobs(req, status)
	}
	answers := reply.GetSubmit().GetJobs()
	if len(answers) != len(req.GetJobs()) {
		return answerAll(req, control.NewStatus(code.LeaderTimeout, "the leader answered for %d of %d jobs", len(answers), len(req.GetJobs())), v1.Outcome_OUTCOME_UNSPECIFIED)
	}
	return answers
}

// refuseJobs returns the answers for jobs that the entry could not forward. An
// earlier request with the same ids may have been accepted at another entry, so
// the outcome is "not run" only if the caller states that this is the first
// request. Otherwise the outcome is unknown.
func refuseJobs(req *v1.SubmitRequest, s *v1.Status) []*v1.Accepted {
	switch c := code.Code(s.GetCode()); {
	case c != code.ControlUnreachable && c != code.Overloaded:
		return answerAll(req, s, v1.Outcome_OUTCOME_UNSPECIFIED)
	case req.GetFirst():
		return answerAll(req, s, v1.Outcome_OUTCOME_NOT_RUN)
	}
	return answerAll(req, &v1.Status{Code: uint32(code.LeaderTimeout), Text: s.GetText(), Retry: s.GetRetry()}, v1.Outcome_OUTCOME_UNSPECIFIED)
}

// answerAll returns the same status and outcome for every job of the request.
func answerAll(req *v1.SubmitRequest, s *v1.Status, o v1.Outcome) []*v1.Accepted {
	answers := make([]*v1.Accepted, len(req.GetJobs()))
	for i, spec := range req.GetJobs() {
		answers[i] = &v1.Accepted{Id: spec.GetId(), Status: s, Outcome: o}
	}
	return answers
}

// Wait forwards a bounded long poll for a job. The caller may continue it at any
// entry with the same job id.
func (h *Handler) Wait(ctx context.Context, req *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	m := req.Msg
	pollWait := min(time.Duration(min(m.GetPatience(), uint64(MaxPollWait.Milliseconds())))*time.Millisecond, MaxPollWait)
	forwarded := &v1.WaitRequest{Id: m.GetId(), Chunk: m.GetChunk(), Patience: uint64(pollWait.Milliseconds())}
	reply, status := h.forward(ctx, req.Header(), checkID(m.GetId()), &inner.Item{Ask: &inner.Item_Wait{Wait: forwarded}}, pollWait+pollMargin)
	if status != nil {
		return connect.NewResponse(&v1.WaitReply{Id: m.GetId(), Status: status}), nil
	}
	return connect.NewResponse(reply.GetWait()), nil
}

// Cancel forwards a request to cancel jobs by id or by label.
func (h *Handler) Cancel(ctx context.Context, req *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
	reply, status := h.forward(ctx, req.Header(), checkCancel(req.Msg), &inner.Item{Ask: &inner.Item_Cancel{Cancel: req.Msg}}, RequestTimeout)
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
	forwarded := &v1.ListRequest{Ids: m.GetIds(), After: m.GetAfter(), Limit: limit}
	reply, status := h.forward(ctx, req.Header(), checkIDs(m.GetIds()), &inner.Item{Ask: &inner.Item_List{List: forwarded}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.ListReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetList()), nil
}

// Acknowledge forwards the notice that the cell may delete the outcomes of the jobs named.
func (h *Handler) Acknowledge(ctx context.Context, req *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	reply, status := h.forward(ctx, req.Header(), checkIDs(req.Msg.GetIds()), &inner.Item{Ask: &inner.Item_Acknowledge{Acknowledge: req.Msg}}, RequestTimeout)
	if status != nil {
		return connect.NewResponse(&v1.AcknowledgeReply{Status: status}), nil
	}
	return connect.NewResponse(reply.GetAcknowledge()), nil
}

// forward sends an item with the caller's key to the leader, unless validation
// of the request failed.
func (h *Handler) forward(ctx context.Context, header http.Header, validationErr error, item *inner.Item, timeout time.Duration) (*inner.Reply, *v1.Status) {
	if validationErr != nil {
		return nil, control.StatusFromError(validationErr)
	}
	credential, err := control.CredentialFromHeader(header)
	if err != nil {
		return nil, control.StatusFromError(err)
	}
	item.Credential = credential
	reply, status := control.Exchange(ctx, h.Leader, item, timeout)
	return reply, control.StatusForNonSubmit(status)
}
