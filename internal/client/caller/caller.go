// Package caller is the client with which teams submit jobs.
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

// Defaults of Client fields.
const (
	DefaultMaxPollWait         = 5 * time.Second
	DefaultRetryUnreachableFor = 5 * time.Second
)

// Client submits jobs and retrieves their answers. Every call is retried, at one entry
// after the other, until it is answered or its context ends.
type Client struct {
	// Transport sends the calls to the entries.
	Transport *transport.Client
	// MaxPollWait is the maximum duration of a long poll; 0 means DefaultMaxPollWait.
	MaxPollWait time.Duration
	// RetryUnreachableFor is how long Submit retries a job that no entry could pass to
	// the leader; 0 means DefaultRetryUnreachableFor. It should exceed the duration of
	// an election, so that an election is not visible to callers.
	RetryUnreachableFor time.Duration
}

// Result is the outcome of one job.
type Result struct {
	ID      string
	Outcome v1.Outcome
	Code    code.Code
	Text    string
	// Data is the complete answer. It is set only if the outcome is done.
	Data []byte
}

// IsFinal reports whether an outcome can no longer change.
func IsFinal(o v1.Outcome) bool {
	return o == v1.Outcome_OUTCOME_DONE || o == v1.Outcome_OUTCOME_NOT_RUN || o == v1.Outcome_OUTCOME_UNKNOWN
}

func submitMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	return v1.NewCallerClient(c, base, opts...).Submit
}

func waitMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	return v1.NewCallerClient(c, base, opts...).Wait
}

func cancelMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelReply], error) {
	return v1.NewCallerClient(c, base, opts...).Cancel
}

func listMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}

func acknowledgeMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	return v1.NewCallerClient(c, base, opts...).Acknowledge
}

// Submit submits jobs and returns one reply for each, in the same order. It submits
// jobs without a final reply again with the same ids. firstAttempt is true if the ids
// were never sent before.
//
// A retry may set firstAttempt only if no earlier attempt can have reached the leader.
// After an attempt without an answer the cell may already have the job. An entry that
// cannot reach the leader would then answer "not run" for a job that runs.
func (c *Client) Submit(ctx context.Context, jobs []*v1.Spec, firstAttempt bool) ([]*v1.Accepted, error) {
	replies := make([]*v1.Accepted, len(jobs))
	pending := make([]int, len(jobs))
	for i := range jobs {
		pending[i] = i
	}
	retryBackoff, unreachableDeadline := transport.NewBackoff(), time.Now().Add(c.retryUnreachableFor())
	for {
		req := newSubmitRequest(jobs, pending, firstAttempt)
		retryAfter, err := c.attempt(ctx, req, pending, replies)
		if err != nil && !transport.IsRetryable(transport.AsCodeError(err).Code) {
			return nil, err
		}
		firstAttempt = firstAttempt && err == nil && allNeverSent(replies)
		pending = jobsToRetry(replies, time.Now().Before(unreachableDeadline))
		if len(pending) == 0 {
			return replies, nil
		}
		if !transport.Sleep(ctx, max(retryAfter, retryBackoff.NextBackOff())) {
			return markUnanswered(jobs, replies, err), nil
		}
	}
}

func (c *Client) retryUnreachableFor() time.Duration {
	if c.RetryUnreachableFor > 0 {
		return c.RetryUnreachableFor
	}
	return DefaultRetryUnreachableFor
}

// allNeverSent reports whether every reply states that the job never left the entry.
// The next attempt may then count as the first one, so that a final refusal still
// proves that nothing ran.
func allNeverSent(replies []*v1.Accepted) bool {
	for _, reply := range replies {
		if !neverSent(reply) {
			return false
		}
	}
	return true
}

func neverSent(reply *v1.Accepted) bool {
	return reply.GetStatus().GetCode() == uint32(code.ControlUnreachable) && reply.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN
}

func newSubmitRequest(jobs []*v1.Spec, pending []int, firstAttempt bool) *v1.SubmitRequest {
	req := &v1.SubmitRequest{First: firstAttempt}
	for _, i := range pending {
		req.Jobs = append(req.Jobs, jobs[i])
	}
	return req
}

// attempt makes one call, stores the replies of the pending jobs and returns the delay
// that the cell requests before a retry.
func (c *Client) attempt(ctx context.Context, req *v1.SubmitRequest, pending []int, replies []*v1.Accepted) (time.Duration, error) {
	submitReply, err := transport.TryOnce(ctx, c.Transport, submitMethod, req)
	if err != nil {
		return 0, err
	}
	if len(submitReply.GetJobs()) != len(pending) {
		return 0, code.New(code.LeaderTimeout, "received %d replies for %d jobs", len(submitReply.GetJobs()), len(pending))
	}
	var retryAfter time.Duration
	for i, reply := range submitReply.GetJobs() {
		replies[pending[i]] = reply
		retryAfter = max(retryAfter, time.Duration(reply.GetStatus().GetRetry())*time.Millisecond)
	}
	if len(jobsToRetry(replies, true)) > 0 {
		c.Transport.NextEntry()
	}
	return retryAfter, nil
}

