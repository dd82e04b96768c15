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
	// parallelPushThreshold is the queue length at which a further Push starts beside those under way.
	parallelPushThreshold = 32
	// maxBatchDelay is the longest wait for a batch to grow while a Push is under way.
	maxBatchDelay = time.Millisecond
	// maxConsecutiveFailures is the number of calls in a row that may fail before another leader is looked for.
	maxConsecutiveFailures = 2
	// maxSessionAge bounds the life of the connections to one replica.
	maxSessionAge = 5 * time.Minute
	// minPullInterval is kept between Pulls that return at once without replies.
	minPullInterval = 2 * time.Millisecond
)

var (
	errNotLeader     = errors.New("the replica does not lead")
	errUnresponsive  = errors.New("the replica does not answer")
	errMaxSessionAge = errors.New("the connections reached their age")
)

// session is the session with one replica while it leads.
type session struct {
	client  *Client
	replica Replica
	// id is new with each link, so that what an earlier link left on the
	// way can neither acknowledge nor answer anything of this one.
	id        uint64
	rpcClient inner.Control
	transport *http.Transport

	// consecutiveFailures counts the calls in a row that failed, pushes and pulls apart: a
	// Pull that never comes back must not hide behind pushes that do.
	consecutiveFailures [2]atomic.Int32
	// cancelPull ends the Pull under way, so that it is made again over a fresh connection.
	cancelPull atomic.Pointer[context.CancelFunc]
	// pullRestarted is true when a Pull was ended so.
	pullRestarted atomic.Bool
}

// The kinds of call, for the count of failures.
const (
	pushCall = iota
	pullCall
)

// initTransport makes the client. HTTP/1.1 is used because a call that is given up
// closes its own connection there: a connection that something on the way has
// forgotten is never used twice.
func (s *session) initTransport() {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.transport = &http.Transport{
		DialContext:         s.client.Dial,
		TLSClientConfig:     s.client.TLS.Clone(),
		Protocols:           protocols,
		MaxIdleConnsPerHost: s.client.MaxParallelPushes + 1,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	scheme := "http://"
	if s.client.TLS != nil {
		scheme = "https://"
	}
	s.rpcClient = inner.NewControlProtobufClient(scheme+s.replica.Address, &http.Client{Transport: s.transport})
}

func (s *session) close() { s.transport.CloseIdleConnections() }

func (s *session) newPushRequest(items []*inner.Item) *inner.PushRequest {
	return &inner.PushRequest{Cell: s.client.Cell, Entry: s.client.Name, Session: s.id, Items: items}
}

// run carries items and replies until the replica stops leading or answering.
func (s *session) run(ctx context.Context) error {
	ctx, endSession := context.WithCancelCause(ctx)
	defer endSession(nil)
	defer s.close()
	ageTimer := time.AfterFunc(maxSessionAge, func() { endSession(errMaxSessionAge) })
	defer ageTimer.Stop()
	// What an earlier leader left unanswered is asked again here: every item is idempotent.
	s.client.queue.requeueAll()
	var wg sync.WaitGroup
	wg.Go(func() { s.dispatchPushes(ctx, endSession) })
	wg.Go(func() { s.pullReplies(ctx, endSession) })
	wg.Wait()
	return context.Cause(ctx)
}

// dispatchPushes starts a Push for what has gathered: at once when none is under way,
// else when enough has gathered or the first has waited long enough.
func (s *session) dispatchPushes(ctx context.Context, endSession context.CancelCauseFunc) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, s.client.MaxParallelPushes)
	pushDone := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.client.queue.wakeup:
		}
		for s.client.queue.sendQueueLength() > 0 {
			if len(inFlight) > 0 && s.client.queue.sendQueueLength() < parallelPushThreshold {
				select {
				case <-pushDone:
				case <-time.After(maxBatchDelay):
				case <-ctx.Done():
					return
				}
			}
			select {
			case inFlight <- struct{}{}:
			case <-ctx.Done():
				return
			}
			batch := s.client.queue.dequeue(s.client.MaxPushItems)
			if len(batch) == 0 {
				<-inFlight
				continue
			}
			wg.Go(func() {
				s.pushBatch(ctx, endSession, batch)
				<-inFlight
				select {
				case pushDone <- struct{}{}:
				default:
				}
			})
		}
	}
}

// pushBatch pushes one batch, and once more over a fresh connection if that failed.
func (s *session) pushBatch(ctx context.Context, endSession context.CancelCauseFunc, batch []*call) {
	for ctx.Err() == nil {
		items, firstAttempts := s.client.queue.prepareForPush(batch)
		s.client.metrics.pushes.Inc()
		s.client.metrics.items.Add(len(items))
		startedAt := time.Now()
		reply, err := s.callPush(ctx, s.newPushRequest(items))
		if err != nil {
			if neverSent(err) {
				s.client.queue.markNotArrived(firstAttempts)
			}
			s.restartPull()
			if s.recordFailure(ctx, pushCall, endSession) {
				return
			}
			continue
		}
		if reply.GetRedirect() != nil {
			s.client.queue.markNotArrived(firstAttempts) // the replica says that it looked at nothing
			s.client.queue.requeuePending(batch)
			endSession(errNotLeader)
			return
		}
		s.recordSuccess(pushCall, startedAt)
		s.handleRefused(firstAttempts, reply.GetRefused())
		return
	}
}

