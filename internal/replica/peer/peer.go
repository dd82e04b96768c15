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

// Defaults and limits of a Pool.
const (
	// DefaultCallTimeout is the default timeout of a call, including dialling.
	DefaultCallTimeout = time.Second
	// DefaultMaxQueueBytes is the default of Pool.MaxQueueBytes.
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
func (p *Transport) initialize() {
	p.initOnce.Do(func() {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		p.done = make(chan struct{})
		p.senders = map[string]*sender{}
	})
}

// Send queues messages for a peer. If the queue is full, its oldest messages are
// dropped. Send never blocks and does not report whether messages are delivered.
func (p *Transport) Send(to, address string, data [][]byte) {
	p.initialize()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	s := p.senders[to]
	if s == nil || s.address != address {
		if s != nil {
			s.cancel()
		}
		s = newSender(p, to, address)
		p.senders[to] = s
		p.sendersRunning.Add(1)
		go s.run()
	}
	for _, b := range data {
		if len(b) > MaxMessageBytes {
			p.report(Event{MessageTooLarge, to, errors.Newf("message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessageBytes)})
			continue
		}
		s.enqueue(b)
	}
}

// Close closes all connections and waits until all senders have stopped.
func (p *Transport) Close() {
	p.initialize()
	p.mu.Lock()
	firstCall := !p.closed
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.sendersRunning.Wait()
	if firstCall {
		close(p.done)
	}
}

// Done returns a channel that is closed when Close has finished.
func (p *Transport) Done() <-chan struct{} {
	p.initialize()
	return p.done
}

// removeIdle removes an idle sender. It returns false if a message has been queued in
// the meantime.
func (p *Transport) removeIdle(s *sender) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.isEmpty() {
		return false
	}
	if p.senders[s.peerID] == s {
		delete(p.senders, s.peerID)
	}
	return true
}

func (p *Transport) report(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

func (p *Transport) callTimeout() time.Duration {
	if p.CallTimeout == 0 {
		return DefaultCallTimeout
	}
	return p.CallTimeout
}

func (p *Transport) maxQueueBytes() int {
	if p.MaxQueueBytes == 0 {
		return DefaultMaxQueueBytes
	}
	return p.MaxQueueBytes
}

// replicaName returns the NAME part of an ID. Certificates are issued for that name.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
