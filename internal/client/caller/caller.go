// Package caller is the client of teams that submit work.
package caller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/answer"
)

// Defaults of the fields that are left zero.
const (
	DefaultMaxPollWait         = 5 * time.Second
	DefaultRetryUnreachableFor = 5 * time.Second
)

// Client submits jobs and collects their answers. Every call goes on, from entry
// to entry, until there is an answer or its context ends.
type Client struct {
	Transport *transport.Client
	// MaxPollWait is the length of a long poll.
	MaxPollWait time.Duration
	// RetryUnreachableFor is how long a job is submitted again that no entry could hand to
	// the leader: longer than an election, so that callers see none.
	RetryUnreachableFor time.Duration
}

// Result is the outcome of one job.
type Result struct {
	ID      string
	Outcome v1.Outcome
	Code    code.Code
	Text    string
	// Data is the whole answer; only when the outcome is done.
	Data []byte
}

// IsFinal tells whether an outcome never changes.
func IsFinal(o v1.Outcome) bool {
	return o == v1.Outcome_OUTCOME_DONE || o == v1.Outcome_OUTCOME_NOT_RUN || o == v1.Outcome_OUTCOME_UNKNOWN
}

func submit(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	return v1.NewCallerClient(c, base, opts...).Submit
}

func wait(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	return v1.NewCallerClient(c, base, opts...).Wait
}

func cancel(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
	return v1.NewCallerClient(c, base, opts...).Cancel
}

func list(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}

func acknowledge(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	return v1.NewCallerClient(c, base, opts...).Acknowledge
}

// Submit hands jobs over and returns one answer for each, in their order. Jobs
// without a final answer are asked for again with the same ids. Fresh says that
// the ids were never sent before.
//
// Only a try before which nothing can have reached the leader may claim to be
// fresh: after one without an answer the cell may hold the job already, and an
// entry that can't reach the leader would answer "not run" for a job that runs.
func (c *Client) Submit(ctx context.Context, jobs []*v1.Spec, fresh bool) ([]*v1.Accepted, error) {
	out := make([]*v1.Accepted, len(jobs))
	open := make([]int, len(jobs))
	for i := range jobs {
		open[i] = i
	}
	pause, persist := transport.NewBackoff(), time.Now().Add(c.persist())
	for {
		req := request(jobs, open, fresh)
		retry, err := c.attempt(ctx, req, open, out)
		if err != nil && !transport.IsRetryable(transport.AsCodeError(err).Code) {
			return nil, err
		}
		fresh = fresh && err == nil && untouched(out)
		open = unanswered(out, time.Now().Before(persist))
		if len(open) == 0 {
			return out, nil
		}
		if !transport.Sleep(ctx, max(retry, pause.NextBackOff())) {
			return finish(jobs, out, err), nil
		}
	}
}

func (c *Client) persist() time.Duration {
	if c.RetryUnreachableFor > 0 {
		return c.RetryUnreachableFor
	}
	return DefaultRetryUnreachableFor
}

// untouched tells whether every answer says that the request never left the
// entry. The next try may then claim to be the first as well, so that a refusal
// which comes at last still says for sure that nothing ran.
func untouched(out []*v1.Accepted) bool {
	for _, a := range out {
		if !unreachable(a) {
			return false
		}
	}
	return true
}

func unreachable(a *v1.Accepted) bool {
	return a.GetStatus().GetCode() == uint32(code.ControlUnreachable) && a.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN
}

func request(jobs []*v1.Spec, open []int, first bool) *v1.SubmitRequest {
	req := &v1.SubmitRequest{First: first}
	for _, i := range open {
		req.Jobs = append(req.Jobs, jobs[i])
	}
	return req
}

// attempt fills in what one call answered and returns how long the cell asks to wait.
func (c *Client) attempt(ctx context.Context, req *v1.SubmitRequest, open []int, out []*v1.Accepted) (time.Duration, error) {
	res, err := transport.TryOnce(ctx, c.Transport, submit, req)
	if err != nil {
		return 0, err
	}
	if len(res.GetJobs()) != len(open) {
		return 0, code.New(code.LeaderTimeout, "%d answers for %d jobs", len(res.GetJobs()), len(open))
	}
	var retry time.Duration
	for i, a := range res.GetJobs() {
		out[open[i]] = a
		retry = max(retry, time.Duration(a.GetStatus().GetRetry())*time.Millisecond)
	}
	if len(unanswered(out, true)) > 0 {
		c.Transport.NextEntry()
	}
	return retry, nil
}

