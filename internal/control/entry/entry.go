// Package entry implements the service that the entries call. It passes their items
// to the control thread and returns the replies.
package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/dump"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/mailbox"
)

// Limits of the service.
const (
	// maxPullWait limits how long a Pull waits, also when the entry requests a
	// longer wait or none. Regular replies let the entry detect a dead connection.
	maxPullWait = 2 * time.Second
	// mailboxIdleTimeout is the time without a Pull after which a mailbox is closed.
	mailboxIdleTimeout = 30 * time.Second
	// maxItemsPerPush is the maximum number of items in one Push.
	maxItemsPerPush = 4096
)

// Server implements inner.Control. The exported fields must be set before use.
type Server struct {
	Cell   string
	Leader *leader.Leader
	// Now is the group's monotonic clock.
	Now func() time.Duration
	// DumpState returns the state of the process for state dumps; it may be nil.
	DumpState func() any
	// MaxDumpBytes is the maximum size of a state dump; 0 means the default of
	// package dump.
	MaxDumpBytes int
	Log          logr.Logger

	entries     entryTracker
	logLimiter  event.RateLimiter
	mu          sync.Mutex
	mailboxTerm uint64
	mailboxes   map[mailbox.Name]*mailbox.Mailbox
}

var _ inner.Control = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewControlServer(s) }

// Push passes items to the control thread.
func (s *Server) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	if err := s.checkCell(req.GetCell(), req.GetEntry()); err != nil {
		return nil, err
	}
	if len(req.GetItems()) > maxItemsPerPush {
		return nil, twirp.InvalidArgumentError("items", "exceed the maximum number per Push")
	}
	status := s.Leader.Status()
	if !status.Leads {
		return &inner.PushReply{Redirect: newRedirect(status)}, nil
	}
	entryMailbox := s.mailboxFor(status.Term, mailbox.Name{Entry: req.GetEntry(), Session: req.GetSession()})
	if s.Leader.Push(leader.Batch{Mailbox: entryMailbox, ReceivedAt: s.Now(), Items: req.GetItems()}) {
		return &inner.PushReply{}, nil
	}
	s.logLimiter.Log(s.Log, event.Overload, "entry", req.GetEntry(), "items", len(req.GetItems()))
	reply := &inner.PushReply{}
	for _, item := range req.GetItems() {
		reply.Refused = append(reply.Refused, item.GetSeq())
	}
	return reply, nil
}

// Pull returns the replies queued for the entry. It waits for a reply or a new
// revision of the team table until the requested time is over.
func (s *Server) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	if err := s.checkCell(req.GetCell(), req.GetEntry()); err != nil {
		return nil, err
	}
	status := s.Leader.Status()
	if !status.Leads {
		return &inner.PullReply{Redirect: newRedirect(status)}, nil
	}
	s.entries.recordPull(req.GetEntry(), req.GetRevision(), s.Now())
	ctx, cancel := context.WithTimeout(ctx, pullTimeout(req.GetPatience()))
	defer cancel()
	entryMailbox := s.mailboxFor(status.Term, mailbox.Name{Entry: req.GetEntry(), Session: req.GetSession()})
	// WakeCount is read before the revision, so a change in between still ends
	// the wait.
	wakeCount := entryMailbox.WakeCount()
	if s.Leader.Status().Revision > req.GetRevision() {
		cancel()
	}
	batch := entryMailbox.PullUntilWake(ctx, req.GetEpoch(), req.GetAck(), wakeCount)
	status = s.Leader.Status()
	if batch.Closed || !status.Leads {
		return &inner.PullReply{Redirect: newRedirect(status)}, nil
	}
	return &inner.PullReply{First: batch.FirstNumber, Replies: batch.Replies, Revision: status.Revision, Epoch: batch.Epoch}, nil
}

// Dump returns the state of this process as JSON text.
func (s *Server) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	if s.DumpState == nil {
		return &v1.DumpReply{Status: &v1.Status{}}, nil
	}
	return &v1.DumpReply{Status: &v1.Status{}, Text: dump.Render(s.DumpState(), s.MaxDumpBytes)}, nil
}

// pullTimeout returns how long a Pull may wait, given the requested time in
// milliseconds. An entry treats a Pull that takes longer than requested as a dead
// connection and reconnects.
func pullTimeout(requestedMs uint64) time.Duration {
	if requestedMs == 0 || requestedMs > uint64(maxPullWait/time.Millisecond) {
		return maxPullWait
	}
	return time.Duration(requestedMs) * time.Millisecond
}

// checkCell refuses calls from processes of another cell. This prevents a wrong
// address in the settings from mixing the work of two cells.
func (s *Server) checkCell(cell, process string) error {
	if cell != s.Cell {
		s.logLimiter.Log(s.Log, event.PeerRefused, "peer", process, "error", "the process belongs to cell "+strconv.Quote(cell)+", this is cell "+strconv.Quote(s.Cell))
		return twirp.NewError(twirp.PermissionDenied, "this is cell "+s.Cell)
	}
	return nil
}

func newRedirect(status leader.Status) *inner.Redirect {
	return &inner.Redirect{Leader: status.Leader, Address: status.Address}
}

// mailboxFor returns the mailbox of an entry's session in the given term and creates
// it if necessary. It closes the mailboxes of other terms, so that entries send
// their unanswered items to the leader again. It also closes idle mailboxes.
func (s *Server) mailboxFor(term uint64, name mailbox.Name) *mailbox.Mailbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mailboxes == nil || s.mailboxTerm != term {
		s.closeMailboxes()
		s.mailboxTerm, s.mailboxes = term, map[mailbox.Name]*mailbox.Mailbox{}
	}
	for n, b := range s.mailboxes {
		if n != name && b.IdleTime() > mailboxIdleTimeout {
			b.Close()
			delete(s.mailboxes, n)
		}
	}
	b := s.mailboxes[name]
	if b == nil {
		b = mailbox.New(term<<32 ^ name.Session)
		s.mailboxes[name] = b
	}
	return b
}

// WakeMailboxes makes all waiting Pull calls return, so that entries learn of a new
// revision of the team table without delay.
func (s *Server) WakeMailboxes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.mailboxes {
		b.Wake()
	}
}

// CloseMailboxes closes all mailboxes. The control process calls it when it stops
// leading.
func (s *Server) CloseMailboxes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeMailboxes()
	s.mailboxes = nil
}

func (s *Server) closeMailboxes() {
	for _, b := range s.mailboxes {
		b.Close()
	}
}
