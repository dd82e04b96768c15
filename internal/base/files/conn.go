package files

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// dialTimeout is how long a dial waits for room.
const dialTimeout = time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LimitDial returns a dial whose connections count for a use. One that finds no room
// calls full, which closes idle ones, and waits.
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

// countedConn returns a connection for which there is room; it counts until it is closed.
func (b *Budget) countedConn(p Purpose, open func() (net.Conn, error)) (net.Conn, error) {
	c, err := open()
	if err != nil {
		b.Release(p)
		return nil, err
	}
	return &countedConn{Conn: c, release: sync.OnceFunc(func() { b.Release(p) })}, nil
}

// countedConn is a connection that counts until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// LimitListener returns a listener whose connections count for a use. Without room none is
// taken: those that come wait until another is closed.
func (b *Budget) LimitListener(p Purpose, l net.Listener) net.Listener {
	if b == nil {
		return l
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &limitedListener{Listener: l, budget: b, purpose: p, ctx: ctx, cancel: cancel}
}

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

// CloseUnderPressure returns a handler that lets connections end after their answer while the
// use is pressed, so that others find room.
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
