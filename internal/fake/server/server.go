// Package server is a fake backend server for tests, the demo and the load tool. It
// announces itself, calls Sync, and runs tasks as Go functions under a lease. Hundreds
// of servers fit into one process.
package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// Default values of Server fields and internal limits.
const (
	// DefaultLongPollWait is how long the cell may hold one Sync request open.
	DefaultLongPollWait = 2 * time.Second
	// DefaultTimeout is how long a call may take beyond its long-poll wait.
	DefaultTimeout = time.Second
	// DefaultReportDelay is how long status changes are collected before they are reported.
	DefaultReportDelay = time.Millisecond
	// pollsPerLease is the minimum number of long polls per lease.
	pollsPerLease = 3
	// maxChunkBytes limits the answer chunks sent in one Sync request.
	maxChunkBytes = 1 << 20
)

// Server is one fake backend server. The exported fields are set before Run.
type Server struct {
	Name string
	// EntryClients are the clients of the entries, which are tried in turn. The hash of the
	// server's name selects the first one.
	EntryClients []EntryClient
	// Secret is the enrolment secret of the cell.
	Secret   string
	Capacity *v1.Size
	Rack     string
	// Zone is the availability zone.
	Zone   string
	Labels map[string]string
	// RunTask runs a task; nil for RunScript.
	RunTask TaskFunc
	// Recorder records each start and stop of a task; may be nil.
	Recorder *Recorder
	Log      logr.Logger

	LongPollWait time.Duration
	Timeout      time.Duration
	ReportDelay  time.Duration

	initOnce sync.Once
	done     chan struct{}

	mu          sync.Mutex
	resumed     sync.Cond
	leaving     bool
	nonce       uint64
	incarnation uint64
	syncNumber  uint64
	// sessionPollWait is the long-poll wait of a Sync request in this session.
	sessionPollWait time.Duration
	leaseTimer      *time.Timer
	runs            map[Attempt]*run
	seenAttempts    map[Attempt]struct{}
	// reportPending is true if a status change waits to be reported.
	reportPending bool
	// cancelSync cancels the Sync call in progress; nil if there is none.
	cancelSync context.CancelFunc
	entryIndex int

	// paused and leaseEnd are written under mu. The Recorder reads them without mu.
	paused atomic.Bool
	// leaseEnd is on this process's monotonic clock.
	leaseEnd atomic.Pointer[time.Time]
}

func (s *Server) init() {
	s.initOnce.Do(func() {
		setDefault(&s.LongPollWait, DefaultLongPollWait)
		setDefault(&s.Timeout, DefaultTimeout)
		setDefault(&s.ReportDelay, DefaultReportDelay)
		setDefault(&s.Rack, "rack-1")
		setDefault(&s.Zone, "zone-1")
		if s.Capacity == nil {
			s.Capacity = &v1.Size{Cpu: 16_000, Memory: 32 << 10, Slots: 8}
		}
		if s.RunTask == nil {
			s.RunTask = RunScript
		}
		s.resumed.L = &s.mu
		s.leaseEnd.Store(&time.Time{})
		s.runs = make(map[Attempt]*run)
		s.seenAttempts = make(map[Attempt]struct{})
		s.entryIndex = int(xxhash.Sum64String(s.Name) % uint64(max(1, len(s.EntryClients))))
		s.done = make(chan struct{})
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { s.init(); return s.done }

// lock takes mu and then waits while the server is paused.
func (s *Server) lock() {
	s.mu.Lock()
	for s.paused.Load() {
		s.resumed.Wait()
	}
}

// Pause freezes the server until Resume, like a process stopped by SIGSTOP.
func (s *Server) Pause() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused.Store(true)
}

// Resume ends a pause. The server checks its lease before any task continues.
func (s *Server) Resume() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused.Store(false)
	s.stopIfLeaseExpired()
	s.resumed.Broadcast()
}

// Leave starts a graceful shutdown. Run returns when no attempt remains to run or to
// report.
func (s *Server) Leave() {
	s.init()
	s.lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.triggerSync()
}

// Running returns the number of running tasks.
func (s *Server) Running() int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.phase == v1.Phase_PHASE_RUNNING {
			n++
		}
	}
	return n
}

// Run serves until ctx is cancelled or the server has left. Cancelling ctx kills all tasks
// like a crash.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	defer s.terminate()
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = 20 * time.Millisecond
	retryBackoff.MaxInterval = 500 * time.Millisecond
	leaveAcknowledged := false
	for ctx.Err() == nil {
		var err error
		switch {
		case s.currentIncarnation() == 0:
			err = s.announce(ctx)
		case s.isLeaving() && !leaveAcknowledged:
			err = s.callLeave(ctx)
			leaveAcknowledged = err == nil
		case s.isLeaving() && s.idle():
			return nil
		default:
			err = s.sync(ctx)
		}
		if err == nil {
			retryBackoff.Reset()
			continue
		}
		s.Log.V(1).Info("call failed", "server", s.Name, "error", err.Error())
		s.switchEntry()
		sleep(ctx, retryBackoff.NextBackOff())
	}
	return ctx.Err()
}

