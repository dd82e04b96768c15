// Package leader is a process's way to the leader of the control group: it keeps
// itself known there, finds the next one when the leader changes, and carries
// callers' requests.
package leader

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
)

// Times of the way to the leader.
const (
	// greetEvery is how often the process makes itself known, unless a leader told it
	// otherwise; mostPause is the longest that it lets itself be told.
	greetEvery = 300 * time.Millisecond
	mostPause  = time.Second
	// findParts is the part of that time after which a leader is looked for again
	// while none is known, and findAsked how many replicas are asked each time.
	findParts = 3
	findAsked = 2
	// greetTimeout bounds one greeting.
	greetTimeout = 700 * time.Millisecond
	// tryTimeout bounds one try of a request: a commit on slow disks and more.
	tryTimeout = 1500 * time.Millisecond
	// findTime is how long after the loss of a leader, or the start of the
	// process, requests wait for one: an election that goes well is over by then.
	// One that takes longer is better waited for by the caller itself.
	findTime = 1200 * time.Millisecond
	// comeBack is when a caller may return that found no leader.
	comeBack = time.Second
	// retryPause is the pause before a request is tried again.
	retryPause = 50 * time.Millisecond
	// freshTime is the age of the last word of a leader up to which the process
	// counts as in touch: an election within it goes unnoticed.
	freshTime = 4 * time.Second
)

// Client is the way to the leader. The exported fields are set before Run.
type Client struct {
	Cell string
	// Greeting is what this process says of itself; its replica is empty for an entry.
	Greeting *inner.Greeting
	// Seeds are addresses to look for the leader at, first and when all others fail.
	Seeds func() []string
	// IsLeader tells that the leader is this process itself; nil for never.
	IsLeader   func() bool
	HTTPClient *http.Client
	Now        func() time.Duration
	Log        logr.Logger

	once    sync.Once
	done    chan struct{}
	mu      sync.Mutex
	leader  string
	members []string
	term    uint64
	version uint64
	heard   time.Duration
	// pause is the time between two greetings; greeting are the addresses to which
	// one is under way.
	pause    time.Duration
	greeting map[string]bool
	// gone is since when no leader is known.
	gone time.Duration
	// changed is closed when another leader is known.
	changed chan struct{}
}

func (l *Client) init() {
	l.once.Do(func() {
		l.done, l.changed = make(chan struct{}), make(chan struct{})
		l.pause, l.greeting = greetEvery, map[string]bool{}
		if l.IsLeader == nil {
			l.IsLeader = func() bool { return false }
		}
	})
}

// Done is closed when Run has returned.
func (l *Client) Done() <-chan struct{} { l.init(); return l.done }

// CheckContact returns nil while the leader was heard of lately and has a
// configuration in force, else why not.
func (l *Client) CheckContact() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.heard == 0 || l.Now()-l.heard > freshTime:
		return errors.New("no leader is in contact")
	case l.version == 0:
		return errors.New("no configuration is in force")
	}
	return nil
}

// Dump is the state of a link for a person to read.
type Dump struct {
	Leader  string
	Term    uint64
	Members []string
	Version uint64
	// Heard is how long ago a leader was heard of.
	Heard string
}

// State returns the state of the link for a person to read.
func (l *Client) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Dump{Leader: l.leader, Term: l.term, Members: l.members, Version: l.version, Heard: (l.Now() - l.heard).String()}
}

// found takes the word of a leader; that of an earlier term is not listened to.
func (l *Client) found(address string, w *inner.Welcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.GetTerm() < l.term {
		return
	}
	if l.leader != address {
		event.Log(l.Log, event.LeaderChanged, "from", l.leader, "to", address, "term", w.GetTerm())
		l.leader = address
		close(l.changed)
		l.changed = make(chan struct{})
	}
	l.term, l.members, l.heard = w.GetTerm(), w.GetMembers(), l.Now()
	l.version = max(l.version, w.GetVersion())
	if told := time.Duration(w.GetPause()) * time.Millisecond; told > 0 {
		l.pause = min(max(told, greetEvery), mostPause)
	}
}

// lost notes that a leader does not answer any more.
func (l *Client) lost(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != "" && l.leader == address {
		event.Log(l.Log, event.LeaderAway, "replica", address, "term", l.term)
		l.leader, l.gone = "", l.Now()
	}
}

// at returns the leader, and what is closed when another one is known.
func (l *Client) at() (leader string, term uint64, changed <-chan struct{}) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.term, l.changed
}