// unanswered returns the places of the jobs to submit again.
func unanswered(out []*v1.Accepted, persist bool) []int {
	var open []int
	for i, a := range out {
		if a == nil || transport.IsRetryable(code.Code(a.GetStatus().GetCode())) || persist && unreachable(a) {
			open = append(open, i)
		}
	}
	return open
}

// finish marks as unanswered what is still open when the time is over.
func finish(jobs []*v1.Spec, out []*v1.Accepted, err error) []*v1.Accepted {
	text := "no answer in the time given"
	if err != nil {
		text = err.Error()
	}
	for i, a := range out {
		if a == nil {
			out[i] = &v1.Accepted{Id: jobs[i].GetId(), Status: &v1.Status{Code: uint32(code.LeaderTimeout), Text: text}}
		}
	}
	return out
}

// Wait returns the outcome of a job with its whole answer. When ctx ends first
// the result is not final and tells where the job stands.
func (c *Client) Wait(ctx context.Context, id string) (Result, error) {
	a := answer.Assembler{MaxBytes: answer.MaxJobAnswer}
	last := Result{ID: id}
	for {
		number, more := a.NextMissing()
		if !more {
			data, _, err := a.Assemble()
			if err != nil {
				return last, code.New(code.Internal, "%s: %v", id, err)
			}
			last.Data = data
			return last, nil
		}
		r, err := c.poll(ctx, id, number)
		switch {
		case err != nil && ctx.Err() != nil && last.Outcome == v1.Outcome_OUTCOME_DONE:
			// The time ran out between two chunks: a result without an error
			// would pass for a whole answer that is empty.
			return last, code.New(code.LeaderTimeout, "the answer of %s did not come whole in time", id)
		case err != nil && ctx.Err() != nil:
			return last, nil
		case err != nil:
			return last, err
		}
		last = Result{ID: id, Outcome: r.GetOutcome(), Code: code.Code(r.GetStatus().GetCode()), Text: transport.StatusError(r.GetStatus()).Detail}
		switch {
		case r.GetOutcome() == v1.Outcome_OUTCOME_DONE:
			if err := a.Add(r.GetChunk()); err != nil {
				return last, code.New(code.Internal, "%s: %v", id, err)
			}
		case IsFinal(r.GetOutcome()):
			return last, nil
		case last.Code != code.OK:
			return last, transport.StatusError(r.GetStatus())
		case ctx.Err() != nil:
			return last, nil
		}
	}
}

func (c *Client) poll(ctx context.Context, id string, number uint32) (*v1.WaitReply, error) {
	patience := c.MaxPollWait
	if patience <= 0 {
		patience = DefaultMaxPollWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, max(time.Until(deadline)/2, time.Millisecond))
	}
	req := &v1.WaitRequest{Id: id, Chunk: number, Patience: uint64(patience.Milliseconds())}
	return transport.Call(ctx, c.Transport, wait, req, (*v1.WaitReply).GetStatus)
}

// Cancel cancels the jobs named, or those that carry all of the labels, and
// returns how many it reached.
func (c *Client) Cancel(ctx context.Context, ids []string, labels map[string]string) (uint32, error) {
	r, err := transport.Call(ctx, c.Transport, cancel, &v1.CancelRequest{Ids: ids, Labels: labels}, (*v1.CancelReply).GetStatus)
	if err != nil {
		return 0, err
	}
	return r.GetCount(), refused(r.GetStatus())
}

// List returns a page of the team's jobs in the order of their ids.
func (c *Client) List(ctx context.Context, req *v1.ListRequest) ([]*v1.Summary, error) {
	r, err := transport.Call(ctx, c.Transport, list, req, (*v1.ListReply).GetStatus)
	if err != nil {
		return nil, err
	}
	return r.GetJobs(), refused(r.GetStatus())
}

// Acknowledge lets the cell forget the outcomes of the jobs named.
func (c *Client) Acknowledge(ctx context.Context, ids []string) error {
	r, err := transport.Call(ctx, c.Transport, acknowledge, &v1.AcknowledgeRequest{Ids: ids}, (*v1.AcknowledgeReply).GetStatus)
	if err != nil {
		return err
	}
	return refused(r.GetStatus())
}

func refused(s *v1.Status) error {
	if code.Code(s.GetCode()) != code.OK {
		return transport.StatusError(s)
	}
	return nil
}
