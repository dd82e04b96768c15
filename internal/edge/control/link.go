package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
)

const (
	// gather is the queue length at which a further Push starts beside those under way.
	gather = 32
	// linger is the longest wait for a batch to grow while a Push is under way.
	linger = time.Millisecond
	// maxFailures is the number of calls in a row that may fail before another leader is looked for.
	maxFailures = 2
	// maxAge bounds the life of the connections to one replica.
	maxAge = 5 * time.Minute
	// minPause is kept between Pulls that return at once without replies.
	minPause = 2 * time.Millisecond
)

var (
	errMoved  = errors.New("the replica does not lead")
	errSilent = errors.New("the replica does not answer")
	errAged   = errors.New("the connections reached their age")
)

// link is the session with one replica while it leads.
type link struct {
	pool    *Client
	replica Replica
	// session is new with each link, so that what an earlier link left on the
	// way can neither acknowledge nor answer anything of this one.
	session uint64
	client  inner.Control
	wire    *http.Transport

	// failures counts the calls in a row that failed, pushes and pulls apart: a
	// Pull that never comes back must not hide behind pushes that do.
	failures [2]atomic.Int32
	// repoll ends the Pull under way, so that it is made again over a fresh connection.
	repoll atomic.Pointer[context.CancelFunc]
	// hurried is true when a Pull was ended so.
	hurried atomic.Bool
}

// The kinds of call, for the count of failures.
const (
	pushing = iota
	pulling
)

// open makes the client. HTTP/1.1 is used because a call that is given up
// closes its own connection there: a connection that something on the way has
// forgotten is never used twice.
func (l *link) open() {
	only := new(http.Protocols)
	only.SetHTTP1(true)
	l.wire = &http.Transport{
		DialContext:         l.pool.Dial,
		TLSClientConfig:     l.pool.TLS.Clone(),
		Protocols:           only,
		MaxIdleConnsPerHost: l.pool.MaxParallelPushes + 1,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	scheme := "http://"
	if l.pool.TLS != nil {
		scheme = "https://"
	}
	l.client = inner.NewControlProtobufClient(scheme+l.replica.Address, &http.Client{Transport: l.wire})
}

func (l *link) close() { l.wire.CloseIdleConnections() }

func (l *link) push(items []*inner.Item) *inner.PushRequest {
	return &inner.PushRequest{Cell: l.pool.Cell, Entry: l.pool.Name, Session: l.session, Items: items}
}

// serve carries items and replies until the replica stops leading or answering.
func (l *link) serve(ctx context.Context) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	defer l.close()
	aged := time.AfterFunc(maxAge, func() { fail(errAged) })
	defer aged.Stop()
	// What an earlier leader left unanswered is asked again here: every item is idempotent.
	l.pool.book.requeueAll()
	var wg sync.WaitGroup
	wg.Go(func() { l.dispatch(ctx, fail) })
	wg.Go(func() { l.pull(ctx, fail) })
	wg.Wait()
	return context.Cause(ctx)
}

// dispatch starts a Push for what has gathered: at once when none is under way,
// else when enough has gathered or the first has waited long enough.
func (l *link) dispatch(ctx context.Context, fail context.CancelCauseFunc) {
	var wg sync.WaitGroup
	defer wg.Wait()
	flights := make(chan struct{}, l.pool.MaxParallelPushes)
	landed := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.pool.book.wake:
		}
		for l.pool.book.waiting() > 0 {
			if len(flights) > 0 && l.pool.book.waiting() < gather {
				select {
				case <-landed:
				case <-time.After(linger):
				case <-ctx.Done():
					return
				}
			}
			select {
			case flights <- struct{}{}:
			case <-ctx.Done():
				return
			}
			batch := l.pool.book.take(l.pool.MaxPushItems)
			if len(batch) == 0 {
				<-flights
				continue
			}
			wg.Go(func() {
				l.send(ctx, fail, batch)
				<-flights
				select {
				case landed <- struct{}{}:
				default:
				}
			})
		}
	}
}

// send pushes one batch, and once more over a fresh connection if that failed.
func (l *link) send(ctx context.Context, fail context.CancelCauseFunc, batch []*call) {
	for ctx.Err() == nil {
		items, fresh := l.pool.book.expose(batch)
		l.pool.meter.pushes.Inc()
		l.pool.meter.items.Add(len(items))
		sent := time.Now()
		reply, err := l.try(ctx, l.push(items))
		if err != nil {
			if neverSent(err) {
				l.pool.book.conceal(fresh)
			}
			l.hurry()
			if l.failed(ctx, pushing, fail) {
				return
			}
			continue
		}
		if reply.GetRedirect() != nil {
			l.pool.book.conceal(fresh) // the replica says that it looked at nothing
			l.pool.book.requeue(batch)
			fail(errMoved)
			return
		}
		l.worked(pushing, sent)
		l.settle(fresh, reply.GetRefused())
		return
	}
}

