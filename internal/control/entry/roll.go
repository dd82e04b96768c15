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
	// silentAfter is after how long without a Pull an entry counts as stale.
	silentAfter = 5 * time.Second
	// forgetAfter is after how long without a Pull an entry is listed no more.
	forgetAfter = 10 * time.Minute
	// maxEntries bounds the entries that are noted.
	maxEntries = 256
	// confirmWithin is how long an entry may take to confirm a revision.
	confirmWithin = 3 * time.Second
)

// States of an entry in the list of members.
const (
	stateServing = "serving"
	stateStale   = "stale"
)

// roll notes the entries that fetch replies here. The zero value is empty.
type roll struct {
	mu      sync.Mutex
	entries map[string]*noted
	// revision is the table's latest, and since is when it came into force.
	revision uint64
	since    time.Duration
}

// noted is one entry as its latest Pull showed it.
type noted struct {
	// revision is the table's revision that the entry says it serves.
	revision uint64
	seen     time.Duration
	// told is the latest revision that an alarm said it lacks.
	told uint64
}

func (r *roll) note(name string, revision uint64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[string]*noted{}
	}
	n := r.entries[name]
	if n == nil {
		if len(r.entries) >= maxEntries {
			return
		}
		n = &noted{}
		r.entries[name] = n
	}
	n.revision, n.seen = revision, now
}

func (r *roll) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries, r.revision = nil, 0
}

// lines lists the entries by name.
func (r *roll) lines(now time.Duration) []*v1.MemberLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*v1.MemberLine, 0, len(r.entries))
	for name, n := range r.entries {
		line := &v1.MemberLine{Name: name, Role: "entry", State: stateServing, Revision: n.revision}
		if now-n.seen > silentAfter {
			line.State = stateStale
		}
		out = append(out, line)
	}
	slices.SortFunc(out, func(a, b *v1.MemberLine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// late is an entry that has not confirmed the table's revision in time.
type late struct {
	name     string
	revision uint64
}

// watch forgets entries that are long gone and returns those that have become
// late, and those that were and have confirmed.
func (r *roll) watch(revision uint64, now time.Duration) (behind, caught []late) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision != r.revision {
		r.revision, r.since = revision, now
	}
	for name, n := range r.entries {
		switch {
		case now-n.seen > forgetAfter:
			delete(r.entries, name)
		case n.revision >= revision && n.told > 0:
			n.told = 0
			caught = append(caught, late{name, n.revision})
		case n.revision < revision && n.told < revision && now-r.since > confirmWithin:
			n.told = revision
			behind = append(behind, late{name, n.revision})
		}
	}
	return behind, caught
}

// Entries lists the entries that fetch replies here, with the table's revision
// that each has confirmed.
func (s *Server) Entries() []*v1.MemberLine { return s.members.lines(s.Now()) }

// LogTableConfirmations raises an alarm for each entry that does not confirm the table's
// revision. It is called about once a second.
func (s *Server) LogTableConfirmations() {
	st := s.Leader.Status()
	if !st.Leads {
		s.members.clear()
		return
	}
	behind, caught := s.members.watch(st.Revision, s.Now())
	for _, e := range behind {
		event.Log(s.Log, event.TableUnconfirmed, "process", e.name, "confirmed", e.revision, "revision", st.Revision)
	}
	for _, e := range caught {
		event.Log(s.Log, event.TableConfirmed, "process", e.name, "revision", e.revision)
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
	var out []MailboxView
	for n, b := range s.boxes {
		out = append(out, MailboxView{Entry: n.Entry, Session: n.Session, Replies: b.Len(), Idle: b.IdleTime().Seconds()})
	}
	slices.SortFunc(out, func(a, b MailboxView) int { return strings.Compare(a.Entry, b.Entry) })
	return out
}
