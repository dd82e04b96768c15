// Package drive submits the jobs of a load run at their times, whatever became
// of earlier ones, and checks every answer.
//
// The loop is open: a job's waits are counted from the time at which it was to
// arrive and not from when it was sent. A cell, or a load tool, that falls
// behind would otherwise hide the waits of all who queued up meanwhile
// (coordinated omission).
package drive

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/link"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/work"
)

const (
	// DefaultTail is how long outcomes are waited for after the last arrival.
	DefaultTail = 60 * time.Second
	// ackBatch and ackPause gather acknowledgements.
	ackBatch    = 500
	ackInterval = 200 * time.Millisecond
	ackTimeout  = 10 * time.Second
)

// JobResult is what became of one job. Times are from the start of the run; 0 when
// the step never came.
type JobResult struct {
	Job mix.Job
	// SentAt is when the request really left.
	SentAt     time.Duration
	AcceptedAt time.Duration
	AnsweredAt time.Duration
	Outcome    v1.Outcome
	Code       code.Code
	// AnswerMatches tells that the answer is the job's own, all of it.
	AnswerMatches bool
	// AnswerDamaged tells that there was an answer, but not that.
	AnswerDamaged bool
}

// Driver runs a plan. Set the fields, then call Run.
type Driver struct {
	Client *caller.Client
	Jobs   []mix.Job
	// Tail is how long outcomes are waited for after the last arrival.
	Tail time.Duration
	// ForeignServers tells that the backend servers are not the tool's own, so that
	// the content of answers is not known.
	ForeignServers bool
	// KeepOutcomes leaves outcomes unacknowledged.
	KeepOutcomes bool
	// Progress is called now and then; nil for none.
	Progress func(sent, ended int)

	start       time.Time
	endedJobs   atomic.Int64
	pendingAcks chan string
}

// Run submits everything and returns what became of it, in the order of the jobs.
func (d *Driver) Run(ctx context.Context) []JobResult {
	if d.Tail <= 0 {
		d.Tail = DefaultTail
	}
	results := make([]JobResult, len(d.Jobs))
	d.pendingAcks = make(chan string, len(d.Jobs))
	d.start = time.Now()
	lastArrival := time.Duration(0)
	if len(d.Jobs) > 0 {
		lastArrival = d.Jobs[len(d.Jobs)-1].ArrivesAt
	}
	ctx, cancel := context.WithDeadline(ctx, d.start.Add(lastArrival+d.Tail))
	defer cancel()
	var acks, jobs sync.WaitGroup
	acks.Go(d.acknowledge)
	for i := range d.Jobs {
		results[i].Job = d.Jobs[i]
		if !link.Sleep(ctx, time.Until(d.start.Add(d.Jobs[i].ArrivesAt))) {
			break
		}
		d.reportProgress(i)
		jobs.Go(func() {
			d.runJob(ctx, &results[i])
			d.endedJobs.Add(1)
		})
	}
	jobs.Wait()
	close(d.pendingAcks)
	acks.Wait()
	d.reportProgress(len(d.Jobs))
	return results
}

const progressInterval = 64

func (d *Driver) reportProgress(sent int) {
	if d.Progress != nil && (sent%progressInterval == 0 || sent == len(d.Jobs)) {
		d.Progress(sent, int(d.endedJobs.Load()))
	}
}

func (d *Driver) elapsed() time.Duration { return time.Since(d.start) }

// runJob takes a job from its submission to its answer.
func (d *Driver) runJob(ctx context.Context, result *JobResult) {
	spec := result.Job.Spec
	input := work.Input{ID: spec.GetId(), Runtime: result.Job.Runtime, AnswerBytes: result.Job.AnswerBytes}
	if result.Job.Kind == job.Service {
		input.Runtime = -1
	}
	spec.Input = input.Encode()
	result.SentAt = d.elapsed()
	accepted, err := d.Client.Submit(ctx, []*v1.Spec{spec}, true)
	if err != nil {
		result.Code = link.Refusal(err).Code
		return
	}
	result.Code, result.Outcome = code.Code(accepted[0].GetStatus().GetCode()), accepted[0].GetOutcome()
	if result.Code != code.OK || caller.Final(result.Outcome) && result.Outcome != v1.Outcome_OUTCOME_DONE {
		return
	}
	result.AcceptedAt = d.elapsed()
	if result.Job.Kind == job.Service {
		d.cancelService(ctx, result)
	}
	d.awaitAnswer(ctx, result)
}

// cancelService cancels a service once it has lived for its time.
func (d *Driver) cancelService(ctx context.Context, result *JobResult) {
	if link.Sleep(ctx, result.Job.Runtime) {
		_, _ = d.Client.Cancel(ctx, []string{result.Job.Spec.GetId()}, nil) // the outcome below tells whether it came through
	}
}

func (d *Driver) awaitAnswer(ctx context.Context, result *JobResult) {
	reply, err := d.Client.Wait(ctx, result.Job.Spec.GetId())
	if err != nil {
		result.Code = link.Refusal(err).Code
		// The outcome is known here, but what should be the answer is not whole.
		result.AnswerDamaged = reply.Outcome == v1.Outcome_OUTCOME_DONE
		result.Outcome = reply.Outcome
		return
	}
	result.Outcome, result.Code = reply.Outcome, reply.Code
	if !caller.Final(reply.Outcome) {
		return
	}
	result.AnsweredAt = d.elapsed()
	if reply.Outcome == v1.Outcome_OUTCOME_DONE && reply.Code == code.OK {
		result.AnswerMatches = d.ForeignServers || bytes.Equal(reply.Data, work.JobAnswer(result.Job.Spec.GetId(), result.Job.Spec.GetCount(), result.Job.AnswerBytes))
		result.AnswerDamaged = !result.AnswerMatches
	}
	if !d.KeepOutcomes {
		d.pendingAcks <- result.Job.Spec.GetId()
	}
}

// acknowledge lets the cell forget in batches what has been answered, as callers
// are meant to: the ledger would else grow with the length of the run.
func (d *Driver) acknowledge() {
	ticker := time.NewTicker(ackInterval)
	defer ticker.Stop()
	var ids []string
	send := func() {
		if len(ids) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
		defer cancel()
		_ = d.Client.Acknowledge(ctx, ids) // what stays unacknowledged ends with its retention
		ids = nil
	}
	for {
		select {
		case id, ok := <-d.pendingAcks:
			if !ok {
				send()
				return
			}
			if ids = append(ids, id); len(ids) >= ackBatch {
				send()
			}
		case <-ticker.C:
			send()
		}
	}
}
