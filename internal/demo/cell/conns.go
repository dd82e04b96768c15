package cell

import (
	"net"
	"sync"
)

// connTracker keeps what listeners accepted, so that a kill can break it as the end
// of a process would.
type connTracker struct {
	net.Listener

	mu        sync.Mutex
	open      []net.Conn
	listeners []net.Listener
}

// track returns a listener that tells c of what it accepts.
func (c *connTracker) track(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
	return &trackedListener{Listener: l, tracker: c}
}

// Accept takes a connection and keeps it.
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

// Accept takes a connection and tells of it.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err == nil {
		t.tracker.add(conn)
	}
	return conn, err
}
