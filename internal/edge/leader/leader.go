// Package leader is the client for the leader of the control group. It registers the
// process with the leader by regular greetings, finds the new leader after a change, and
// forwards callers' requests.
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

// Intervals and timeouts.
const (
	// minGreetInterval is the time between two greetings unless the leader requests a
	// longer one. Requests above maxGreetInterval are reduced to it.
	minGreetInterval = 300 * time.Millisecond
	maxGreetInterval = time.Second
	// While no leader is known, greetings are sent searchSpeedup times as often, to
	// searchFanout replicas each time.
	searchSpeedup = 3
	searchFanout  = 2
	// greetTimeout is the timeout of one greeting.
	greetTimeout = 700 * time.Millisecond
	// attemptTimeout is the timeout of one attempt of a request. It covers a commit on slow
	// disks.
	attemptTimeout = 1500 * time.Millisecond
	// budgetShare is the share of an attempt's timeout that the leader may use. The rest is
	// left for the transfer of its answer: only the leader can say that a request that
	// reached it was not executed.
	budgetShare = 0.85
	// leaderWait is how long requests wait for a leader after the loss of the previous one
	// or after the start of the process. A normal election is over by then. During a
	// longer one callers are told to retry later.
	leaderWait = 1200 * time.Millisecond
	// retryHint is the time after which a caller without an answer is asked to retry.
	retryHint = time.Second
	// retryInterval is the pause between two attempts of a request.
	retryInterval = 50 * time.Millisecond
	// maxContactAge is the maximum age of the last message from a leader at which
	// CheckContact succeeds. It is long enough that an election does not make the process
	// unready.
	maxContactAge = 4 * time.Second
)

// Client forwards requests to the leader and keeps the process registered there. The
// exported fields are set before Run.
type Client struct {
	Cell string
	// Greeting describes this process to the leader. Its replica field is empty for an
	// entry.
	Greeting *inner.Greeting
	// Seeds returns addresses of replicas that may know the leader. They are used together
	// with the members that the leader reported.
	Seeds func() []string
	// IsLeader reports whether this process is the leader. If nil, it never is.
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
	// leaderClock is the latest known time of the clock of the leader of the term.
	leaderClock leaderClock
	// greetInterval is the time between two greetings.
	greetInterval time.Duration
	// greetingInFlight holds the addresses to which a greeting is in flight.
	greetingInFlight map[string]bool
	// leaderLostAt is the time at which the last known leader was lost, or at which Run
	// started if there was none.
	leaderLostAt time.Duration
	// leaderChanged is closed and replaced when recordLeader records another leader,
	// leaderLost when the known leader is lost.
	leaderChanged, leaderLost chan struct{}
}

func (c *Client) init() {
	c.initOnce.Do(func() {
		c.done, c.leaderChanged, c.leaderLost = make(chan struct{}), make(chan struct{}), make(chan struct{})
		c.greetInterval, c.greetingInFlight = minGreetInterval, map[string]bool{}
		if c.IsLeader == nil {
			c.IsLeader = func() bool { return false }
		}
	})
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { c.init(); return c.done }

// CheckContact returns nil if a leader answered within maxContactAge and a configuration
// is active. Otherwise the error states which of the two is missing.
func (c *Client) CheckContact() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lastContact == 0 || c.Now()-c.lastContact > maxContactAge:
		return errors.New("no contact with the leader")
	case c.version == 0:
		return errors.New("no configuration is active")
	}
	return nil
}

// Dump is the state of a Client in a state dump.
type Dump struct {
	Leader  string
	Term    uint64
	Members []string
	Version uint64
	// Heard is the time since the last message from a leader.
	Heard string
}

// State returns the state of the client for a state dump.
func (c *Client) State() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{Leader: c.leader, Term: c.term, Members: c.members, Version: c.version, Heard: (c.Now() - c.lastContact).String()}
}

// recordLeader records that the replica at address answered as the leader. It ignores a
// leader of an earlier term.
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
	c.leaderClock.record(welcome.GetTerm(), welcome.GetClock(), c.lastContact)
	c.version = max(c.version, welcome.GetVersion())
	if requested := time.Duration(welcome.GetPause()) * time.Millisecond; requested > 0 {
		c.greetInterval = min(max(requested, minGreetInterval), maxGreetInterval)
	}
}

// recordLeaderLost records that the leader at address no longer answers or leads. It does
// nothing if another leader is known.
func (c *Client) recordLeaderLost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && c.leader == address {
		event.Log(c.Log, event.LeaderAway, "replica", address, "term", c.term)
		c.forgetLeader()
	}
}

// forgetLeader records that no leader is known. The caller holds mu.
func (c *Client) forgetLeader() {
	c.leader, c.leaderLostAt = "", c.Now()
	close(c.leaderLost)
	c.leaderLost = make(chan struct{})
}

// leaderView is what a request needs to know of the leader.
type leaderView struct {
	// address is empty if no leader is known.
	address string
	term    uint64
	// changed is closed when another leader is recorded, lost when this one is lost.
	changed, lost <-chan struct{}
}

// currentLeader returns what is known of the leader.
func (c *Client) currentLeader() leaderView {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return leaderView{c.leader, c.term, c.leaderChanged, c.leaderLost}
}
