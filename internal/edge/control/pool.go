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
	// DefaultLimit bounds the items that wait for a reply.
	DefaultLimit = 8192
	// DefaultFlights bounds the Push calls under way at once.
	DefaultFlights = 4
	// DefaultBatch bounds the items of one Push.
	DefaultBatch = 512
	// DefaultPatience is how long a Pull without replies is held open.
	DefaultPatience = 500 * time.Millisecond
	// DefaultTimeout bounds a Push, and what a Pull may take beyond its patience.
	DefaultTimeout = 400 * time.Millisecond
	// DefaultFreshness is the age of the last contact with the leader past which everything is refused.
	DefaultFreshness = 2 * time.Second
	// DefaultGrace is how long an item waits for a leader to be found.
	DefaultGrace = time.Second
)

const (
	// sweepEvery is the period in which overdue items are looked for.
	sweepEvery = 50 * time.Millisecond
	// retryRate and retryBurst bound the calls and items that are sent again, per second.
	retryRate  = 400
	retryBurst = 2 * DefaultLimit
)

// Replica is one process of the control group.
type Replica struct {
	Name    string
	Address string
}

// Pool carries items to the leader and replies back. Set the fields, then call Run.
type Pool struct {
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
	// Meters receives the pool's metrics; nil for none.
	Meters *metrics.Set

	Limit     int
	Flights   int
	Batch     int
	Patience  time.Duration
	Timeout   time.Duration
	Freshness time.Duration
	Grace     time.Duration

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

func (p *Pool) init() {
	p.prepare.Do(func() {
		setDefault(&p.Limit, DefaultLimit)
		setDefault(&p.Flights, DefaultFlights)
		setDefault(&p.Batch, DefaultBatch)
		setDefault(&p.Patience, DefaultPatience)
		setDefault(&p.Timeout, DefaultTimeout)
		setDefault(&p.Freshness, DefaultFreshness)
		setDefault(&p.Grace, DefaultGrace)
		if p.Dial == nil {
			p.Dial = (&net.Dialer{Timeout: p.Timeout}).DialContext
		}
		p.started = time.Now()
		p.contact.Store(-int64(p.Freshness) - 1)
		p.book = newBook(p.Limit)
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
func (p *Pool) Done() <-chan struct{} { p.init(); return p.done }

// Revision returns the newest revision of the table heard of from a leader.
func (p *Pool) Revision() uint64 { return p.revision.Load() }

// Leader returns the replica that leads as far as known.
func (p *Pool) Leader() (Replica, bool) {
	r := p.leader.Load()
	if r == nil {
		return Replica{}, false
	}
	return *r, true
}

// Fresh tells whether a leader answered a call that began within the freshness bound.
func (p *Pool) Fresh() bool { p.init(); return p.age() <= p.Freshness }

// Pending returns the number of items that wait for a reply.
func (p *Pool) Pending() int { p.init(); return p.book.size() }

func (p *Pool) age() time.Duration {
	return time.Since(p.started) - time.Duration(p.contact.Load())
}

// confirm notes that a leader answered a call that began at sent.
func (p *Pool) confirm(sent time.Time) {
	at := int64(sent.Sub(p.started))
	for {
		old := p.contact.Load()
		if at <= old || p.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

// learn notes a revision of the table; an older one, from a late reply, is ignored.
func (p *Pool) learn(revision uint64) {
	for {
		old := p.revision.Load()
		if revision <= old || p.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// Ask sends the item to the leader and returns its reply. The error is a
// *code.Error: Unreachable or Overloaded when the item provably did not reach
// a leader, otherwise Unanswered.
func (p *Pool) Ask(ctx context.Context, item *inner.Item) (*inner.Reply, error) {
	p.init()
	if !p.Fresh() && p.age() > p.Freshness+p.Grace {
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

// EndPolls ends the long polls under way with Leaving and refuses new ones, for a planned stop.
func (p *Pool) EndPolls() { p.init(); p.book.endPolls() }

// Run serves until ctx ends. Items that still wait are then answered with an error.
func (p *Pool) Run(ctx context.Context) error {
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
		if time.Since(began) > p.Freshness {
			wait.Reset()
		} else {
			sleep(ctx, wait.NextBackOff())
		}
	}
	return nil
}

// left logs why a link ended, unless the entry stops.
func (p *Pool) left(ctx context.Context, l *link, why error) {
	switch {
	case ctx.Err() != nil || errors.Is(why, errAged):
	case errors.Is(why, errMoved):
		event.Log(p.Log, event.LeaderChanged, "from", l.replica.Name)
	default:
		event.LogError(p.Log, event.LeaderAway, why, "replica", l.replica.Name)
	}
}

// sweep refuses items that no leader was found for and sends unanswered ones again.
func (p *Pool) sweep(ctx context.Context) {
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
		if !p.Fresh() {
			p.meter.stale.Add(p.book.failStale(time.Now().Add(-p.Grace)))
			continue
		}
		p.book.failUnsent(time.Now().Add(-p.Grace))
		p.meter.resent.Add(p.book.requeueOverdue(time.Now(), p.retries))
	}
}

// Dump asks the replica of that name for its state.
func (p *Pool) Dump(ctx context.Context, process string) (*v1.DumpReply, error) {
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
func (p *Pool) link(r Replica) *link {
	l := &link{pool: p, replica: r, session: rand.Uint64()}
	l.open()
	return l
}

var errNoLeader = errors.New("no replica leads")
