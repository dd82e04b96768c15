// Package entry serves the entries: it takes their items to the control thread
// and hands them the replies.
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

// Bounds of the service.
const (
	// pullWait bounds a Pull whose entry names no patience, or a longer one, so
	// that a silent connection shows.
	pullWait = 2 * time.Second
	// idleBox is after how long without a Pull a mailbox is dropped.
	idleBox = 30 * time.Second
	// maxItems bounds the items of one Push.
	maxItems = 4096
)

// Server implements inner.Control. The exported fields are set before use.
type Server struct {
	Cell   string
	Leader *leader.Leader
	// Now is the group's monotonic clock.
	Now func() time.Duration
	// DumpState returns the state of the process for a person to read.
	DumpState func() any
	// MaxDumpBytes bounds a dump in bytes; 0 for the default of package dump.
	MaxDumpBytes int
	Log          logr.Logger

	members roll
	limit   event.RateLimiter
	mu      sync.Mutex
	term    uint64
	boxes   map[mailbox.Name]*mailbox.Mailbox
}

var _ inner.Control = (*Server)(nil)

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return inner.NewControlServer(s) }

// Push hands items to the control thread.
func (s *Server) Push(_ context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	if err := s.check(req.GetCell(), req.GetEntry()); err != nil {
		return nil, err
	}
	if len(req.GetItems()) > maxItems {
		return nil, twirp.InvalidArgumentError("items", "too many")
	}
	st := s.Leader.Status()
	if !st.Leads {
		return &inner.PushReply{Redirect: redirect(st)}, nil
	}
	box := s.box(st.Term, mailbox.Name{Entry: req.GetEntry(), Session: req.GetSession()})
	if s.Leader.Push(leader.Batch{Mailbox: box, ReceivedAt: s.Now(), Items: req.GetItems()}) {
		return &inner.PushReply{}, nil
	}
	s.limit.Log(s.Log, event.Overload, "entry", req.GetEntry(), "items", len(req.GetItems()))
	rep := &inner.PushReply{}
	for _, it := range req.GetItems() {
		rep.Refused = append(rep.Refused, it.GetSeq())
	}
	return rep, nil
}

// Pull returns the replies that wait for the entry.
func (s *Server) Pull(ctx context.Context, req *inner.PullRequest) (*inner.PullReply, error) {
	if err := s.check(req.GetCell(), req.GetEntry()); err != nil {
		return nil, err
	}
	st := s.Leader.Status()
	if !st.Leads {
		return &inner.PullReply{Redirect: redirect(st)}, nil
	}
	s.members.note(req.GetEntry(), req.GetRevision(), s.Now())
	ctx, cancel := context.WithTimeout(ctx, patience(req.GetPatience()))
	defer cancel()
	box := s.box(st.Term, mailbox.Name{Entry: req.GetEntry(), Session: req.GetSession()})
	// Wakes are counted before the revision is read: one that comes in between
	// ends the wait.
	wakes := box.WakeCount()
	if s.Leader.Status().Revision > req.GetRevision() {
		cancel()
	}
	b := box.PullUntilWake(ctx, req.GetEpoch(), req.GetAck(), wakes)
	st = s.Leader.Status()
	if b.Closed || !st.Leads {
		return &inner.PullReply{Redirect: redirect(st)}, nil
	}
	return &inner.PullReply{First: b.FirstNumber, Replies: b.Replies, Revision: st.Revision, Epoch: b.Epoch}, nil
}

// Dump returns the state of this process.
func (s *Server) Dump(context.Context, *v1.DumpRequest) (*v1.DumpReply, error) {
	if s.DumpState == nil {
		return &v1.DumpReply{Status: &v1.Status{}}, nil
	}
	return &v1.DumpReply{Status: &v1.Status{}, Text: dump.Render(s.DumpState(), s.MaxDumpBytes)}, nil
}

// patience returns how long a Pull is held open. An entry takes one that lasts
// longer than it asked for to be a silent connection, and dials anew.
func patience(ms uint64) time.Duration {
	if ms == 0 || ms > uint64(pullWait/time.Millisecond) {
		return pullWait
	}
	return time.Duration(ms) * time.Millisecond
}

// check refuses a process of another cell: a wrong address in the settings
// must not mix two cells' work.
func (s *Server) check(cell, from string) error {
	if cell != s.Cell {
		s.limit.Log(s.Log, event.PeerRefused, "peer", from, "error", "it is of cell "+strconv.Quote(cell)+", this is cell "+strconv.Quote(s.Cell))
		return twirp.NewError(twirp.PermissionDenied, "this is cell "+s.Cell)
	}
	return nil
}

func redirect(st leader.Status) *inner.Redirect {
	return &inner.Redirect{Leader: st.Leader, Address: st.Address}
}

// box returns the mailbox of an entry's run in a term. Those of other terms
// are closed, so that what waits at them is asked of the leader anew.
func (s *Server) box(term uint64, name mailbox.Name) *mailbox.Mailbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boxes == nil || s.term != term {
		s.closeAll()
		s.term, s.boxes = term, map[mailbox.Name]*mailbox.Mailbox{}
	}
	for n, b := range s.boxes {
		if n != name && b.IdleTime() > idleBox {
			b.Close()
			delete(s.boxes, n)
		}
	}
	b := s.boxes[name]
	if b == nil {
		b = mailbox.New(term<<32 ^ name.Session)
		s.boxes[name] = b
	}
	return b
}

// WakeMailboxes lets all waiting Pulls return, so that entries learn at once of a new
// revision of the table.
func (s *Server) WakeMailboxes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.boxes {
		b.Wake()
	}
}

// CloseMailboxes ends all mailboxes; the control process calls it when it stops to lead.
func (s *Server) CloseMailboxes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAll()
	s.boxes = nil
}

func (s *Server) closeAll() {
	for _, b := range s.boxes {
		b.Close()
	}
}
