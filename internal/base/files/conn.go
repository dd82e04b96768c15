package files

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// patience is how long a dial waits for room.
const patience = time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LimitDial returns a dial whose connections count for a use. One that finds no room
// calls full, which closes idle ones, and waits.
func (b *Budget) LimitDial(u Purpose, dial DialFunc, full func()) DialFunc {
	if b == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		waiting, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		if err := b.Acquire(waiting, u, full); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return b.counted(u, func() (net.Conn, error) { return dial(ctx, network, address) })
	}
}

// counted returns a connection for which there is room; it counts until it is closed.
func (b *Budget) counted(u Purpose, open func() (net.Conn, error)) (net.Conn, error) {
	c, err := open()
	if err != nil {
		b.Release(u)
		return nil, err
	}
	return &conn{Conn: c, close: sync.OnceFunc(func() { b.Release(u) })}, nil
}

// conn is a connection that counts until it is closed.
type conn struct {
	net.Conn
	close func()
}

func (c *conn) Close() error {
	defer c.close()
	return c.Conn.Close()
}

// LimitListener returns a listener whose connections count for a use. Without room none is
// taken: those that come wait until another is closed.
func (b *Budget) LimitListener(u Purpose, l net.Listener) net.Listener {
	if b == nil {
		return l
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{Listener: l, budget: b, use: u, ctx: ctx, cancel: cancel}
}

type listener struct {
	net.Listener
	budget *Budget
	use    Purpose
	ctx    context.Context
	cancel context.CancelFunc
}

func (l *listener) Accept() (net.Conn, error) {
	if err := l.budget.Acquire(l.ctx, l.use, func() {}); err != nil {
		return nil, net.ErrClosed
	}
	return l.budget.counted(l.use, l.Listener.Accept)
}

func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// CloseUnderPressure returns a handler that lets connections end after their answer while the
// use is pressed, so that others find room.
func (b *Budget) CloseUnderPressure(u Purpose, h http.Handler) http.Handler {
	if b == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && b.UnderPressure(u) {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
