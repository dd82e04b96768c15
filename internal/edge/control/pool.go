// Package control is the entry's way to the control group's leader: it gathers
// items into batches, keeps a long poll open for the replies, and moves to
// another replica when the leader changes or a connection goes silent.
package control

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
)

// Defaults of the fields that are left zero.
const (
	// DefaultMaxPending bounds the items that wait for a reply.
	DefaultMaxPending = 8192
	// DefaultMaxParallelPushes bounds the Push calls under way at once.
	DefaultMaxParallelPushes = 4
	// DefaultMaxPushItems bounds the items of one Push.
	DefaultMaxPushItems = 512
	// DefaultLongPollWait is how long a Pull without replies is held open.
	DefaultLongPollWait = 500 * time.Millisecond
	// DefaultCallTimeout bounds a Push, and what a Pull may take beyond its patience.
	DefaultCallTimeout = 400 * time.Millisecond
	// DefaultMaxContactAge is the age of the last contact with the leader past which everything is refused.
	DefaultMaxContactAge = 2 * time.Second
	// DefaultLeaderWait is how long an item waits for a leader to be found.
	DefaultLeaderWait = time.Second
)

const (
	// sweepInterval is the period in which overdue items are looked for.
	sweepInterval = 50 * time.Millisecond
	// retryRate and retryBurst bound the calls and items that are sent again, per second.
	retryRate  = 400
	retryBurst = 2 * DefaultMaxPending
)

// Replica is one process of the control group.
type Replica struct {
	Name    string
	Address string
}

// Client carries items to the leader and replies back. Set the fields, then call Run.
type Client struct {
	// Cell and Name identify the entry to the leader.
	Cell string
	Name string
	// Replicas are the processes to look for the leader at.
	Replicas []Replica
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  logr.Logger
	// Metrics receives the pool's metrics; nil for none.
	Metrics *metrics.Set

	MaxPending        int
	MaxParallelPushes int
	MaxPushItems      int
	LongPollWait      time.Duration
	CallTimeout       time.Duration
	MaxContactAge     time.Duration
	LeaderWait        time.Duration

	initOnce      sync.Once
	queue         *callQueue
	retryLimiter  *rate.Limiter
	metrics       *clientMetrics
	startedAt     time.Time
	lastContact   atomic.Int64 // nanoseconds from started to the start of the last call that a leader answered
	tableRevision atomic.Uint64
	leader        atomic.Pointer[Replica]
	done          chan struct{}
}