func (s *Server) currentIncarnation() uint64 { s.lock(); defer s.mu.Unlock(); return s.incarnation }

func (s *Server) isLeaving() bool { s.lock(); defer s.mu.Unlock(); return s.leaving }

func (s *Server) pollWait() time.Duration { s.lock(); defer s.mu.Unlock(); return s.sessionPollWait }

func (s *Server) idle() bool { s.lock(); defer s.mu.Unlock(); return len(s.runs) == 0 }

// switchEntry closes the idle connections to the current entry and selects the next one.
func (s *Server) switchEntry() {
	s.lock()
	defer s.mu.Unlock()
	if closeIdle := s.EntryClients[s.entryIndex].CloseIdle; closeIdle != nil {
		closeIdle()
	}
	s.entryIndex = (s.entryIndex + 1) % len(s.EntryClients)
}

func (s *Server) client() v1.BackendClient {
	s.lock()
	defer s.mu.Unlock()
	return s.EntryClients[s.entryIndex].Client
}

// announce opens a session. The nonce stays the same until a reply arrives, so that a
// repeated announcement after a lost reply does not open a second session.
func (s *Server) announce(ctx context.Context) error {
	s.lock()
	if s.nonce == 0 {
		s.nonce = rand.Uint64() | 1
	}
	nonce := s.nonce
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := s.client().Announce(ctx, authorizedRequest(s.Secret, &v1.AnnounceRequest{
		Server: s.Name, Nonce: nonce, Capacity: s.Capacity, Rack: s.Rack, Zone: s.Zone, Labels: s.Labels,
	}))
	if err != nil {
		return err
	}
	if c := reply.Msg.GetStatus().GetCode(); c != 0 {
		return code.New(code.Code(c), "%s", reply.Msg.GetStatus().GetText())
	}
	s.lock()
	defer s.mu.Unlock()
	s.incarnation, s.syncNumber = reply.Msg.GetIncarnation(), 0
	// A lease starts when the request is sent. It has already run for one long poll when
	// the reply arrives, and must last through the next one. A long poll therefore takes
	// at most a third of the lease.
	lease := time.Duration(reply.Msg.GetLease()) * time.Millisecond
	s.sessionPollWait = min(s.LongPollWait, lease/pollsPerLease)
	return nil
}

func (s *Server) callLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := s.client().Leave(ctx, authorizedRequest(s.Secret, &v1.LeaveRequest{Server: s.Name, Incarnation: s.currentIncarnation()}))
	if err != nil {
		return err
	}
	return s.checkStatus(reply.Msg.GetStatus())
}

// checkStatus returns the error that a status describes. It resets the session if the
// cell no longer knows it.
func (s *Server) checkStatus(status *v1.Status) error {
	c := code.Code(status.GetCode())
	if c == code.OK {
		return nil
	}
	if c == code.SessionReplaced || c == code.NotFound {
		s.lock()
		s.resetSession()
		s.mu.Unlock()
	}
	return code.New(c, "%s", status.GetText())
}

// sync makes one Sync call and applies the reply.
func (s *Server) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.pollWait()+s.Timeout)
	defer cancel()
	s.lock()
	s.stopIfLeaseExpired()
	s.syncNumber++
	number := s.syncNumber
	req := s.syncRequest(number)
	s.reportPending, s.cancelSync = false, cancel
	s.mu.Unlock()

	// The lease starts here, because the leader can only receive the request later.
	sentAt := time.Now()
	reply, err := s.client().Sync(ctx, authorizedRequest(s.Secret, req))

	s.lock()
	s.cancelSync = nil
	cancelled := s.reportPending
	s.mu.Unlock()
	if err != nil && cancelled {
		sleep(context.Background(), s.ReportDelay)
		return nil
	}
	if err != nil {
		return err
	}
	if err := s.checkStatus(reply.Msg.GetStatus()); err != nil {
		return err
	}
	s.applyReply(reply.Msg, sentAt)
	if reply.Msg.GetElsewhere() {
		s.switchEntry()
	}
	return nil
}

// triggerSync cancels the Sync call in progress, so that the next one reports the latest
// status changes. The caller holds mu.
func (s *Server) triggerSync() {
	s.reportPending = true
	if s.cancelSync != nil {
		s.cancelSync()
	}
}

// terminate stops the lease timer and all tasks immediately, like the end of the process.
func (s *Server) terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused.Store(false)
	s.resumed.Broadcast()
	if s.leaseTimer != nil {
		s.leaseTimer.Stop()
	}
	s.resetSession()
}

// resetSession stops all tasks and discards the session. The seen attempts are kept, so
// that none of them starts again. The caller holds mu.
func (s *Server) resetSession() {
	s.stopAll()
	s.runs = make(map[Attempt]*run)
	s.incarnation, s.nonce = 0, 0
	s.leaseEnd.Store(&time.Time{})
}

func authorizedRequest[T any](secret string, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+secret)
	return req
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
