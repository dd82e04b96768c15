// Package link is a client's way to the entries of a cell: it tries one entry
// after the other until one answers. Every request of the protocol carries an id
// of its own, so that asking again never does a thing twice.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// Defaults of the fields that are left zero.
const (
	// DefaultTimeout bounds one call to one entry.
	DefaultTimeout = 15 * time.Second
	// firstPause and longestPause bound the wait between two tries.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	// pingAfter is the silence after which a connection is probed.
	pingAfter   = 3 * time.Second
	pingTimeout = 3 * time.Second
	dialTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
	// idlePerHost keeps connections for as many calls at once.
	idlePerHost = 256
	// maxReply bounds a reply in bytes.
	maxReply = 64 << 20
)

// Client reaches the entries. Set the exported fields before the first call.
type Client struct {
	// Addresses are URLs of entries or of their balancer: https://HOST:PORT, or
	// http://HOST:PORT for plain text.
	Addresses []string
	// Key is ID.SECRET, sent with every call.
	Key string
	// TLS is for https addresses; nil for the system's authorities.
	TLS *tls.Config
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds one call to one entry.
	Timeout time.Duration
	// Multiplexed puts all calls on few connections with http addresses too, by
	// HTTP/2 without TLS. A balancer in between has to pass it on.
	Multiplexed bool

	mu     sync.Mutex
	turn   int
	client *http.Client
}

// Method is one call of a generated client, bound to an entry.
type Method[Req, Res any] func(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// TryOnce makes one call to the entry whose turn it is. When the entry doesn't
// answer, the next call goes to the next entry and over a new connection.
func TryOnce[Req, Res any](ctx context.Context, l *Client, m Method[Req, Res], msg *Req) (*Res, error) {
	client, base, turn := l.take()
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	req := connect.NewRequest(msg)
	if l.Key != "" {
		req.Header().Set("Authorization", "Bearer "+l.Key)
	}
	res, err := m(client, base, connect.WithReadMaxBytes(maxReply))(ctx, req)
	if err == nil {
		return res.Msg, nil
	}
	refusal := classify(err)
	if IsRetryable(refusal.Code) {
		l.pass(turn)
	}
	return nil, refusal
}

// Call makes a call until an entry answers with something that asking again
// would not change, or ctx ends. Status picks the reply's status.
func Call[Req, Res any](ctx context.Context, l *Client, m Method[Req, Res], msg *Req, status func(*Res) *v1.Status) (*Res, error) {
	pause := NewBackoff()
	var cause error
	for {
		res, err := TryOnce(ctx, l, m, msg)
		if err != nil && ctx.Err() != nil && cause != nil {
			// The time ran out in the middle of a try: that says nothing, and
			// would hide why the tries before it failed.
			return nil, cause
		}
		var retry time.Duration
		if err == nil {
			s := status(res)
			if !IsRetryable(code.Code(s.GetCode())) {
				return res, nil
			}
			retry = time.Duration(s.GetRetry()) * time.Millisecond
			err = StatusError(s)
			l.NextEntry()
		}
		if refusal := AsCodeError(err); !IsRetryable(refusal.Code) {
			return nil, err
		}
		cause = err
		if !Sleep(ctx, max(retry, pause.NextBackOff())) {
			return nil, err
		}
	}
}

// NextEntry makes the following calls go to the next entry.
func (l *Client) NextEntry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
}

// Close drops the idle connections.
func (l *Client) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		l.client.CloseIdleConnections()
	}
}

func (l *Client) timeout() time.Duration {
	if l.Timeout > 0 {
		return l.Timeout
	}
	return DefaultTimeout
}

func (l *Client) take() (client *http.Client, base string, turn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil {
		l.client = l.dialler()
	}
	return l.client, l.Addresses[l.turn%len(l.Addresses)], l.turn
}

// pass guards against a connection that went silent: the pool would hand it out
// again and again while new ones work, so that every call times out. After a
// call without an answer the pool is left behind whole; calls still using it
// end as they would have. Only the first of several calls that failed in one
// turn does so.
func (l *Client) pass(turn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.turn != turn {
		return
	}
	l.turn++
	l.client.CloseIdleConnections()
	l.client = nil
}

func (l *Client) dialler() *http.Client {
	var protocols *http.Protocols
	if l.Multiplexed {
		protocols = new(http.Protocols)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         l.Dial,
		Protocols:           protocols,
		TLSClientConfig:     l.TLS,
		ForceAttemptHTTP2:   true,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// NewBackoff returns the growing, jittered waits between tries.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, longestPause
	return b
}

// Sleep waits and tells whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// IsRetryable tells whether the same request may fare better at another try: nothing
// final was said.
func IsRetryable(c code.Code) bool {
	switch c {
	case code.LeaderTimeout, code.NoLeader, code.ShuttingDown:
		return true
	}
	return false
}

// AsCodeError returns err as a result code; what is no code counts as unanswered.
func AsCodeError(err error) *code.Error {
	var known *code.Error
	if errors.As(err, &known) {
		return known
	}
	return code.New(code.LeaderTimeout, "%v", err)
}

// StatusError returns a status as a result code. The detail is what its text says
// beyond the number and the standing text, which an Error prints itself.
func StatusError(s *v1.Status) *code.Error {
	c := code.Code(s.GetCode())
	detail := strings.TrimPrefix(s.GetText(), code.New(c, "").Error())
	detail = strings.TrimPrefix(strings.TrimPrefix(detail, ": "), c.String())
	return &code.Error{Code: c, Detail: strings.TrimPrefix(detail, ": ")}
}

// classify turns an error of the transport into a result code. What the entry
// itself refuses before it looks at the request has a code of connect's.
func classify(err error) *code.Error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return code.New(code.LeaderTimeout, "%v", err)
	}
	for _, d := range ce.Details() {
		if v, derr := d.Value(); derr == nil {
			if s, ok := v.(*v1.Status); ok {
				return StatusError(s)
			}
		}
	}
	text := strings.TrimSpace(ce.Message())
	switch ce.Code() {
	case connect.CodeInvalidArgument:
		return code.New(code.Malformed, "%s", text)
	case connect.CodeUnauthenticated:
		return code.New(code.InvalidKey, "%s", text)
	case connect.CodePermissionDenied:
		return code.New(code.Forbidden, "%s", text)
	case connect.CodeResourceExhausted:
		return code.New(code.TooLarge, "%s", text)
	case connect.CodeUnimplemented, connect.CodeNotFound:
		return code.New(code.Malformed, "nothing of this protocol is served there: %s", text)
	}
	return code.New(code.LeaderTimeout, "%s", text)
}
