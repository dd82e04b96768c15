// Package drive submits the jobs of a load run at their scheduled times and checks
// every answer.
// The load is open-loop: a job is sent at its arrival time even if earlier jobs are
// unanswered. Its waits are measured from the arrival time. Measuring from the send time
// would hide the queueing delay when the cell or the load tool is overloaded
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
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/work"
)

const (
	// DefaultOutcomeTimeout is how long the driver waits for outcomes after the last arrival.
	DefaultOutcomeTimeout = 60 * time.Second
	// Acknowledgements are sent in batches of at most ackBatch jobs, at least every
	// ackInterval.
	ackBatch    = 500
	ackInterval = 200 * time.Millisecond
	ackTimeout  = 10 * time.Second
)

// JobResult holds the result of one job. Times are relative to the start of the run; 0
// means that the step did not happen.
type JobResult struct {
	Job mix.Job
	// SentAt is when the submission was sent, which may be later than the arrival.
	SentAt     time.Duration
	AcceptedAt time.Duration
	AnsweredAt time.Duration
	Outcome    v1.Outcome
	Code       code.Code
	// AnswerMatches is true if the complete answer equals the expected one.
	AnswerMatches bool
	// AnswerDamaged is true if the job is done but its answer is incomplete or wrong.
	AnswerDamaged bool
}

// Driver submits the jobs of a load run. Set the exported fields, then call Run.
type Driver struct {
	Client *caller.Client
	Jobs   []mix.Job
	// OutcomeTimeout is how long the driver waits for outcomes after the last arrival.
	OutcomeTimeout time.Duration
	// ForeignServers is true if the backend servers do not belong to the load tool. The
	// expected answers are then unknown and not compared.
	ForeignServers bool
	// KeepOutcomes disables the acknowledgement of outcomes, so that the cell keeps
	// them.
	KeepOutcomes bool
	// Progress is called with the numbers of sent and ended jobs every progressInterval
	// jobs and at the end. It may be nil.
	Progress func(sent, ended int)

	start       time.Time
	endedJobs   atomic.Int64
	pendingAcks chan string
}

// Run submits all jobs and returns their results in the order of the jobs.
func (d *Driver) Run(ctx context.Context) []JobResult {
	if d.OutcomeTimeout <= 0 {
		d.OutcomeTimeout = DefaultOutcomeTimeout
	}
	results := make([]JobResult, len(d.Jobs))
	d.pendingAcks = make(chan string, len(d.Jobs))
	d.start = time.Now()
	lastArrival := time.Duration(0)
	if len(d.Jobs) > 0 {
		lastArrival = d.Jobs[len(d.Jobs)-1].ArrivesAt
	}
	ctx, cancel := context.WithDeadline(ctx, d.start.Add(lastArrival+d.OutcomeTimeout))
	defer cancel()
	var ackGroup, jobGroup sync.WaitGroup
	ackGroup.Go(d.acknowledge)
	for i := range d.Jobs {
		results[i].Job = d.Jobs[i]
		if !transport.Sleep(ctx, time.Until(d.start.Add(d.Jobs[i].ArrivesAt))) {
			break
		}
		d.reportProgress(i)
		jobGroup.Go(func() {
			d.runJob(ctx, &results[i])
			d.endedJobs.Add(1)
		})
	}
	jobGroup.Wait()
	close(d.pendingAcks)
	ackGroup.Wait()
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

// runJob submits one job and waits for its answer.
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
		result.Code = transport.AsCodeError(err).Code
		return
	}
	result.Code, result.Outcome = code.Code(accepted[0].GetStatus().GetCode()), accepted[0].GetOutcome()
	if result.Code != code.OK || caller.IsFinal(result.Outcome) && result.Outcome != v1.Outcome_OUTCOME_DONE {
		return
	}
	result.AcceptedAt = d.elapsed()
	if result.Job.Kind == job.Service {
		d.cancelService(ctx, result)
	}
	d.awaitAnswer(ctx, result)
}

// cancelService cancels a service after its run time.
func (d *Driver) cancelService(ctx context.Context, result *JobResult) {
	if transport.Sleep(ctx, result.Job.Runtime) {
		_, _ = d.Client.Cancel(ctx, []string{result.Job.Spec.GetId()}, nil) // a failed call shows in the outcome that is collected next
	}
}

func (d *Driver) awaitAnswer(ctx context.Context, result *JobResult) {
	reply, err := d.Client.Wait(ctx, result.Job.Spec.GetId())
	if err != nil {
		result.Code = transport.AsCodeError(err).Code
		// The job is done, but its answer could not be read completely.
		result.AnswerDamaged = reply.Outcome == v1.Outcome_OUTCOME_DONE
		result.Outcome = reply.Outcome
		return
	}
	result.Outcome, result.Code = reply.Outcome, reply.Code
	if !caller.IsFinal(reply.Outcome) {
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

// acknowledge acknowledges finished jobs in batches, so that the cell can delete their
// outcomes. Without acknowledgements the ledger would grow with the length of the run.
func (d *Driver) acknowledge() {
	ticker := time.NewTicker(ackInterval)
	defer ticker.Stop()
	var ids []string
	sendBatch := func() {
		if len(ids) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
		defer cancel()
		_ = d.Client.Acknowledge(ctx, ids) // the cell deletes unacknowledged outcomes after their retention time
		ids = nil
	}
	for {
		select {
		case id, ok := <-d.pendingAcks:
			if !ok {
				sendBatch()
				return
			}
			if ids = append(ids, id); len(ids) >= ackBatch {
				sendBatch()
			}
		case <-ticker.C:
			sendBatch()
		}
	}
}
