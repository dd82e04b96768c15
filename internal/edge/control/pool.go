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
	// sweepEvery is the period in which overdue items are looked for.
	sweepEvery = 50 * time.Millisecond
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

	prepare  sync.Once
	book     *book
	retries  *rate.Limiter
	meter    *meter
	started  time.Time
	contact  atomic.Int64 // nanoseconds from started to the start of the last call that a leader answered
	revision atomic.Uint64
	leader   atomic.Pointer[Replica]
	done     chan struct{}
}

func (p *Client) init() {
	p.prepare.Do(func() {
		setDefault(&p.MaxPending, DefaultMaxPending)
		setDefault(&p.MaxParallelPushes, DefaultMaxParallelPushes)
		setDefault(&p.MaxPushItems, DefaultMaxPushItems)
		setDefault(&p.LongPollWait, DefaultLongPollWait)
		setDefault(&p.CallTimeout, DefaultCallTimeout)
		setDefault(&p.MaxContactAge, DefaultMaxContactAge)
		setDefault(&p.LeaderWait, DefaultLeaderWait)
		if p.Dial == nil {
			p.Dial = (&net.Dialer{Timeout: p.CallTimeout}).DialContext
		}
		p.started = time.Now()
		p.contact.Store(-int64(p.MaxContactAge) - 1)
		p.book = newBook(p.MaxPending)
		p.retries = rate.NewLimiter(retryRate, retryBurst)
		p.meter = newMeter(p)
		p.done = make(chan struct{})
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Done is closed when Run has returned.
func (p *Client) Done() <-chan struct{} { p.init(); return p.done }

// TableRevision returns the newest revision of the table heard of from a leader.
func (p *Client) TableRevision() uint64 { return p.revision.Load() }

// Leader returns the replica that leads as far as known.
func (p *Client) Leader() (Replica, bool) {
	r := p.leader.Load()
	if r == nil {
		return Replica{}, false
	}
	return *r, true
}

// InContact tells whether a leader answered a call that began within the freshness bound.
func (p *Client) InContact() bool { p.init(); return p.age() <= p.MaxContactAge }

// Pending returns the number of items that wait for a reply.
func (p *Client) Pending() int { p.init(); return p.book.size() }

func (p *Client) age() time.Duration {
	return time.Since(p.started) - time.Duration(p.contact.Load())
}

// confirm notes that a leader answered a call that began at sent.
func (p *Client) confirm(sent time.Time) {
	at := int64(sent.Sub(p.started))
	for {
		old := p.contact.Load()
		if at <= old || p.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

// learn notes a revision of the table; an older one, from a late reply, is ignored.
func (p *Client) learn(revision uint64) {
	for {
		old := p.revision.Load()
		if revision <= old || p.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// Send sends the item to the leader and returns its reply. The error is a
// *code.Error: Unreachable or Overloaded when the item provably did not reach
// a leader, otherwise Unanswered.
func (p *Client) Send(ctx context.Context, item *inner.Item) (*inner.Reply, error) {
	p.init()
	if !p.InContact() && p.age() > p.MaxContactAge+p.LeaderWait {
		p.meter.refused.Inc()
		return nil, code.New(code.ControlUnreachable, "no leader for %v", p.age().Round(time.Millisecond))
	}
	c, err := p.book.add(ctx, item)
	if err != nil {
		p.meter.refused.Inc()
		return nil, err
	}
	select {
	case o := <-c.result:
		return o.reply, o.err
	case <-ctx.Done():
		return p.book.abandon(c, "the time given ran out")
	case <-p.done:
		return p.book.abandon(c, "the entry stops")
	}
}

// EndLongPolls ends the long polls under way with Leaving and refuses new ones, for a planned stop.
func (p *Client) EndLongPolls() { p.init(); p.book.endPolls() }

// Run serves until ctx ends. Items that still wait are then answered with an error.
func (p *Client) Run(ctx context.Context) error {
	p.init()
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.sweep(ctx) })

	wait := newBackoff()
	for ctx.Err() == nil {
		l, err := p.find(ctx)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		began := time.Now()
		p.leader.Store(&l.replica)
		event.Log(p.Log, event.LeaderDialled, "replica", l.replica.Name, "address", l.replica.Address)
		err = l.serve(ctx)
		p.leader.Store(nil)
		p.meter.moves.Inc()
		p.left(ctx, l, err)
		if time.Since(began) > p.MaxContactAge {
			wait.Reset()
		} else {
			sleep(ctx, wait.NextBackOff())
		}
	}
	return nil
}

// left logs why a link ended, unless the entry stops.
func (p *Client) left(ctx context.Context, l *link, why error) {
	switch {
	case ctx.Err() != nil || errors.Is(why, errAged):
	case errors.Is(why, errMoved):
		event.Log(p.Log, event.LeaderChanged, "from", l.replica.Name)
	default:
		event.LogError(p.Log, event.LeaderAway, why, "replica", l.replica.Name)
	}
}

// sweep refuses items that no leader was found for and sends unanswered ones again.
func (p *Client) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// A key may have been withdrawn since the last contact: past the bound
		// nothing that waits may be answered by what an old leader said.
		if !p.InContact() {
			p.meter.stale.Add(p.book.failStale(time.Now().Add(-p.LeaderWait)))
			continue
		}
		p.book.failUnsent(time.Now().Add(-p.LeaderWait))
		p.meter.resent.Add(p.book.requeueOverdue(time.Now(), p.retries))
	}
}

// Dump asks the replica of that name for its state.
func (p *Client) Dump(ctx context.Context, process string) (*v1.DumpReply, error) {
	p.init()
	for _, r := range p.Replicas {
		if r.Name != process {
			continue
		}
		l := p.link(r)
		defer l.close()
		reply, err := l.client.Dump(ctx, &v1.DumpRequest{Process: process})
		if err != nil {
			return nil, code.New(code.LeaderTimeout, "%s did not answer", process)
		}
		return reply, nil
	}
	return nil, code.New(code.NotFound, "process %q", process)
}

// link makes the connections to one replica, under a session number of its own.
func (p *Client) link(r Replica) *link {
	l := &link{pool: p, replica: r, session: rand.Uint64()}
	l.open()
	return l
}

var errNoLeader = errors.New("no replica leads")
