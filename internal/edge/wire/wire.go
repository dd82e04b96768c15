// Package wire makes the HTTP clients between processes, and tells what a failed
// call means for whoever must not repeat it.
package wire

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"gypsumreel/internal/base/files"
)

// Bounds of the connections.
const (
	// DialTimeout bounds the opening of a connection: a round trip between
	// regions and one lost packet.
	DialTimeout = 700 * time.Millisecond
	// IdleTimeout is how long a connection is kept without a call.
	IdleTimeout = 90 * time.Second
	// userTimeout is how long written bytes may stay unacknowledged before the
	// kernel ends the connection. A peer without power answers nothing, and
	// something between the ends may have forgotten the connection.
	userTimeout = 3 * time.Second
	// keepAlive is how often an idle connection is probed.
	keepAlive = 5 * time.Second
	// pingAfter is how long a shared connection may bring nothing before the other
	// end is asked for a sign of life, pingTime how long that may take.
	pingAfter = 500 * time.Millisecond
	pingTime  = 500 * time.Millisecond
	// maxStreams bounds the calls that one connection carries at a time: a helper
	// may have to relay a waiting call to each of some hundred backend servers.
	maxStreams = 1000
)

// idleParts is the part of what a use may open that its idle connections take up.
const idleParts = 2

// NewClient returns a client for calls with their own deadlines, whose connections
// count for a use of the budget. It speaks HTTP/1.1, where a call that is given up
// closes its own connection: one that went silent is never used twice.
func NewClient(perHost int, budget *files.Budget, use files.Purpose) *http.Client {
	only := new(http.Protocols)
	only.SetHTTP1(true)
	t := &http.Transport{
		Protocols: only, DisableCompression: true, MaxIdleConns: budget.Allowance(use) / idleParts,
		MaxIdleConnsPerHost: perHost, MaxConnsPerHost: perHost, IdleConnTimeout: IdleTimeout,
	}
	t.DialContext = budget.LimitDial(use, dial, t.CloseIdleConnections)
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// NewMultiplexedClient returns a client for calls between our own processes. All calls to one
// process travel on one connection, which outlives those that are given up: some
// failures of a network let open connections live and refuse new ones, and a
// process that had to dial for its next call would be alone until they are over.
// A connection that went silent would be used again, so it is pinged.
func NewMultiplexedClient(budget *files.Budget) *http.Client {
	only := new(http.Protocols)
	only.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: budget.LimitDial(files.Processes, dial, func() {}), Protocols: only, DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: IdleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTime},
	}}
}

// ConfigureServer sets a server up for calls of both kinds of clients.
func ConfigureServer(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: time.Second, Count: 3}}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		limitSilence(t)
	}
	return c, nil
}

// limitSilence sets how long written bytes may stay unacknowledged. Without the
// option a dead peer only shows at the deadline of each call.
func limitSilence(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// NeverSent tells whether a call ended before it had a connection to write to.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused tells whether nobody listens at the address: the machine is there
// and the process is not.
func ConnectionRefused(err error) bool { return NeverSent(err) && errors.Is(err, unix.ECONNREFUSED) }
