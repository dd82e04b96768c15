package ingress

import (
	"context"
	"net"
	"sync"
	"time"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/policy/eviction"
)

// reclaimInterval is the time between two attempts to close a connection for one that waits.
const reclaimInterval = 20 * time.Millisecond

// Limits bounds the connections of a listener.
type Limits struct {
	// Conns is the maximum number of open connections; 0 means no limit.
	Conns int
	// Budget counts the connections as open files of the purpose Use; nil counts nothing.
	Budget *files.Budget
	Use    files.Purpose
}

// Listen wraps l so that its connections stay within the limits. When a further one waits, the
// one that policy/eviction names is closed for it.
func (g *Gate) Listen(l net.Listener, limits Limits) net.Listener {
	if g == nil {
		return l
	}
	g.init()
	ctx, cancel := context.WithCancel(context.Background())
	wrapped := &listener{Listener: l, gate: g, limits: limits, ctx: ctx, cancel: cancel, open: map[*conn]bool{}, freed: make(chan struct{}, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, wrapped)
	return wrapped
}

// listener is a listener with limits and the list of its open connections.
type listener struct {
	net.Listener
	gate   *Gate
	limits Limits
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	open  map[*conn]bool
	freed chan struct{}
}

// Accept returns the next connection. One that waits for a place holds a file meanwhile, so that a
// connection is closed only when another one is there.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := l.awaitPlace(); err != nil {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	c := newConn(accepted, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// awaitPlace waits until the limits allow another connection, and takes a file for it.
func (l *listener) awaitPlace() error {
	for l.limits.Conns > 0 && l.size() >= l.limits.Conns {
		l.evictOne()
		select {
		case <-l.freed:
		case <-time.After(reclaimInterval):
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	}
	return l.limits.Budget.Acquire(l.ctx, l.limits.Use, l.evictOne)
}

func (l *listener) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// conns returns the open connections.
func (l *listener) conns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	return all
}

// evictOne closes the connection that gives way to one that waits, if there is any.
func (l *listener) evictOne() {
	at, conns := now(), l.conns()
	holdings := make([]eviction.Holding, len(conns))
	for i, c := range conns {
		holdings[i] = eviction.Holding{State: c.state(), Waited: c.waited(at)}
	}
	i := eviction.Connection(holdings)
	if i < 0 {
		return
	}
	l.gate.closedConns.Inc()
	if holdings[i].State != eviction.Idle {
		l.gate.logs.Log(l.gate.Log, event.ConnectionEvicted, "address", l.Addr().String(), "open", len(conns), "waited", holdings[i].Waited.String())
	}
	conns[i].evict()
}

// remove gives the place of a closed connection back.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.limits.Budget.Release(l.limits.Use)
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Close closes the listener. Open connections stay open.
func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
