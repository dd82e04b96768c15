package files

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// dialTimeout is how long a dial waits for a free file. The connection attempt itself
// is not limited by it.
const dialTimeout = time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LimitDial wraps dial so that its connections count against the budget of a purpose.
// If no file is free, a dial calls reclaim, which closes idle connections, and waits.
func (b *Budget) LimitDial(p Purpose, dial DialFunc, reclaim func()) DialFunc {
	if b == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		waitCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := b.Acquire(waitCtx, p, reclaim); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return b.countedConn(p, func() (net.Conn, error) { return dial(ctx, network, address) })
	}
}

// countedConn opens a connection for which a file was acquired. Closing the connection
// releases the file.
func (b *Budget) countedConn(p Purpose, open func() (net.Conn, error)) (net.Conn, error) {
	c, err := open()
	if err != nil {
		b.Release(p)
		return nil, err
	}
	return &countedConn{Conn: c, release: sync.OnceFunc(func() { b.Release(p) })}, nil
}

// countedConn is a connection that releases its file when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// LimitListener wraps l so that its connections count against the budget of a purpose.
// If no file is free, new connections stay in the backlog of the operating system
// until another connection is closed.
func (b *Budget) LimitListener(p Purpose, l net.Listener) net.Listener {
	if b == nil {
		return l
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &limitedListener{Listener: l, budget: b, purpose: p, ctx: ctx, cancel: cancel}
}

// limitedListener is a listener that acquires a file before it accepts a connection.
type limitedListener struct {
	net.Listener
	budget  *Budget
	purpose Purpose
	ctx     context.Context
	cancel  context.CancelFunc
}

func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.budget.Acquire(l.ctx, l.purpose, func() {}); err != nil {
		return nil, net.ErrClosed
	}
	return l.budget.countedConn(l.purpose, l.Listener.Accept)
}

func (l *limitedListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// CloseUnderPressure wraps h so that HTTP/1 connections are closed after the response
// while the purpose is under pressure. This frees files for other clients.
func (b *Budget) CloseUnderPressure(p Purpose, h http.Handler) http.Handler {
	if b == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && b.UnderPressure(p) {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
