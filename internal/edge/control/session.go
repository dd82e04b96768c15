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
	// parallelPushThreshold is the length of the send queue at which another Push starts
	// while one is in flight.
	parallelPushThreshold = 32
	// maxBatchDelay limits how long a batch is collected while a Push is in flight.
	maxBatchDelay = time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failed calls of one kind that
	// ends the session.
	maxConsecutiveFailures = 2
	// maxSessionAge limits how long the connections to one replica are used.
	maxSessionAge = 5 * time.Minute
	// minPullInterval limits the rate of Pulls when a replica returns without replies
	// immediately instead of holding the Pull.
	minPullInterval = 2 * time.Millisecond
)

var (
	errNotLeader     = errors.New("the replica is not the leader")
	errUnresponsive  = errors.New("the replica does not answer")
	errMaxSessionAge = errors.New("the session reached its maximum age")
)

// session sends items to one replica and receives replies, for as long as that replica
// is the leader.
type session struct {
	client  *Client
	replica Replica
	// id is a random number for each session. Delayed messages of an earlier session
	// cannot acknowledge or answer items of this one.
	id        uint64
	rpcClient inner.Control
	transport *http.Transport

	// consecutiveFailures counts consecutive failed calls, separately for Push and Pull.
	// With one common counter, successful Pushes would hide that every Pull fails.
	consecutiveFailures [2]atomic.Int32
	// cancelPull cancels the Pull in flight, so that it is repeated over a new connection.
	cancelPull atomic.Pointer[context.CancelFunc]
	// pullRestarted is true if restartPull cancelled the Pull in flight.
	pullRestarted atomic.Bool
}

// Indexes of session.consecutiveFailures.
const (
	pushCall = iota
	pullCall
)

// initTransport creates the HTTP transport and the RPC client. With HTTP/1.1, cancelling
// a call closes its connection. A connection that a middlebox dropped silently is
// therefore not used a second time.
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

// run sends items and receives replies until the replica is no longer the leader, stops
// answering, or the session reaches its maximum age.
func (s *session) run(ctx context.Context) error {
	ctx, endSession := context.WithCancelCause(ctx)
	defer endSession(nil)
	defer s.close()
	ageTimer := time.AfterFunc(maxSessionAge, func() { endSession(errMaxSessionAge) })
	defer ageTimer.Stop()
	// Items that an earlier leader did not answer are sent again. This is safe because
	// every item is idempotent.
	s.client.queue.requeueAll()
	var wg sync.WaitGroup
	wg.Go(func() { s.dispatchPushes(ctx, endSession) })
	wg.Go(func() { s.pullReplies(ctx, endSession) })
	wg.Wait()
	return context.Cause(ctx)
}

// dispatchPushes pushes the queued items in batches. If no Push is in flight, a Push
// starts immediately. Otherwise it starts once the queue has parallelPushThreshold
// items, a Push has ended, or maxBatchDelay has passed.
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

// pushBatch pushes one batch. After a failure it repeats the Push over a new connection
// until recordFailure ends the session.
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
			ended := s.recordFailure(ctx, pushCall, endSession)
			s.restartPull()
			if ended {
				return
			}
			continue
		}
		if reply.GetRedirect() != nil {
			s.client.queue.markNotArrived(firstAttempts) // a replica that redirects has processed no item
			s.client.queue.requeuePending(batch)
			endSession(errNotLeader)
			return
		}
		s.recordSuccess(pushCall, startedAt)
		s.handleRefused(firstAttempts, reply.GetRefused())
		return
	}
}

// restartPull cancels the Pull in flight after a Push without an answer. A fault that
// silently dropped the connection of the Push probably dropped that of the Pull too,
// and the Pull would detect this only when its long poll times out. The caller has closed
// the idle connections: the repeated Pull would take one that was dropped too.
func (s *session) restartPull() {
	if cancel := s.cancelPull.Load(); cancel != nil {
		s.pullRestarted.Store(true)
		(*cancel)()
	}
}

// neverSent reports whether the call failed before it had a connection.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (s *session) callPush(ctx context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.CallTimeout)
	defer cancel()
	return s.rpcClient.Push(ctx, req)
}

// handleRefused handles the items that the leader refused because its queue is full. An
// item that no earlier Push can have delivered provably did not run, so its call fails.
// Any other item is sent again when it is overdue.
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

// pullPosition identifies the last reply that was received. Numbers in ack are valid only
// within their epoch.
type pullPosition struct {
	epoch uint64
	ack   uint64
}

// pullReplies receives replies by long polls until the session ends.
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
		// The response holds all replies after the acknowledged one. The number of the
		// last one is acknowledged with the next Pull.
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

// stillLeads probes over another connection whether the replica is still the leader, and
// ends the session if it is not. It is used after a Pull without an answer, because the
// fault may concern only the connection of that Pull.
func (s *session) stillLeads(ctx context.Context, endSession context.CancelCauseFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, s.client.CallTimeout)
	defer cancel()
	if _, leads := s.probe(ctx); !leads {
		endSession(errUnresponsive)
		return false
	}
	return true
}

// deliverReplies passes replies to the requesters. It returns false if a reply reports
// that the replica is no longer the leader. Items with such a reply stay pending for the
// next leader.
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

// recordFailure counts a failed call and closes the idle connections, because the same
// fault may have silently dropped them. It returns true if the session has ended.
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

// newBackoff returns the jittered backoff between searches for a leader.
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
