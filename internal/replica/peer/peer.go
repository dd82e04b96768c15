// Package peer transports consensus messages between the replicas of a control
// group. It may lose messages, so senders must tolerate loss. It never alters them,
// and it delivers no messages from other cells or from unauthenticated replicas.
package peer

import (
	"context"
	"crypto/tls"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults and limits of a Transport.
const (
	// DefaultCallTimeout is the default timeout of a call, including dialling.
	DefaultCallTimeout = time.Second
	// DefaultMaxQueueBytes is the default of Transport.MaxQueueBytes.
	DefaultMaxQueueBytes = 32 << 20
	// MaxBatchBytes limits the messages in one call. A single message may be larger.
	MaxBatchBytes = 1 << 20
	// MaxMessageBytes limits the size of one message. Send drops larger messages.
	MaxMessageBytes = 20 << 20
	// IdleTimeout is the time after which the connection to a peer is closed if no
	// message is sent.
	IdleTimeout = time.Minute
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// MessageRefused means that a received message was not delivered.
	MessageRefused EventKind = iota + 1
	// CallsFailing means that calls to a peer have started to fail.
	CallsFailing
	// CallsRecovered means that calls to a peer succeed again.
	CallsRecovered
	// MessageTooLarge means that a message was not sent because it exceeds
	// MaxMessageBytes.
	MessageTooLarge
)

// Event reports a connection or message problem, or its end, to the operators.
type Event struct {
	Kind EventKind
	// Peer is the ID of the other replica, or its address if the ID is unknown. In a
	// MessageRefused event, the ID is not verified.
	Peer string
	// Err is the cause. It is nil for CallsRecovered.
	Err error
}

// Transport sends messages to all peers and receives messages from them. The exported
// fields must be set before use.
type Transport struct {
	Cell string
	// Self is the ID of this replica: NAME/NONCE or NAME.
	Self string
	// TLS holds the certificate of this replica and the authorities that verify the
	// certificates of peers. Both sides authenticate each other. If it is nil, messages
	// are sent without TLS.
	TLS *tls.Config
	// Deliver handles a received message. It must not block.
	Deliver func(from string, data []byte)
	// OnEvent handles events. It must not block. If it is nil, events are dropped.
	OnEvent func(Event)
	// CallTimeout is the timeout of a call. 0 selects DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxQueueBytes limits the size of the messages that are queued for one peer.
	// 0 selects DefaultMaxQueueBytes.
	MaxQueueBytes int

	initOnce       sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
	mu             sync.Mutex
	senders        map[string]*sender
	callOrder      callOrder
	sendersRunning sync.WaitGroup
	closed         bool
}

// initialize sets up the unexported fields on first use.
func (t *Transport) initialize() {
	t.initOnce.Do(func() {
		t.ctx, t.cancel = context.WithCancel(context.Background())
		t.done = make(chan struct{})
		t.senders = map[string]*sender{}
	})
}

// Send queues messages for a peer. If the queue is full, its oldest messages are
// dropped. Send never blocks and does not report whether messages are delivered.
func (t *Transport) Send(to, address string, data [][]byte) {
	t.initialize()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	s := t.senders[to]
	if s == nil || s.address != address {
		if s != nil {
			s.cancel()
		}
		s = newSender(t, to, address)
		t.senders[to] = s
		t.sendersRunning.Add(1)
		go s.run()
	}
	for _, b := range data {
		if len(b) > MaxMessageBytes {
			t.report(Event{MessageTooLarge, to, errors.Newf("message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessageBytes)})
			continue
		}
		s.enqueue(b)
	}
}

// Close closes all connections and waits until all senders have stopped.
func (t *Transport) Close() {
	t.initialize()
	t.mu.Lock()
	firstCall := !t.closed
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.sendersRunning.Wait()
	if firstCall {
		close(t.done)
	}
}

// Done returns a channel that is closed when Close has finished.
func (t *Transport) Done() <-chan struct{} {
	t.initialize()
	return t.done
}

// removeIdle removes an idle sender. It returns false if a message has been queued in
// the meantime.
func (t *Transport) removeIdle(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.isEmpty() {
		return false
	}
	if t.senders[s.peerID] == s {
		delete(t.senders, s.peerID)
	}
	return true
}

func (t *Transport) report(e Event) {
	if t.OnEvent != nil {
		t.OnEvent(e)
	}
}

func (t *Transport) callTimeout() time.Duration {
	if t.CallTimeout == 0 {
		return DefaultCallTimeout
	}
	return t.CallTimeout
}

func (t *Transport) maxQueueBytes() int {
	if t.MaxQueueBytes == 0 {
		return DefaultMaxQueueBytes
	}
	return t.MaxQueueBytes
}

// replicaName returns the NAME part of an ID. Certificates are issued for that name.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