// hurry ends the Pull under way after a Push that got no answer: whatever
// forgot that connection has likely forgotten this one too, and a Pull shows
// its silence only at the end of its patience.
func (l *link) hurry() {
	if cancel := l.repoll.Load(); cancel != nil {
		l.hurried.Store(true)
		(*cancel)()
	}
}

// neverSent tells whether the call ended before it had a connection to write to.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (l *link) try(ctx context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.pool.CallTimeout)
	defer cancel()
	return l.client.Push(ctx, req)
}

// settle handles the items that the leader had no room for. One that no earlier
// Push carried was provably not run; any other is sent again when overdue.
func (l *link) settle(fresh []*call, refused []uint64) {
	if len(refused) == 0 {
		return
	}
	full := make(map[uint64]bool, len(refused))
	for _, seq := range refused {
		full[seq] = true
	}
	var unseen []*call
	for _, c := range fresh {
		if full[c.item.Seq] {
			unseen = append(unseen, c)
		}
	}
	l.pool.meter.refused.Add(len(unseen))
	l.pool.book.refuse(unseen)
}

// mark is how far the replies have been taken: ack counts within its epoch.
type mark struct {
	epoch uint64
	ack   uint64
}

// pull keeps a long poll open for replies.
func (l *link) pull(ctx context.Context, fail context.CancelCauseFunc) {
	var at mark
	for ctx.Err() == nil {
		sent := time.Now()
		reply, err := l.poll(ctx, at)
		if err != nil {
			if l.hurried.Swap(false) {
				continue
			}
			if l.failed(ctx, pulling, fail) || !l.alive(ctx, fail) {
				return
			}
			continue
		}
		if reply.GetRedirect() != nil {
			fail(errMoved)
			return
		}
		l.hurried.Store(false)
		l.worked(pulling, sent)
		l.pool.learn(reply.GetRevision())
		// The answer holds everything past the number acknowledged, so its last number is the next one.
		if n := len(reply.GetReplies()); n > 0 {
			at = mark{reply.GetEpoch(), reply.GetFirst() + uint64(n) - 1}
		} else if time.Since(sent) < minPause {
			sleep(ctx, minPause)
		}
		if !l.deliver(reply.GetReplies()) {
			fail(errMoved)
			return
		}
	}
}

func (l *link) poll(ctx context.Context, at mark) (*inner.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.pool.LongPollWait+l.pool.CallTimeout)
	defer cancel()
	l.repoll.Store(&cancel)
	return l.client.Pull(ctx, &inner.PullRequest{
		Cell: l.pool.Cell, Entry: l.pool.Name, Session: l.session,
		Epoch: at.epoch, Ack: at.ack, Revision: l.pool.TableRevision(), Patience: uint64(l.pool.LongPollWait.Milliseconds()),
	})
}

// alive asks over another connection whether the replica still leads, after a
// Pull that stayed silent: only its connection may be at fault.
func (l *link) alive(ctx context.Context, fail context.CancelCauseFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, l.pool.CallTimeout)
	defer cancel()
	if _, leads := l.probe(ctx); !leads {
		fail(errSilent)
		return false
	}
	return true
}

// deliver hands out replies. It returns false when the replica says that it no
// longer leads: such items wait for the next leader.
func (l *link) deliver(replies []*inner.Reply) bool {
	leads := true
	for _, r := range replies {
		if r.GetStatus().GetCode() == uint32(code.NoLeader) {
			leads = false
			continue
		}
		if !l.pool.book.deliver(r) {
			l.pool.meter.late.Inc()
		}
	}
	return leads
}

// failed counts a call that failed and drops the idle connections, which may
// have gone silent with it. It returns true when the link is given up.
func (l *link) failed(ctx context.Context, kind int, fail context.CancelCauseFunc) bool {
	if ctx.Err() != nil {
		return true
	}
	l.wire.CloseIdleConnections()
	l.pool.meter.failures.Inc()
	event.Log(l.pool.Log, event.ConnectionSilent, "replica", l.replica.Name)
	if n := l.failures[kind].Add(1); n >= maxFailures || !l.pool.retries.Allow() {
		fail(errSilent)
		return true
	}
	return false
}

func (l *link) worked(kind int, sent time.Time) {
	l.pool.confirm(sent)
	l.failures[kind].Store(0)
}

// newBackoff returns the jittered pauses between searches for a leader.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 10 * time.Millisecond
	b.MaxInterval = 250 * time.Millisecond
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
