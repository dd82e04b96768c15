package cell

import (
	"net"
	"sync"
)

// conns keeps what listeners accepted, so that a kill can break it as the end
// of a process would.
type conns struct {
	net.Listener

	mu   sync.Mutex
	open []net.Conn
	more []net.Listener
}

// over returns a listener that tells c of what it accepts.
func (c *conns) over(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.more = append(c.more, l)
	return &told{Listener: l, to: c}
}

// Accept takes a connection and keeps it.
func (c *conns) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.keep(conn)
	}
	return conn, err
}

func (c *conns) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
}

func (c *conns) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Listener != nil {
		_ = c.Listener.Close()
	}
	for _, l := range c.more {
		_ = l.Close()
	}
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

type told struct {
	net.Listener
	to *conns
}

// Accept takes a connection and tells of it.
func (t *told) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err == nil {
		t.to.keep(conn)
	}
	return conn, err
}