// jobsToRetry returns the indexes of the jobs to submit again.
func jobsToRetry(replies []*v1.Accepted, retryNeverSent bool) []int {
	var pending []int
	for i, reply := range replies {
		if reply == nil || transport.IsRetryable(code.Code(reply.GetStatus().GetCode())) || retryNeverSent && neverSent(reply) {
			pending = append(pending, i)
		}
	}
	return pending
}

// markUnanswered sets the code LeaderTimeout for jobs that have no reply when ctx ends.
func markUnanswered(jobs []*v1.Spec, replies []*v1.Accepted, err error) []*v1.Accepted {
	detail := "no answer before the deadline"
	if err != nil {
		detail = err.Error()
	}
	for i, reply := range replies {
		if reply == nil {
			replies[i] = &v1.Accepted{Id: jobs[i].GetId(), Status: &v1.Status{Code: uint32(code.LeaderTimeout), Text: detail}}
		}
	}
	return replies
}

// Wait returns the outcome of a job with its complete answer. If ctx ends before the
// job does, the result holds the last known outcome, which is not final.
func (c *Client) Wait(ctx context.Context, id string) (Result, error) {
	assembler := answer.Assembler{MaxBytes: answer.MaxJobAnswer}
	result := Result{ID: id}
	for {
		chunkNumber, missing := assembler.NextMissing()
		if !missing {
			data, _, err := assembler.Assemble()
			if err != nil {
				return result, code.New(code.Internal, "%s: %v", id, err)
			}
			result.Data = data
			return result, nil
		}
		reply, err := c.poll(ctx, id, chunkNumber)
		switch {
		case err != nil && ctx.Err() != nil && result.Outcome == v1.Outcome_OUTCOME_DONE:
			// ctx ended between two chunks. Without an error the result would
			// look like a complete but empty answer.
			return result, code.New(code.LeaderTimeout, "the answer of %s was not received completely in time", id)
		case err != nil && ctx.Err() != nil:
			return result, nil
		case err != nil:
			return result, err
		}
		result = Result{ID: id, Outcome: reply.GetOutcome(), Code: code.Code(reply.GetStatus().GetCode()), Text: transport.StatusError(reply.GetStatus()).Detail}
		switch {
		case reply.GetOutcome() == v1.Outcome_OUTCOME_DONE:
			if err := assembler.Add(reply.GetChunk()); err != nil {
				return result, code.New(code.Internal, "%s: %v", id, err)
			}
		case IsFinal(reply.GetOutcome()):
			return result, nil
		case result.Code != code.OK:
			return result, transport.StatusError(reply.GetStatus())
		case ctx.Err() != nil:
			return result, nil
		}
	}
}

func (c *Client) poll(ctx context.Context, id string, chunkNumber uint32) (*v1.WaitReply, error) {
	pollWait := c.MaxPollWait
	if pollWait <= 0 {
		pollWait = DefaultMaxPollWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		pollWait = min(pollWait, max(time.Until(deadline)/2, time.Millisecond))
	}
	req := &v1.WaitRequest{Id: id, Chunk: chunkNumber, Patience: uint64(pollWait.Milliseconds())}
	return transport.Call(ctx, c.Transport, waitMethod, req, (*v1.WaitReply).GetStatus)
}

// Cancel cancels the jobs with the given ids, or those that have all of the labels. It
// returns the number of jobs that the cancellation reached.
func (c *Client) Cancel(ctx context.Context, ids []string, labels map[string]string) (uint32, error) {
	reply, err := transport.Call(ctx, c.Transport, cancelMethod, &v1.CancelRequest{Ids: ids, Labels: labels}, (*v1.CancelReply).GetStatus)
	if err != nil {
		return 0, err
	}
	return reply.GetCount(), statusError(reply.GetStatus())
}

// List returns a page of the team's jobs, sorted by id.
func (c *Client) List(ctx context.Context, req *v1.ListRequest) ([]*v1.Summary, error) {
	reply, err := transport.Call(ctx, c.Transport, listMethod, req, (*v1.ListReply).GetStatus)
	if err != nil {
		return nil, err
	}
	return reply.GetJobs(), statusError(reply.GetStatus())
}

// Acknowledge allows the cell to delete the outcomes of the given jobs.
func (c *Client) Acknowledge(ctx context.Context, ids []string) error {
	reply, err := transport.Call(ctx, c.Transport, acknowledgeMethod, &v1.AcknowledgeRequest{Ids: ids}, (*v1.AcknowledgeReply).GetStatus)
	if err != nil {
		return err
	}
	return statusError(reply.GetStatus())
}

func statusError(s *v1.Status) error {
	if code.Code(s.GetCode()) != code.OK {
		return transport.StatusError(s)
	}
	return nil
}
