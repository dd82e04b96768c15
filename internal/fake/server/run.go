package server

import (
	"context"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/answer"
)

// Task identifies a task by its job and its index in the job.
type Task struct {
	Job   uint64
	Index uint32
}

// Attempt identifies one placement of a task.
type Attempt struct {
	Task
	Number uint32
}

func attemptFromMessage(a *v1.Attempt) Attempt {
	return Attempt{Task{a.GetJob(), a.GetTask()}, a.GetNumber()}
}

func (a Attempt) toMessage() *v1.Attempt {
	return &v1.Attempt{Job: a.Job, Task: a.Index, Number: a.Number}
}

// run is one attempt on this server.
type run struct {
	attempt    Attempt
	phase      v1.Phase
	size       *v1.Size
	startedAt  time.Time
	cancel     context.CancelFunc
	exitCode   int32
	chunks     []*v1.Chunk
	nextChunk  int
	throttled  bool
	checkpoint []byte
}

// syncRequest returns a Sync request that reports all attempts on this server. The
// caller holds mu.
func (s *Server) syncRequest(number uint64) *v1.SyncRequest {
	req := &v1.SyncRequest{
		Server: s.Name, Incarnation: s.incarnation, Number: number,
		Patience: uint64(s.sessionPollWait.Milliseconds()),
	}
	byteBudget := maxChunkBytes
	for _, r := range s.runs {
		report := &v1.Report{Attempt: r.attempt.toMessage(), Phase: r.phase, Used: r.size, Started: !r.startedAt.IsZero()}
		switch r.phase {
		case v1.Phase_PHASE_ENDED:
			report.Exit = r.exitCode
			report.Chunks = r.nextChunks(&byteBudget)
		case v1.Phase_PHASE_SAVED:
			report.Checkpoint = r.checkpoint
		}
		// More chunks wait to be sent, so the entry must not hold this request open.
		if len(report.Chunks) < len(r.chunks) {
			req.Patience = 0
		}
		req.Reports = append(req.Reports, report)
	}
	return req
}

// nextChunks returns the next chunks of the answer that fit into byteBudget. It cycles
// through the chunks, which are sent again until the cell confirms all of them.
func (r *run) nextChunks(byteBudget *int) []*v1.Chunk {
	var out []*v1.Chunk
	for range r.chunks {
		c := r.chunks[r.nextChunk%len(r.chunks)]
		if len(c.GetData()) > *byteBudget {
			break
		}
		*byteBudget -= len(c.GetData())
		out = append(out, c)
		r.nextChunk++
	}
	return out
}

// applyReply applies the lease and the orders of a Sync reply.
func (s *Server) applyReply(reply *v1.SyncReply, sentAt time.Time) {
	s.lock()
	defer s.mu.Unlock()
	// A reply to an older request may carry orders that were withdrawn since.
	if reply.GetNumber() != s.syncNumber {
		return
	}
	// The lease may have expired during a pause. Tasks that ran under it stop before the
	// new lease applies.
	s.stopIfLeaseExpired()
	if reply.GetLease() > 0 {
		s.renewLease(sentAt.Add(time.Duration(reply.GetLease()) * time.Millisecond))
	}
	for _, o := range reply.GetOrders() {
		s.applyOrder(o)
	}
}

// renewLease extends the lease to end and restarts the lease timer. The caller holds mu.
func (s *Server) renewLease(end time.Time) {
	if !end.After(*s.leaseEnd.Load()) {
		return
	}
	s.leaseEnd.Store(&end)
	if s.leaseTimer == nil {
		s.leaseTimer = time.AfterFunc(time.Until(end), s.onLeaseTimer)
		return
	}
	s.leaseTimer.Reset(time.Until(end))
}

// onLeaseTimer stops all tasks when the lease expires, even if the cell is unreachable.
func (s *Server) onLeaseTimer() {
	s.lock()
	defer s.mu.Unlock()
	s.stopIfLeaseExpired()
}

// leaseValid reports whether the lease has not expired.
func (s *Server) leaseValid() bool { return time.Now().Before(*s.leaseEnd.Load()) }

// stopIfLeaseExpired stops all tasks if the lease has expired. The caller holds mu.
func (s *Server) stopIfLeaseExpired() {
	if !s.leaseValid() {
		s.stopAll()
	}
}

// stopAll stops all running tasks. The caller holds mu.
func (s *Server) stopAll() {
	for _, r := range s.runs {
		s.stop(r, v1.Phase_PHASE_STOPPED)
	}
}

// stop ends a running attempt and sets its phase. The caller holds mu.
func (s *Server) stop(r *run, phase v1.Phase) {
	if r.phase != v1.Phase_PHASE_RUNNING {
		return
	}
	r.cancel()
	r.phase = phase
	s.Recorder.recordStop(s, r.attempt)
	s.triggerSync()
}

// applyOrder carries out one order. The caller holds mu.
func (s *Server) applyOrder(o *v1.Order) {
	a := attemptFromMessage(o.GetAttempt())
	r := s.runs[a]
	switch o.GetVerb() {
	case v1.Verb_VERB_START:
		s.start(a, o)
	case v1.Verb_VERB_STOP:
		if r != nil {
			s.stop(r, v1.Phase_PHASE_STOPPED)
			return
		}
		// The stop order arrived before the start order, which must be ignored later.
		s.seenAttempts[a] = struct{}{}
		s.runs[a] = &run{attempt: a, phase: v1.Phase_PHASE_STOPPED}
		s.triggerSync()
	case v1.Verb_VERB_CHECKPOINT:
		if r != nil {
			r.checkpoint = addRunTime(r.checkpoint, time.Since(r.startedAt))
			s.stop(r, v1.Phase_PHASE_SAVED)
		}
	case v1.Verb_VERB_THROTTLE:
		if r != nil {
			r.throttled = true
		}
	case v1.Verb_VERB_FORGET:
		if r != nil && r.phase != v1.Phase_PHASE_RUNNING {
			delete(s.runs, a)
		}
	}
}

// start starts an attempt if the lease is valid and the attempt is new. The caller
// holds mu.
func (s *Server) start(a Attempt, o *v1.Order) {
	if _, ok := s.seenAttempts[a]; ok {
		return
	}
	if !s.leaseValid() {
		return
	}
	s.seenAttempts[a] = struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{attempt: a, phase: v1.Phase_PHASE_RUNNING, size: o.GetSize(), startedAt: time.Now(), cancel: cancel, checkpoint: o.GetCheckpoint()}
	s.runs[a] = r
	s.Recorder.recordStart(s, a)
	s.triggerSync()
	go func() {
		defer cancel()
		result := s.RunTask(ctx, o)
		s.finish(r, result)
	}()
}

// finish stores the result of an attempt that ended without being stopped.
func (s *Server) finish(r *run, result Result) {
	s.lock()
	defer s.mu.Unlock()
	// After a pause the lease timer may be late. A result after the lease's end does not count.
	s.stopIfLeaseExpired()
	if r.phase != v1.Phase_PHASE_RUNNING {
		return
	}
	if result.Crash {
		s.resetSession()
		return
	}
	s.stop(r, v1.Phase_PHASE_ENDED)
	r.exitCode = result.ExitCode
	r.chunks = answer.Split(result.Answer)
}
