// Package transport sends the calls of a client to the entries of a cell. It retries
// calls and switches between entries until one answers. Retries are safe because every
// request of the protocol has a unique id and is idempotent.
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

// Defaults of Client fields, and limits of calls and connections.
const (
	// DefaultTimeout is the default of Client.Timeout.
	DefaultTimeout = 15 * time.Second
	// initialBackoff and maxBackoff limit the wait between two attempts.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// pingInterval is the time without received data after which an HTTP/2
	// connection is probed.
	pingInterval = 3 * time.Second
	pingTimeout  = 3 * time.Second
	dialTimeout  = 5 * time.Second
	idleTimeout  = 30 * time.Second
	// maxIdleConnsPerEntry is the maximum number of idle connections to one entry, so
	// that as many concurrent calls can reuse connections.
	maxIdleConnsPerEntry = 256
	// maxReplyBytes is the maximum size of a reply.
	maxReplyBytes = 64 << 20
)

// Client sends calls to the entries of a cell. The exported fields must be set before
// the first call.
type Client struct {
	// Addresses are the URLs of the entries or of a load balancer in front of them,
	// as https://HOST:PORT, or as http://HOST:PORT for plain text.
	Addresses []string
	// Key is the API key as ID.SECRET, sent with every call; empty sends none.
	Key string
	// TLS is the configuration for https addresses; nil means Go's defaults with
	// the certificate authorities of the system.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits one call to one entry; 0 means DefaultTimeout.
	Timeout time.Duration
	// Multiplexed makes calls to http addresses share few connections, too, by HTTP/2
	// without TLS. A load balancer in between must support that.
	Multiplexed bool

	mu         sync.Mutex
	entryIndex int
	httpClient *http.Client
}

// Method returns a method of a generated client that is bound to the entry with the
// given base URL.
type Method[Req, Res any] func(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// TryOnce makes one call to the current entry. If the entry does not answer, the next
// call uses the next entry and a new connection.
func TryOnce[Req, Res any](ctx context.Context, c *Client, method Method[Req, Res], msg *Req) (*Res, error) {
	client, base, entryIndex := c.currentEntry()
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req := connect.NewRequest(msg)
	if c.Key != "" {
		req.Header().Set("Authorization", "Bearer "+c.Key)
	}
	res, err := method(client, base, connect.WithReadMaxBytes(maxReplyBytes))(ctx, req)
	if err == nil {
		return res.Msg, nil
	}
	codeErr := toCodeError(err)
	if IsRetryable(codeErr.Code) {
		c.replaceConnections(entryIndex)
	}
	return nil, codeErr
}

// Call repeats a call until an entry returns a result that is not retryable, or until
// ctx ends. The function status returns the status of a reply.
func Call[Req, Res any](ctx context.Context, c *Client, method Method[Req, Res], msg *Req, status func(*Res) *v1.Status) (*Res, error) {
	retryBackoff := NewBackoff()
	var lastErr error
	for {
		res, err := TryOnce(ctx, c, method, msg)
		if err != nil && ctx.Err() != nil && lastErr != nil {
			// ctx ended during this attempt. The resulting error would hide why the
			// previous attempts failed.
			return nil, lastErr
		}
		var retryAfter time.Duration
		if err == nil {
			s := status(res)
			if !IsRetryable(code.Code(s.GetCode())) {
				return res, nil
			}
			retryAfter = time.Duration(s.GetRetry()) * time.Millisecond
			err = StatusError(s)
			c.NextEntry()
		}
		if codeErr := AsCodeError(err); !IsRetryable(codeErr.Code) {
			return nil, err
		}
		lastErr = err
		if !Sleep(ctx, max(retryAfter, retryBackoff.NextBackOff())) {
			return nil, err
		}
	}
}

// NextEntry makes the following calls use the next entry.
func (c *Client) NextEntry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryIndex++
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.httpClient != nil {
		c.httpClient.CloseIdleConnections()
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) currentEntry() (client *http.Client, base string, entryIndex int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.httpClient == nil {
		c.httpClient = c.newHTTPClient()
	}
	return c.httpClient, c.Addresses[c.entryIndex%len(c.Addresses)], c.entryIndex
}

// replaceConnections switches to the next entry and to a new connection pool after a
// call without an answer. The old pool could keep reusing a dead connection, so that
// every call would time out although new connections work. Calls in progress on the
// old pool are not interrupted. If several calls to the same entry fail, only the
// first of them replaces the pool.
func (c *Client) replaceConnections(entryIndex int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entryIndex != entryIndex {
		return
	}
	c.entryIndex++
	c.httpClient.CloseIdleConnections()
	c.httpClient = nil
}

func (c *Client) newHTTPClient() *http.Client {
	var protocols *http.Protocols
	if c.Multiplexed {
		protocols = new(http.Protocols)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         c.Dial,
		Protocols:           protocols,
		TLSClientConfig:     c.TLS,
		ForceAttemptHTTP2:   true,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     idleTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}
}

// NewBackoff returns the exponential backoff with jitter that is used between attempts.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return b
}

// Sleep waits for d. It returns false at once when ctx ends.
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

// IsRetryable reports whether a request that failed with c may succeed when it is
// repeated, because c is not a final result.
func IsRetryable(c code.Code) bool {
	switch c {
	case code.LeaderTimeout, code.NoLeader, code.ShuttingDown:
		return true
	}
	return false
}

// AsCodeError returns the code.Error that err wraps. Any other error is converted to
// one with the code LeaderTimeout.
func AsCodeError(err error) *code.Error {
	var codeErr *code.Error
	if errors.As(err, &codeErr) {
		return codeErr
	}
	return code.New(code.LeaderTimeout, "%v", err)
}

// StatusError converts a status to a code.Error. It removes the number and the
// standard text of the code from the detail, because code.Error prints them itself.
func StatusError(s *v1.Status) *code.Error {
	c := code.Code(s.GetCode())
	detail := strings.TrimPrefix(s.GetText(), code.New(c, "").Error())
	detail = strings.TrimPrefix(strings.TrimPrefix(detail, ": "), c.String())
	return &code.Error{Code: c, Detail: strings.TrimPrefix(detail, ": ")}
}

// toCodeError converts an error of the transport to a result code. If the entry refuses a
// request before processing it, the error has a Connect code and may contain a
// Status.
func toCodeError(err error) *code.Error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return code.New(code.LeaderTimeout, "%v", err)
	}
	for _, d := range connectErr.Details() {
		if detail, detailErr := d.Value(); detailErr == nil {
			if s, ok := detail.(*v1.Status); ok {
				return StatusError(s)
			}
		}
	}
	text := strings.TrimSpace(connectErr.Message())
	switch connectErr.Code() {
	case connect.CodeInvalidArgument:
		return code.New(code.Malformed, "%s", text)
	case connect.CodeUnauthenticated:
		return code.New(code.InvalidKey, "%s", text)
	case connect.CodePermissionDenied:
		return code.New(code.Forbidden, "%s", text)
	case connect.CodeResourceExhausted:
		return code.New(code.TooLarge, "%s", text)
	case connect.CodeUnimplemented, connect.CodeNotFound:
		return code.New(code.Malformed, "the address does not serve this protocol: %s", text)
	}
	return code.New(code.LeaderTimeout, "%s", text)
}
