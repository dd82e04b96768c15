package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"gypsumreel/internal/api/inner"
)

// wire is a client with a connection of its own, made at the first call. With
// TLS it speaks HTTP/2, whose headers cost a heartbeat far fewer bytes.
type wire struct {
	inner.Replica
	transport *http.Transport
	dialer    net.Dialer

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// dial returns a wire to the peer of a link.
func (l *link) dial() *wire {
	w := &wire{dialer: net.Dialer{Timeout: l.pool.timeout()}}
	w.transport = &http.Transport{
		DialContext:        w.connect,
		MaxConnsPerHost:    1,
		DisableCompression: true,
		ForceAttemptHTTP2:  true,
		IdleConnTimeout:    IdleTimeout,
	}
	scheme := "http://"
	if l.pool.TLS != nil {
		scheme = "https://"
		w.transport.TLSClientConfig = l.pool.TLS.Clone()
		w.transport.TLSClientConfig.ServerName = name(l.to)
	}
	w.Replica = inner.NewReplicaProtobufClient(scheme+l.address, &http.Client{Transport: w.transport})
	return w
}

// connect makes a connection that close knows of.
func (w *wire) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := w.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	w.conns = append(w.conns, conn)
	return conn, nil
}

// close closes the connection itself: a call that is given up ends only its
// stream in HTTP/2, and leaves a silent connection to the next one.
func (w *wire) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, conn := range w.conns {
		_ = conn.Close()
	}
	w.transport.CloseIdleConnections()
}
