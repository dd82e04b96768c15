// Package wire configures HTTP clients and servers for calls between processes, and
// classifies failed calls. Callers use this to decide whether a call that must not run
// twice can be repeated.
package wire

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sys/unix"

	"gypsumreel/internal/base/files"
	"gypsumreel/internal/base/ingress"
)

// Timeouts and limits of connections.
const (
	// DialTimeout is the timeout for opening a connection. It covers a round trip between
	// regions and the retransmission of one lost packet.
	DialTimeout = 700 * time.Millisecond
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout = 90 * time.Second
	// unackedTimeout is the time after which the kernel closes a connection whose sent
	// data is not acknowledged. This happens if the peer lost power, or if a middlebox
	// silently dropped the connection.
	unackedTimeout = 3 * time.Second
	// keepAliveIdle is the idle time after which TCP keep-alive probes are sent.
	keepAliveIdle = 5 * time.Second
	// A multiplexed connection on which nothing was received for pingIdleTime is checked
	// by an HTTP/2 ping. It is closed if the ping is not answered within pingTimeout.
	pingIdleTime = 500 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// maxConcurrentStreams limits the concurrent calls on one connection. A helper may
	// relay a pending call to each of some hundred backend servers.
	maxConcurrentStreams = 1000
	// MaxRequestBytes limits the body of a call between processes. The largest are messages of
	// control replicas to each other.
	MaxRequestBytes = 24 << 20
)

// idleShareDivisor divides the allowance of a purpose in the file budget to give the
// maximum number of its idle connections.
const idleShareDivisor = 2

// NewClient returns an HTTP/1.1 client for calls that have deadlines. Its connections
// count against the budget for the given purpose. With HTTP/1.1, cancelling a call closes its
// connection, so a connection that stopped responding is not used a second time.
func NewClient(connsPerHost int, budget *files.Budget, purpose files.Purpose) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		Protocols: protocols, DisableCompression: true, MaxIdleConns: budget.Allowance(purpose) / idleShareDivisor,
		MaxIdleConnsPerHost: connsPerHost, MaxConnsPerHost: connsPerHost, IdleConnTimeout: IdleTimeout,
	}
	transport.DialContext = budget.LimitDial(purpose, dial, transport.CloseIdleConnections)
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// NewMultiplexedClient returns an HTTP/2 client for calls between processes of the cell.
// All calls to one process share one connection, which stays open when a call is
// cancelled. Some network faults keep open connections and refuse new ones. A process that
// needed a new connection for its next call would be isolated until the end of such a
// fault. The connection is checked by pings, because otherwise a connection that stopped
// responding would be used again.
func NewMultiplexedClient(budget *files.Budget) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: budget.LimitDial(files.Processes, dial, func() {}), Protocols: protocols, DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: IdleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}}
}

// ConfigureServer configures a server for calls from both kinds of clients, HTTP/1.1 and
// HTTP/2 without TLS.
func ConfigureServer(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
}

// Track wraps the handler of a service for other processes. Its calls count against the account
// of the gate. The handler is called once the body of a call has arrived.
func Track(gate *ingress.Gate, h http.Handler) http.Handler {
	return gate.Track(MaxRequestBytes, ingress.ReadFirst(refuseUnread, h))
}

// refuseUnread refuses a call whose body was not read.
func refuseUnread(w http.ResponseWriter, _ *http.Request, err error) {
	_ = twirp.WriteError(w, twirp.ResourceExhausted.Error(err.Error()))
}

// RefusedUnread reports whether a call failed because the other process had no memory for its
// body, so that it was not executed.
func RefusedUnread(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Code() == twirp.ResourceExhausted
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		setUnackedTimeout(t)
	}
	return c, nil
}

// setUnackedTimeout sets TCP_USER_TIMEOUT to unackedTimeout. Without this option, a dead
// peer is detected only at the deadline of each call.
func setUnackedTimeout(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
}

// NeverSent reports whether a call failed before it had a connection, so that no part of
// it was sent.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused reports whether a call failed because no process listens at the
// address, although the machine is reachable.
func ConnectionRefused(err error) bool { return NeverSent(err) && errors.Is(err, unix.ECONNREFUSED) }
