package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
)

// Limits for tracking entries.
const (
	// staleAfter is the time without a Pull after which an entry is listed as stale.
	staleAfter = 5 * time.Second
	// removeAfter is the time without a Pull after which an entry is removed from
	// the list.
	removeAfter = 10 * time.Minute
	// maxTrackedEntries is the maximum number of tracked entries.
	maxTrackedEntries = 256
	// confirmationTimeout is how long an entry may take to confirm a new revision
	// of the team table.
	confirmationTimeout = 3 * time.Second
)

// States of an entry in the member list.
const (
	stateServing = "serving"
	stateStale   = "stale"
)

// entryTracker tracks the entries that pull replies from this leader. The zero value
// is ready to use.
type entryTracker struct {
	mu      sync.Mutex
	entries map[string]*trackedEntry
	// revision is the latest revision of the team table.
	revision uint64
	// inForceSince is the time at which revision was first observed.
	inForceSince time.Duration
}

// trackedEntry is the state of one entry as of its latest Pull.
type trackedEntry struct {
	// confirmedRevision is the revision of the team table that the entry reported
	// to be in use.
	confirmedRevision uint64
	lastPull          time.Duration
	// reportedRevision is the revision whose missing confirmation was logged last;
	// 0 if there is none or the entry has caught up.
	reportedRevision uint64
}

func (t *entryTracker) recordPull(name string, revision uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]*trackedEntry{}
	}
	entry := t.entries[name]
	if entry == nil {
		if len(t.entries) >= maxTrackedEntries {
			return
		}
		entry = &trackedEntry{}
		t.entries[name] = entry
	}
	entry.confirmedRevision, entry.lastPull = revision, now
}

func (t *entryTracker) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.revision = nil, 0
}

// memberLines returns the entries as member lines, sorted by name.
func (t *entryTracker) memberLines(now time.Duration) []*v1.MemberLine {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := make([]*v1.MemberLine, 0, len(t.entries))
	for name, entry := range t.entries {
		line := &v1.MemberLine{Name: name, Role: "entry", State: stateServing, Revision: entry.confirmedRevision}
		if now-entry.lastPull > staleAfter {
			line.State = stateStale
		}
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b *v1.MemberLine) int { return strings.Compare(a.Name, b.Name) })
	return lines
}

// entryRevision names an entry and the revision that it has confirmed.
type entryRevision struct {
	name              string
	confirmedRevision uint64
}

// checkConfirmations removes entries that have not pulled for removeAfter. It returns
// the entries that newly exceed confirmationTimeout, and those that exceeded it
// before and have now confirmed.
func (t *entryTracker) checkConfirmations(revision uint64, now time.Duration) (lagging, caughtUp []entryRevision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision != t.revision {
		t.revision, t.inForceSince = revision, now
	}
	for name, entry := range t.entries {
		switch {
		case now-entry.lastPull > removeAfter:
			delete(t.entries, name)
		case entry.confirmedRevision >= revision && entry.reportedRevision > 0:
			entry.reportedRevision = 0
			caughtUp = append(caughtUp, entryRevision{name, entry.confirmedRevision})
		case entry.confirmedRevision < revision && entry.reportedRevision < revision && now-t.inForceSince > confirmationTimeout:
			entry.reportedRevision = revision
			lagging = append(lagging, entryRevision{name, entry.confirmedRevision})
		}
	}
	return lagging, caughtUp
}

// Entries lists the entries that pull replies from this leader, with the revision of
// the team table that each has confirmed.
func (s *Server) Entries() []*v1.MemberLine { return s.entries.memberLines(s.Now()) }

// LogTableConfirmations logs an event for each entry that does not confirm the
// revision of the team table in time, and another one when the entry has caught up.
// It is called about once a second.
func (s *Server) LogTableConfirmations() {
	status := s.Leader.Status()
	if !status.Leads {
		s.entries.clear()
		return
	}
	lagging, caughtUp := s.entries.checkConfirmations(status.Revision, s.Now())
	for _, e := range lagging {
		event.Log(s.Log, event.TableUnconfirmed, "process", e.name, "confirmed", e.confirmedRevision, "revision", status.Revision)
	}
	for _, e := range caughtUp {
		event.Log(s.Log, event.TableConfirmed, "process", e.name, "revision", e.confirmedRevision)
	}
}

// MailboxView is the representation of a mailbox in state dumps.
type MailboxView struct {
	Entry   string
	Session uint64
	// Replies is the number of replies that the entry has not yet acknowledged.
	Replies int
	// Idle is the time since the latest Pull in seconds.
	Idle float64
}

// Mailboxes lists the open mailboxes, sorted by entry.
func (s *Server) Mailboxes() []MailboxView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []MailboxView
	for name, b := range s.mailboxes {
		views = append(views, MailboxView{Entry: name.Entry, Session: name.Session, Replies: b.Len(), Idle: b.IdleTime().Seconds()})
	}
	slices.SortFunc(views, func(a, b MailboxView) int { return strings.Compare(a.Entry, b.Entry) })
	return views
}
