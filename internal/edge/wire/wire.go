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
)

// Client returns a client for calls with their own deadlines. It speaks
// HTTP/1.1, where a call that is given up closes its own connection: one that
// went silent is never used twice.
func Client(perHost int) *http.Client {
	only := new(http.Protocols)
	only.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, Protocols: only, DisableCompression: true,
		MaxIdleConnsPerHost: perHost, MaxConnsPerHost: perHost, IdleConnTimeout: IdleTimeout,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
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

// Refused tells whether nobody listens at the address: the machine is there
// and the process is not.
func Refused(err error) bool { return NeverSent(err) && errors.Is(err, unix.ECONNREFUSED) }
