// Package control is the entry's client for the leader of the control group. It sends
// items in batches, receives replies by long polls, and moves to another replica when
// the leader changes or stops answering.
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

// Defaults of the fields of Client that are zero.
const (
	// DefaultMaxPending limits the number of items without a reply.
	DefaultMaxPending = 8192
	// DefaultMaxParallelPushes limits the number of Push calls in flight.
	DefaultMaxParallelPushes = 4
	// DefaultMaxPushItems limits the number of items in one Push.
	DefaultMaxPushItems = 512
	// DefaultLongPollWait is how long the leader holds a Pull while there are no replies.
	DefaultLongPollWait = 500 * time.Millisecond
	// DefaultCallTimeout is the timeout of a Push. The timeout of a Pull is the long-poll
	// wait plus this value.
	DefaultCallTimeout = 400 * time.Millisecond
	// DefaultMaxContactAge is the maximum age of the last contact with the leader. Beyond
	// it, requests fail unless a leader is found within the leader wait.
	DefaultMaxContactAge = 2 * time.Second
	// DefaultLeaderWait is how long an item waits until a leader is found.
	DefaultLeaderWait = time.Second
)

const (
	// sweepInterval is the interval between checks for overdue items.
	sweepInterval = 50 * time.Millisecond
	// retryRate limits how many calls and items are sent again per second. retryBurst is
	// the burst size of this limit.
	retryRate  = 400
	retryBurst = 2 * DefaultMaxPending
)

// Replica is one member of the control group.
type Replica struct {
	Name    string
	Address string
}

// Client sends items to the leader and receives the replies. The exported fields are set
// before Run.
type Client struct {
	// Cell and Name identify the entry to the leader.
	Cell string
	Name string
	// Replicas are the replicas that are probed in the search for the leader.
	Replicas []Replica
	// TLS is nil for connections without TLS.
	TLS *tls.Config
	// Dial opens connections. If nil, TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  logr.Logger
	// Metrics receives the metrics of the client. If nil, they are not exported.
	Metrics *metrics.Set

	// The following fields are limits and timeouts. A zero value selects the default.
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
	lastContact   atomic.Int64 // nanoseconds from startedAt to the start of the latest call that a leader answered
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

// TableRevision returns the highest revision of the team table that a leader reported.
func (c *Client) TableRevision() uint64 { return c.tableRevision.Load() }

// Leader returns the replica with which the client has a session. The second result is
// false if there is none.
func (c *Client) Leader() (Replica, bool) {
	r := c.leader.Load()
	if r == nil {
		return Replica{}, false
	}
	return *r, true
}

// InContact reports whether a leader answered a call that started within MaxContactAge.
func (c *Client) InContact() bool { c.init(); return c.contactAge() <= c.MaxContactAge }

// Pending returns the number of items without a reply.
func (c *Client) Pending() int { c.init(); return c.queue.pendingCount() }

func (c *Client) contactAge() time.Duration {
	return time.Since(c.startedAt) - time.Duration(c.lastContact.Load())
}

// recordContact records that a leader answered a call that started at startedAt.
func (c *Client) recordContact(startedAt time.Time) {
	contact := int64(startedAt.Sub(c.startedAt))
	for {
		current := c.lastContact.Load()
		if contact <= current || c.lastContact.CompareAndSwap(current, contact) {
			return
		}
	}
}

// raiseTableRevision records a revision of the team table. It ignores an older revision,
// which a late reply can carry.
func (c *Client) raiseTableRevision(revision uint64) {
	for {
		current := c.tableRevision.Load()
		if revision <= current || c.tableRevision.CompareAndSwap(current, revision) {
			return
		}
	}
}

// Send sends the item to the leader and returns its reply. The error is a *code.Error.
// Its code is ControlUnreachable or Overloaded if the item provably was not processed by a
// leader, ShuttingDown for a long poll while the entry shuts down, and LeaderTimeout
// otherwise.
func (c *Client) Send(ctx context.Context, item *inner.Item) (*inner.Reply, error) {
	c.init()
	if !c.InContact() && c.contactAge() > c.MaxContactAge+c.LeaderWait {
		c.metrics.refusedItems.Inc()
		return nil, code.New(code.ControlUnreachable, "no contact with the leader for %v", c.contactAge().Round(time.Millisecond))
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
		return c.queue.abandon(pendingCall, "the deadline passed")
	case <-c.done:
		return c.queue.abandon(pendingCall, "the entry is shutting down")
	}
}

// EndLongPolls fails the pending long polls with ShuttingDown and refuses new ones. It is
// part of a graceful shutdown.
func (c *Client) EndLongPolls() { c.init(); c.queue.endLongPolls() }

// Run finds the leader and exchanges items and replies with it until ctx is cancelled.
// Pending items then fail with an error.
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

// logSessionEnd logs why a session ended. It logs nothing if the entry is shutting down
// or the session reached its maximum age.
func (c *Client) logSessionEnd(ctx context.Context, s *session, cause error) {
	switch {
	case ctx.Err() != nil || errors.Is(cause, errMaxSessionAge):
	case errors.Is(cause, errNotLeader):
		event.Log(c.Log, event.LeaderChanged, "from", s.replica.Name)
	default:
		event.LogError(c.Log, event.LeaderAway, cause, "replica", s.replica.Name)
	}
}

// sweepPending fails items for which no leader was found in time and sends unanswered
// ones again.
func (c *Client) sweepPending(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A key may have been withdrawn since the last contact. Once the contact is too
		// old, pending items must not get a reply from a former leader.
		if !c.InContact() {
			c.metrics.failedStale.Add(c.queue.failAddedBefore(time.Now().Add(-c.LeaderWait)))
			continue
		}
		c.queue.failUnsent(time.Now().Add(-c.LeaderWait))
		c.metrics.resentItems.Add(c.queue.requeueOverdue(time.Now(), c.retryLimiter))
	}
}

// Dump requests the state dump of the replica with the given name.
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
			return nil, code.New(code.LeaderTimeout, "%s did not answer", processName)
		}
		return reply, nil
	}
	return nil, code.New(code.NotFound, "process %q", processName)
}

// newSession creates a session with the replica under a new random id. Connections are
// opened by its first calls.
func (c *Client) newSession(replica Replica) *session {
	s := &session{client: c, replica: replica, id: rand.Uint64()}
	s.initTransport()
	return s
}

var errNoLeader = errors.New("no replica is the leader")
