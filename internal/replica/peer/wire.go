package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"gypsumreel/internal/api/inner"
)

// clientConn is a client with a connection of its own, made at the first call. It
// speaks HTTP/2, whose headers cost a heartbeat far fewer bytes.
type clientConn struct {
	inner.Replica
	transport *http.Transport
	dialer    net.Dialer

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// newClientConn returns a wire to the peer of a link.
func (s *sender) newClientConn() *clientConn {
	c := &clientConn{dialer: net.Dialer{Timeout: s.pool.callTimeout()}}
	http2Only := new(http.Protocols)
	http2Only.SetHTTP2(true)
	http2Only.SetUnencryptedHTTP2(true)
	c.transport = &http.Transport{
		Protocols:          http2Only,
		DialContext:        c.dial,
		MaxConnsPerHost:    1,
		DisableCompression: true,
		IdleConnTimeout:    IdleTimeout,
	}
	scheme := "http://"
	if s.pool.TLS != nil {
		scheme = "https://"
		c.transport.TLSClientConfig = s.pool.TLS.Clone()
		c.transport.TLSClientConfig.ServerName = replicaName(s.peerID)
	}
	c.Replica = inner.NewReplicaProtobufClient(scheme+s.address, &http.Client{Transport: c.transport})
	return c
}

// dial makes a connection that close knows of.
func (c *clientConn) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c.conns = append(c.conns, conn)
	return conn, nil
}

// close closes the connection itself: a call that is given up ends only its
// stream in HTTP/2, and leaves a silent connection to the next one.
func (c *clientConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}