func (c *Client) init() {
	c.initOnce.Do(func() {
		setDefault(&c.MaxPending, DefaultMaxPending)
		setDefault(&c.MaxParallelPushes, DefaultMaxParallelPushes)
		setDefault(&c.MaxPushItems, DefaultMaxPushItems)
		setDefault(&c.LongPollWait, DefaultLongPollWait)
		setDefault(&c.CallTimeout, DefaultCallTimeout)
		setDefault(&c.MaxContactAge, DefaultMaxContactAge)
		setDefault(&c.LeaderWait, DefaultLeaderWait)
		if c.Dial == nil {
			c.Dial = (&net.Dialer{Timeout: c.CallTimeout}).DialContext
		}
		c.startedAt = time.Now()
		c.lastContact.Store(-int64(c.MaxContactAge) - 1)
		c.queue = newCallQueue(c.MaxPending)
		c.retryLimiter = rate.NewLimiter(retryRate, retryBurst)
		c.metrics = newClientMetrics(c)
		c.done = make(chan struct{})
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { c.init(); return c.done }

// TableRevision returns the newest revision of the table heard of from a leader.
func (c *Client) TableRevision() uint64 { return c.tableRevision.Load() }

// Leader returns the replica that leads as far as known.
func (c *Client) Leader() (Replica, bool) {
	r := c.leader.Load()
	if r == nil {
		return Replica{}, false
	}
	return *r, true
}

// InContact tells whether a leader answered a call that began within the freshness bound.
func (c *Client) InContact() bool { c.init(); return c.contactAge() <= c.MaxContactAge }

// Pending returns the number of items that wait for a reply.
func (c *Client) Pending() int { c.init(); return c.queue.pendingCount() }

func (c *Client) contactAge() time.Duration {
	return time.Since(c.startedAt) - time.Duration(c.lastContact.Load())
}

// recordContact notes that a leader answered a call that began at sent.
func (c *Client) recordContact(startedAt time.Time) {
	contact := int64(startedAt.Sub(c.startedAt))
	for {
		current := c.lastContact.Load()
		if contact <= current || c.lastContact.CompareAndSwap(current, contact) {
			return
		}
	}
}

// raiseTableRevision notes a revision of the table; an older one, from a late reply, is ignored.
func (c *Client) raiseTableRevision(revision uint64) {
	for {
		current := c.tableRevision.Load()
		if revision <= current || c.tableRevision.CompareAndSwap(current, revision) {
			return
		}
	}
}

// Send sends the item to the leader and returns its reply. The error is a
// *code.Error: Unreachable or Overloaded when the item provably did not reach
// a leader, otherwise Unanswered.
func (c *Client) Send(ctx context.Context, item *inner.Item) (*inner.Reply, error) {
	c.init()
	if !c.InContact() && c.contactAge() > c.MaxContactAge+c.LeaderWait {
		c.metrics.refusedItems.Inc()
		return nil, code.New(code.Unreachable, "no leader for %v", c.contactAge().Round(time.Millisecond))
	}
	pendingCall, err := c.queue.add(ctx, item)
	if err != nil {
		c.metrics.refusedItems.Inc()
		return nil, err
	}
	select {
	case result := <-pendingCall.result:
		return result.reply, result.err
	case <-ctx.Done():
		return c.queue.abandon(pendingCall, "the time given ran out")
	case <-c.done:
		return c.queue.abandon(pendingCall, "the entry stops")
	}
}

// EndLongPolls ends the long polls under way with Leaving and refuses new ones, for a planned stop.
func (c *Client) EndLongPolls() { c.init(); c.queue.endLongPolls() }

// Run serves until ctx ends. Items that still wait are then answered with an error.
func (c *Client) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.sweepPending(ctx) })

	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		s, err := c.findLeader(ctx)
		if err != nil {
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		startedAt := time.Now()
		c.leader.Store(&s.replica)
		event.Log(c.Log, event.LeaderDialled, "replica", s.replica.Name, "address", s.replica.Address)
		err = s.run(ctx)
		c.leader.Store(nil)
		c.metrics.leaderChanges.Inc()
		c.logSessionEnd(ctx, s, err)
		if time.Since(startedAt) > c.MaxContactAge {
			retryBackoff.Reset()
		} else {
			sleep(ctx, retryBackoff.NextBackOff())
		}
	}
	return nil
}

// logSessionEnd logs why a link ended, unless the entry stops.
func (c *Client) logSessionEnd(ctx context.Context, s *session, cause error) {
	switch {
	case ctx.Err() != nil || errors.Is(cause, errMaxSessionAge):
	case errors.Is(cause, errNotLeader):
		event.Log(c.Log, event.LeaderChanged, "from", s.replica.Name)
	default:
		event.Fail(c.Log, event.LeaderAway, cause, "replica", s.replica.Name)
	}
}

// sweepPending refuses items that no leader was found for and sends unanswered ones again.
func (c *Client) sweepPending(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A key may have been withdrawn since the last contact: past the bound
		// nothing that waits may be answered by what an old leader said.
		if !c.InContact() {
			c.metrics.failedStale.Add(c.queue.failAddedBefore(time.Now().Add(-c.LeaderWait)))
			continue
		}
		c.queue.failUnsent(time.Now().Add(-c.LeaderWait))
		c.metrics.resentItems.Add(c.queue.requeueOverdue(time.Now(), c.retryLimiter))
	}
}

// Dump asks the replica of that name for its state.
func (c *Client) Dump(ctx context.Context, processName string) (*v1.DumpReply, error) {
	c.init()
	for _, r := range c.Replicas {
		if r.Name != processName {
			continue
		}
		s := c.newSession(r)
		defer s.close()
		reply, err := s.rpcClient.Dump(ctx, &v1.DumpRequest{Process: processName})
		if err != nil {
			return nil, code.New(code.Unanswered, "%s did not answer", processName)
		}
		return reply, nil
	}
	return nil, code.New(code.Unknown, "process %q", processName)
}

// newSession makes the connections to one replica, under a session number of its own.
func (c *Client) newSession(replica Replica) *session {
	s := &session{client: c, replica: replica, id: rand.Uint64()}
	s.initTransport()
	return s
}

var errNoLeader = errors.New("no replica leads")
