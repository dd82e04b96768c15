package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"gypsumreel/internal/api/inner"
)

// clientConn is a client of one peer with a dedicated connection, which is opened by
// the first call. It uses HTTP/2, because compressed headers make heartbeats much
// smaller.
type clientConn struct {
	inner.Replica
	httpTransport *http.Transport
	dialer        net.Dialer

	mu sync.Mutex
	// conns holds every connection that was dialled, so that close can close them.
	conns  []net.Conn
	closed bool
}

// newClientConn returns a client of the sender's peer.
func (s *sender) newClientConn() *clientConn {
	c := &clientConn{dialer: net.Dialer{Timeout: s.transport.callTimeout()}}
	http2Only := new(http.Protocols)
	http2Only.SetHTTP2(true)
	http2Only.SetUnencryptedHTTP2(true)
	c.httpTransport = &http.Transport{
		Protocols:          http2Only,
		DialContext:        c.dial,
		MaxConnsPerHost:    1,
		DisableCompression: true,
		IdleConnTimeout:    IdleTimeout,
	}
	scheme := "http://"
	if s.transport.TLS != nil {
		scheme = "https://"
		c.httpTransport.TLSClientConfig = s.transport.TLS.Clone()
		c.httpTransport.TLSClientConfig.ServerName = replicaName(s.peerID)
	}
	c.Replica = inner.NewReplicaProtobufClient(scheme+s.address, &http.Client{Transport: c.httpTransport})
	return c
}

// dial opens a connection and registers it for close. It fails after close.
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

// close closes the network connection. In HTTP/2, a call that times out closes only
// its stream, so the next call would use the same broken connection.
func (c *clientConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.httpTransport.CloseIdleConnections()
}