// restartPull ends the Pull under way after a Push that got no answer: whatever
// forgot that connection has likely forgotten this one too, and a Pull shows
// its silence only at the end of its patience.
func (s *session) restartPull() {
	if cancel := s.cancelPull.Load(); cancel != nil {
		s.pullRestarted.Store(true)
		(*cancel)()
	}
}

// neverSent tells whether the call ended before it had a connection to write to.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (s *session) callPush(ctx context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.CallTimeout)
	defer cancel()
	return s.rpcClient.Push(ctx, req)
}

// handleRefused handles the items that the leader had no room for. One that no earlier
// Push carried was provably not run; any other is sent again when overdue.
func (s *session) handleRefused(firstAttempts []*call, refused []uint64) {
	if len(refused) == 0 {
		return
	}
	refusedSeqs := make(map[uint64]bool, len(refused))
	for _, seq := range refused {
		refusedSeqs[seq] = true
	}
	var notProcessed []*call
	for _, c := range firstAttempts {
		if refusedSeqs[c.item.Seq] {
			notProcessed = append(notProcessed, c)
		}
	}
	s.client.metrics.refusedItems.Add(len(notProcessed))
	s.client.queue.failRefused(notProcessed)
}

// pullPosition is how far the replies have been taken: ack counts within its epoch.
type pullPosition struct {
	epoch uint64
	ack   uint64
}

// pullReplies keeps a long poll open for replies.
func (s *session) pullReplies(ctx context.Context, endSession context.CancelCauseFunc) {
	var position pullPosition
	for ctx.Err() == nil {
		startedAt := time.Now()
		reply, err := s.callPull(ctx, position)
		if err != nil {
			if s.pullRestarted.Swap(false) {
				continue
			}
			if s.recordFailure(ctx, pullCall, endSession) || !s.stillLeads(ctx, endSession) {
				return
			}
			continue
		}
		if reply.GetRedirect() != nil {
			endSession(errNotLeader)
			return
		}
		s.pullRestarted.Store(false)
		s.recordSuccess(pullCall, startedAt)
		s.client.raiseTableRevision(reply.GetRevision())
		// The answer holds everything past the number acknowledged, so its last number is the next one.
		if n := len(reply.GetReplies()); n > 0 {
			position = pullPosition{reply.GetEpoch(), reply.GetFirst() + uint64(n) - 1}
		} else if time.Since(startedAt) < minPullInterval {
			sleep(ctx, minPullInterval)
		}
		if !s.deliverReplies(reply.GetReplies()) {
			endSession(errNotLeader)
			return
		}
	}
}

func (s *session) callPull(ctx context.Context, position pullPosition) (*inner.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.LongPollWait+s.client.CallTimeout)
	defer cancel()
	s.cancelPull.Store(&cancel)
	return s.rpcClient.Pull(ctx, &inner.PullRequest{
		Cell: s.client.Cell, Entry: s.client.Name, Session: s.id,
		Epoch: position.epoch, Ack: position.ack, Revision: s.client.TableRevision(), Patience: uint64(s.client.LongPollWait.Milliseconds()),
	})
}

// stillLeads asks over another connection whether the replica still leads, after a
// Pull that stayed silent: only its connection may be at fault.
func (s *session) stillLeads(ctx context.Context, endSession context.CancelCauseFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, s.client.CallTimeout)
	defer cancel()
	if _, leads := s.probe(ctx); !leads {
		endSession(errUnresponsive)
		return false
	}
	return true
}

// deliverReplies hands out replies. It returns false when the replica says that it no
// longer leads: such items wait for the next leader.
func (s *session) deliverReplies(replies []*inner.Reply) bool {
	leads := true
	for _, r := range replies {
		if r.GetStatus().GetCode() == uint32(code.NoLeader) {
			leads = false
			continue
		}
		if !s.client.queue.deliver(r) {
			s.client.metrics.lateReplies.Inc()
		}
	}
	return leads
}

// recordFailure counts a call that failed and drops the idle connections, which may
// have gone silent with it. It returns true when the link is given up.
func (s *session) recordFailure(ctx context.Context, callKind int, endSession context.CancelCauseFunc) bool {
	if ctx.Err() != nil {
		return true
	}
	s.transport.CloseIdleConnections()
	s.client.metrics.callFailures.Inc()
	event.Log(s.client.Log, event.ConnectionSilent, "replica", s.replica.Name)
	if failures := s.consecutiveFailures[callKind].Add(1); failures >= maxConsecutiveFailures || !s.client.retryLimiter.Allow() {
		endSession(errUnresponsive)
		return true
	}
	return false
}

func (s *session) recordSuccess(callKind int, startedAt time.Time) {
	s.client.recordContact(startedAt)
	s.consecutiveFailures[callKind].Store(0)
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
