package cell

import (
	"net"
	"sync"
)

// connTracker records the connections that the listeners of a process accept, so that
// Kill can close them all as the end of the process would.
type connTracker struct {
	net.Listener

	mu        sync.Mutex
	open      []net.Conn
	listeners []net.Listener
}

// track returns a listener whose accepted connections are recorded in c.
func (c *connTracker) track(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
	return &trackedListener{Listener: l, tracker: c}
}

// Accept accepts a connection and records it.
func (c *connTracker) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.add(conn)
	}
	return conn, err
}

func (c *connTracker) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
}

func (c *connTracker) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Listener != nil {
		_ = c.Listener.Close()
	}
	for _, l := range c.listeners {
		_ = l.Close()
	}
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept accepts a connection and records it in the tracker.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err == nil {
		t.tracker.add(conn)
	}
	return conn, err
}
