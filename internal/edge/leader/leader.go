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
	// minGreetInterval is how often the process makes itself known, unless a leader told it
	// otherwise; mostPause is the longest that it lets itself be told.
	minGreetInterval = 300 * time.Millisecond
	maxGreetInterval = time.Second
	// searchSpeedup is the part of that time after which a leader is looked for again
	// while none is known, and findAsked how many replicas are asked each time.
	searchSpeedup = 3
	searchFanout  = 2
	// greetTimeout bounds one greeting.
	greetTimeout = 700 * time.Millisecond
	// attemptTimeout bounds one try of a request: a commit on slow disks and more.
	attemptTimeout = 1500 * time.Millisecond
	// leaderWait is how long after the loss of a leader, or the start of the
	// process, requests wait for one: an election that goes well is over by then.
	// One that takes longer is better waited for by the caller itself.
	leaderWait = 1200 * time.Millisecond
	// retryHint is when a caller may return that found no leader.
	retryHint = time.Second
	// retryInterval is the pause before a request is tried again.
	retryInterval = 50 * time.Millisecond
	// maxContactAge is the age of the last word of a leader up to which the process
	// counts as in touch: an election within it goes unnoticed.
	maxContactAge = 4 * time.Second
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

	initOnce    sync.Once
	done        chan struct{}
	mu          sync.Mutex
	leader      string
	members     []string
	term        uint64
	version     uint64
	lastContact time.Duration
	// greetInterval is the time between two greetings; greeting are the addresses to which
	// one is under way.
	greetInterval    time.Duration
	greetingInFlight map[string]bool
	// leaderLostAt is since when no leader is known.
	leaderLostAt time.Duration
	// leaderChanged is closed when another leader is known.
	leaderChanged chan struct{}
}

func (c *Client) init() {
	c.initOnce.Do(func() {
		c.done, c.leaderChanged = make(chan struct{}), make(chan struct{})
		c.greetInterval, c.greetingInFlight = minGreetInterval, map[string]bool{}
		if c.IsLeader == nil {
			c.IsLeader = func() bool { return false }
		}
	})
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { c.init(); return c.done }

// CheckContact returns nil while the leader was heard of lately and has a
// configuration in force, else why not.
func (c *Client) CheckContact() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lastContact == 0 || c.Now()-c.lastContact > maxContactAge:
		return errors.New("no leader is in contact")
	case c.version == 0:
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
func (c *Client) State() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{Leader: c.leader, Term: c.term, Members: c.members, Version: c.version, Heard: (c.Now() - c.lastContact).String()}
}

// recordLeader takes the word of a leader; that of an earlier term is not listened to.
func (c *Client) recordLeader(address string, welcome *inner.Welcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if welcome.GetTerm() < c.term {
		return
	}
	if c.leader != address {
		event.Log(c.Log, event.LeaderChanged, "from", c.leader, "to", address, "term", welcome.GetTerm())
		c.leader = address
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
	}
	c.term, c.members, c.lastContact = welcome.GetTerm(), welcome.GetMembers(), c.Now()
	c.version = max(c.version, welcome.GetVersion())
	if requested := time.Duration(welcome.GetPause()) * time.Millisecond; requested > 0 {
		c.greetInterval = min(max(requested, minGreetInterval), maxGreetInterval)
	}
}

// recordLeaderLost notes that a leader does not answer any more.
func (c *Client) recordLeaderLost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && c.leader == address {
		event.Log(c.Log, event.LeaderAway, "replica", address, "term", c.term)
		c.leader, c.leaderLostAt = "", c.Now()
	}
}

// currentLeader returns the leader, and what is closed when another one is known.
func (c *Client) currentLeader() (leader string, term uint64, leaderChanged <-chan struct{}) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.term, c.leaderChanged
}
