// Package peer carries consensus messages between the replicas of a control
// group. Messages may be lost, never altered, and never come from another cell
// or a replica that is not who it says; whoever sends must cope with loss.
package peer

import (
	"context"
	"crypto/tls"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of a Pool.
const (
	// DefaultCallTimeout bounds a call with all that belongs to it, dialling too.
	DefaultCallTimeout = time.Second
	// DefaultMaxQueueBytes bounds what waits for one peer.
	DefaultMaxQueueBytes = 32 << 20
	// MaxBatchBytes is what one call carries, but for a single larger message.
	MaxBatchBytes = 1 << 20
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 20 << 20
	// IdleTimeout is how long the connection to a peer is kept without a message.
	IdleTimeout = time.Minute
)

// EventKind says what an Event tells.
type EventKind uint8

// The kinds of event.
const (
	// MessageRefused tells of a message that came in and was not delivered.
	MessageRefused EventKind = iota + 1
	// CallsFailing tells that calls to a peer have begun to fail.
	CallsFailing
	// CallsRecovered tells that calls to a peer succeed again.
	CallsRecovered
	// MessageTooLarge tells of a message that exceeds MessageBytes and was not sent.
	MessageTooLarge
)

// Event is something that an operator may want to know.
type Event struct {
	Kind EventKind
	// Peer is the other side, as far as known.
	Peer string
	// Err is the cause; nil for Recovered.
	Err error
}

// Pool sends to all peers and takes what they send. Its fields are set before use.
type Pool struct {
	Cell string
	// Self is this replica's own ID, NAME/NONCE or NAME.
	Self string
	// TLS holds the own certificate and the authorities that peers are checked
	// with; both sides prove their name. Nil sends in plain.
	TLS *tls.Config
	// Deliver takes a message that came in; it must not block.
	Deliver func(from string, data []byte)
	// OnEvent takes events; it must not block. Nil drops them.
	OnEvent func(Event)
	// CallTimeout of a call; CallTimeout when 0.
	CallTimeout time.Duration
	// MaxQueueBytes bounds the bytes that wait for one peer; QueueBytes when 0.
	MaxQueueBytes int

	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	links  map[string]*link
	order  order
	run    sync.WaitGroup
	closed bool
}

// init makes the private parts on first use.
func (p *Pool) init() {
	p.once.Do(func() {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		p.done = make(chan struct{})
		p.links = map[string]*link{}
	})
}

// Send puts messages on the queue of a peer, whose oldest messages make room.
// It never blocks, and tells nothing about arrival.
func (p *Pool) Send(to, address string, data [][]byte) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l := p.links[to]
	if l == nil || l.address != address {
		if l != nil {
			l.stop()
		}
		l = newLink(p, to, address)
		p.links[to] = l
		p.run.Add(1)
		go l.run()
	}
	for _, b := range data {
		if len(b) > MaxMessageBytes {
			p.tell(Event{MessageTooLarge, to, errors.Newf("message of %d bytes, at most %d", len(b), MaxMessageBytes)})
			continue
		}
		l.push(b)
	}
}

// Close ends all connections and returns when everything has ended.
func (p *Pool) Close() {
	p.init()
	p.mu.Lock()
	first := !p.closed
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.run.Wait()
	if first {
		close(p.done)
	}
}

// Done is closed once Close has ended everything.
func (p *Pool) Done() <-chan struct{} {
	p.init()
	return p.done
}

// remove forgets a link that has had nothing to do; it tells false when
// something has come in meanwhile.
func (p *Pool) remove(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.empty() {
		return false
	}
	if p.links[l.to] == l {
		delete(p.links, l.to)
	}
	return true
}

func (p *Pool) tell(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

func (p *Pool) timeout() time.Duration {
	if p.CallTimeout == 0 {
		return DefaultCallTimeout
	}
	return p.CallTimeout
}

func (p *Pool) queue() int {
	if p.MaxQueueBytes == 0 {
		return DefaultMaxQueueBytes
	}
	return p.MaxQueueBytes
}

// name returns the NAME of an ID, which is what certificates carry.
func name(id string) string {
	before, _, _ := strings.Cut(id, "/")
	return before
}
