package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
)

// Bounds of what is noted of the entries.
const (
	// staleAfter is after how long without a Pull an entry counts as stale.
	staleAfter = 5 * time.Second
	// forgetAfter is after how long without a Pull an entry is listed no more.
	forgetAfter = 10 * time.Minute
	// maxTrackedEntries bounds the entries that are noted.
	maxTrackedEntries = 256
	// confirmationTimeout is how long an entry may take to confirm a revision.
	confirmationTimeout = 3 * time.Second
)

// States of an entry in the list of members.
const (
	stateServing = "serving"
	stateStale   = "stale"
)

// entryTracker notes the entries that fetch replies here. The zero value is empty.
type entryTracker struct {
	mu      sync.Mutex
	entries map[string]*trackedEntry
	// revision is the table's latest, and since is when it came into force.
	revision     uint64
	inForceSince time.Duration
}

// trackedEntry is one entry as its latest Pull showed it.
type trackedEntry struct {
	// confirmedRevision is the table's revision that the entry says it serves.
	confirmedRevision uint64
	lastPull          time.Duration
	// reportedRevision is the latest revision that an alarm said it lacks.
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

// memberLines lists the entries by name.
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

// entryRevision is an entry that has not confirmed the table's revision in time.
type entryRevision struct {
	name              string
	confirmedRevision uint64
}

// checkConfirmations forgets entries that are long gone and returns those that have become
// late, and those that were and have confirmed.
func (t *entryTracker) checkConfirmations(revision uint64, now time.Duration) (lagging, caughtUp []entryRevision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision != t.revision {
		t.revision, t.inForceSince = revision, now
	}
	for name, entry := range t.entries {
		switch {
		case now-entry.lastPull > forgetAfter:
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

// Entries lists the entries that fetch replies here, with the table's revision
// that each has confirmed.
func (s *Server) Entries() []*v1.MemberLine { return s.entries.memberLines(s.Now()) }

// LogTableConfirmations raises an alarm for each entry that does not confirm the table's
// revision. It is called about once a second.
func (s *Server) LogTableConfirmations() {
	st := s.Leader.Status()
	if !st.Leads {
		s.entries.clear()
		return
	}
	behind, caught := s.entries.checkConfirmations(st.Revision, s.Now())
	for _, e := range behind {
		event.Log(s.Log, event.TableUnconfirmed, "process", e.name, "confirmed", e.confirmedRevision, "revision", st.Revision)
	}
	for _, e := range caught {
		event.Log(s.Log, event.TableConfirmed, "process", e.name, "revision", e.confirmedRevision)
	}
}

// MailboxView is one mailbox as a dump shows it.
type MailboxView struct {
	Entry   string
	Session uint64
	// Replies are those that wait to be fetched.
	Replies int
	// Idle is in seconds since the latest fetch.
	Idle float64
}

// Mailboxes lists the mailboxes.
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
