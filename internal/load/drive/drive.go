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
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/work"
)

const (
	// DefaultTail is how long outcomes are waited for after the last arrival.
	DefaultTail = 60 * time.Second
	// ackBatch and ackPause gather acknowledgements.
	ackBatch   = 500
	ackPause   = 200 * time.Millisecond
	ackTimeout = 10 * time.Second
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

	begin time.Time
	ended atomic.Int64
	acks  chan string
}

// Run submits everything and returns what became of it, in the order of the jobs.
func (d *Driver) Run(ctx context.Context) []JobResult {
	if d.Tail <= 0 {
		d.Tail = DefaultTail
	}
	out := make([]JobResult, len(d.Jobs))
	d.acks = make(chan string, len(d.Jobs))
	d.begin = time.Now()
	last := time.Duration(0)
	if len(d.Jobs) > 0 {
		last = d.Jobs[len(d.Jobs)-1].ArrivesAt
	}
	ctx, cancel := context.WithDeadline(ctx, d.begin.Add(last+d.Tail))
	defer cancel()
	var acks, jobs sync.WaitGroup
	acks.Go(d.acknowledge)
	for i := range d.Jobs {
		out[i].Job = d.Jobs[i]
		if !transport.Sleep(ctx, time.Until(d.begin.Add(d.Jobs[i].ArrivesAt))) {
			break
		}
		d.tell(i)
		jobs.Go(func() {
			d.one(ctx, &out[i])
			d.ended.Add(1)
		})
	}
	jobs.Wait()
	close(d.acks)
	acks.Wait()
	d.tell(len(d.Jobs))
	return out
}

const tellEvery = 64

func (d *Driver) tell(sent int) {
	if d.Progress != nil && (sent%tellEvery == 0 || sent == len(d.Jobs)) {
		d.Progress(sent, int(d.ended.Load()))
	}
}

func (d *Driver) since() time.Duration { return time.Since(d.begin) }

// one takes a job from its submission to its answer.
func (d *Driver) one(ctx context.Context, s *JobResult) {
	spec := s.Job.Spec
	in := work.Input{ID: spec.GetId(), Runtime: s.Job.Runtime, AnswerBytes: s.Job.AnswerBytes}
	if s.Job.Kind == job.Service {
		in.Runtime = -1
	}
	spec.Input = in.Encode()
	s.SentAt = d.since()
	got, err := d.Client.Submit(ctx, []*v1.Spec{spec}, true)
	if err != nil {
		s.Code = transport.AsCodeError(err).Code
		return
	}
	s.Code, s.Outcome = code.Code(got[0].GetStatus().GetCode()), got[0].GetOutcome()
	if s.Code != code.OK || caller.IsFinal(s.Outcome) && s.Outcome != v1.Outcome_OUTCOME_DONE {
		return
	}
	s.AcceptedAt = d.since()
	if s.Job.Kind == job.Service {
		d.retire(ctx, s)
	}
	d.collect(ctx, s)
}

// retire cancels a service once it has lived for its time.
func (d *Driver) retire(ctx context.Context, s *JobResult) {
	if transport.Sleep(ctx, s.Job.Runtime) {
		_, _ = d.Client.Cancel(ctx, []string{s.Job.Spec.GetId()}, nil) // the outcome below tells whether it came through
	}
}

func (d *Driver) collect(ctx context.Context, s *JobResult) {
	r, err := d.Client.Wait(ctx, s.Job.Spec.GetId())
	if err != nil {
		s.Code = transport.AsCodeError(err).Code
		// The outcome is known here, but what should be the answer is not whole.
		s.AnswerDamaged = r.Outcome == v1.Outcome_OUTCOME_DONE
		s.Outcome = r.Outcome
		return
	}
	s.Outcome, s.Code = r.Outcome, r.Code
	if !caller.IsFinal(r.Outcome) {
		return
	}
	s.AnsweredAt = d.since()
	if r.Outcome == v1.Outcome_OUTCOME_DONE && r.Code == code.OK {
		s.AnswerMatches = d.ForeignServers || bytes.Equal(r.Data, work.JobAnswer(s.Job.Spec.GetId(), s.Job.Spec.GetCount(), s.Job.AnswerBytes))
		s.AnswerDamaged = !s.AnswerMatches
	}
	if !d.KeepOutcomes {
		d.acks <- s.Job.Spec.GetId()
	}
}

// acknowledge lets the cell forget in batches what has been answered, as callers
// are meant to: the ledger would else grow with the length of the run.
func (d *Driver) acknowledge() {
	t := time.NewTicker(ackPause)
	defer t.Stop()
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
		case id, ok := <-d.acks:
			if !ok {
				send()
				return
			}
			if ids = append(ids, id); len(ids) >= ackBatch {
				send()
			}
		case <-t.C:
			send()
		}
	}
}
