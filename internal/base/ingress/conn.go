package ingress

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumreel/internal/policy/eviction"
)

const (
	// headwayBytes is what a client sends for its connection to make headway. A client that sends
	// single bytes makes none.
	headwayBytes = 512
	// writeTimeout is the time in which a client takes one piece of an answer. The deadline of the
	// connection is set again when a part of that time is over, and not for each piece.
	writeTimeout     = 30 * time.Second
	deadlineInterval = time.Second
	// headerFactor is the memory that a header takes relative to its size.
	headerFactor = 2
)

// prefaceStart is how a connection of HTTP/2 begins.
var prefaceStart = []byte("PRI * HTTP/2")

// The phases of a connection.
const (
	phaseHeader int32 = iota
	phaseRequest
	phaseIdle
)

// conn is a connection of a client with what is known of its headway.
type conn struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once

	phase atomic.Int32
	// isShared is true on a connection of HTTP/2. Its requests are charged one by one.
	isShared atomic.Bool
	// answering counts the whole requests in progress. One of HTTP/1 is in progress until its answer
	// has been sent.
	answering atomic.Int32
	// isWriting is true while a part of an answer is being written.
	isWriting atomic.Bool
	// headway is the time of the last headway, and sinceHeadway the bytes received since.
	headway      atomic.Int64
	sinceHeadway atomic.Int64
	// deadlineSetAt is the time at which the write deadline was set. Only Write uses it.
	deadlineSetAt time.Duration
	// hasOwnDeadline is true while somebody else than Write has set the write deadline.
	hasOwnDeadline atomic.Bool
	// headerBytes is what the header of a request is charged for.
	headerBytes atomic.Int64
}

func newConn(c net.Conn, l *listener) *conn {
	wrapped := &conn{Conn: c, listener: l}
	wrapped.makeHeadway()
	return wrapped
}

// makeHeadway records that the client has made headway now.
func (c *conn) makeHeadway() {
	c.sinceHeadway.Store(0)
	c.headway.Store(int64(now()))
}

// waited returns the time from the last headway of the client to the given time.
func (c *conn) waited(at time.Duration) time.Duration { return at - time.Duration(c.headway.Load()) }

// state returns what the client does with the connection.
func (c *conn) state() eviction.State {
	switch {
	case c.isWriting.Load():
		return eviction.Unread
	case c.answering.Load() > 0 || c.isShared.Load() && c.waited(now()) < eviction.StallTime:
		return eviction.Answering
	case c.phase.Load() == phaseIdle:
		return eviction.Idle
	}
	return eviction.Sending
}

// Read reads from the connection. The bytes of a header are charged as they come.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.phase.CompareAndSwap(phaseIdle, phaseHeader) || c.sinceHeadway.Add(int64(n)) >= headwayBytes {
		c.makeHeadway()
	}
	if c.headerBytes.Load() == 0 && bytes.HasPrefix(p[:n], prefaceStart) {
		c.isShared.Store(true)
	}
	if c.phase.Load() == phaseHeader && !c.isShared.Load() {
		c.headerBytes.Add(headerFactor * int64(n))
		c.listener.gate.charge(headerFactor * int64(n))
	}
	return n, err
}

// Write writes to the connection and fails if the client does not take the bytes in time.
func (c *conn) Write(p []byte) (int, error) {
	at := now()
	c.headway.Store(int64(at))
	if !c.hasOwnDeadline.Load() && (c.deadlineSetAt == 0 || at-c.deadlineSetAt >= deadlineInterval) {
		c.deadlineSetAt = at
		_ = c.Conn.SetWriteDeadline(startedAt.Add(at + writeTimeout))
	}
	c.isWriting.Store(true)
	defer c.isWriting.Store(false)
	return c.Conn.Write(p)
}

// SetWriteDeadline sets a deadline that Write leaves as it is, such as the one for the end of a TLS
// connection. Without one, that is with a zero time, Write sets its own.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() && !c.hasOwnDeadline.Load() {
		return nil
	}
	if c.hasOwnDeadline.Store(!t.IsZero()); t.IsZero() {
		t = time.Now().Add(writeTimeout)
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite ends what is sent, so that the client reads the last answer before the connection closes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its place back.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.releaseHeader()
		c.listener.remove(c)
	})
	return err
}

// evict closes the connection although its client has not ended it.
func (c *conn) evict() { _ = c.Close() }

func (c *conn) releaseHeader() { c.listener.gate.held.Add(-c.headerBytes.Swap(0)) }

// beginRequest records that the header of a request has arrived.
func (c *conn) beginRequest(r *http.Request) {
	c.phase.Store(phaseRequest)
	if r.ProtoMajor > 1 && !c.isShared.Swap(true) {
		c.releaseHeader()
	}
}

// setState follows the states of the connection in the HTTP server.
func (c *conn) setState(s http.ConnState) {
	if s == http.StateIdle {
		c.releaseHeader()
		c.makeHeadway()
		c.phase.Store(phaseIdle)
		if !c.isShared.Load() {
			c.answering.Store(0)
		}
	}
}

// beginAnswer records that a request has arrived whole, and endAnswer that its handler has returned.
func (c *conn) beginAnswer() {
	if c != nil {
		c.answering.Add(1)
	}
}

func (c *conn) endAnswer() {
	if c != nil && c.isShared.Load() {
		c.makeHeadway()
		c.answering.Add(-1)
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// unwrap returns the connection below TLS, or nil if it has not been accepted by a Gate.
func unwrap(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	wrapped, _ := c.(*conn)
	return wrapped
}

// Configure makes a server follow the connections of the Gate's listeners.
func (g *Gate) Configure(s *http.Server) {
	if g == nil {
		return
	}
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if wrapped := unwrap(c); wrapped != nil {
			wrapped.setState(state)
		}
	}
}
