package server

import (
	"context"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/answer"
)

// Task names a task.
type Task struct {
	Job   uint64
	Index uint32
}

// Attempt names one placement of a task.
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

// syncRequest returns the Sync request with everything held. The caller holds mu.
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
		// More pieces are waiting: the cell should not hold this request.
		if len(report.Chunks) < len(r.chunks) {
			req.Patience = 0
		}
		req.Reports = append(req.Reports, report)
	}
	return req
}

// nextChunks returns the next pieces of the answer that fit into room. Pieces come
// round again until the cell says that it has them all.
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

// applyReply takes the lease and the orders of an answer.
func (s *Server) applyReply(reply *v1.SyncReply, sentAt time.Time) {
	s.lock()
	defer s.mu.Unlock()
	// An answer to an older request may carry orders that were taken back since.
	if reply.GetNumber() != s.syncNumber {
		return
	}
	// A pause may have outlasted the lease: what ran under it stops before the new one counts.
	s.stopIfLeaseExpired()
	if reply.GetLease() > 0 {
		s.renewLease(sentAt.Add(time.Duration(reply.GetLease()) * time.Millisecond))
	}
	for _, o := range reply.GetOrders() {
		s.applyOrder(o)
	}
}

// renewLease moves the lease's end and the watchdog. The caller holds mu.
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

// onLeaseTimer is the watchdog: at the lease's end everything stops, whether or not the cell can be reached.
func (s *Server) onLeaseTimer() {
	s.lock()
	defer s.mu.Unlock()
	s.stopIfLeaseExpired()
}

// leaseValid tells whether the lease still runs.
func (s *Server) leaseValid() bool { return time.Now().Before(*s.leaseEnd.Load()) }

// stopIfLeaseExpired stops everything when the lease is over. The caller holds mu.
func (s *Server) stopIfLeaseExpired() {
	if !s.leaseValid() {
		s.stopAll()
	}
}

// stopAll stops all that runs. The caller holds mu.
func (s *Server) stopAll() {
	for _, r := range s.runs {
		s.stop(r, v1.Phase_PHASE_STOPPED)
	}
}

// stop ends a running attempt in the phase given. The caller holds mu.
func (s *Server) stop(r *run, phase v1.Phase) {
	if r.phase != v1.Phase_PHASE_RUNNING {
		return
	}
	r.cancel()
	r.phase = phase
	s.Recorder.recordStop(s, r.attempt)
	s.triggerSync()
}

// applyOrder obeys one order. The caller holds mu.
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
		// Stopped before it came: the start must not follow.
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

// start begins an attempt, once ever and only under a lease. The caller holds mu.
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
		result := s.Work(ctx, o)
		s.finish(r, result)
	}()
}

// finish keeps the result of an attempt that ended by itself.
func (s *Server) finish(r *run, result Result) {
	s.lock()
	defer s.mu.Unlock()
	// The watchdog may have been late, after a pause: an end past the lease does not count.
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
