package transport_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
)

type entry struct {
	v1.UnimplementedCallerHandler
	stuck atomic.Bool
	hold  chan struct{}
	conns atomic.Int32
}

func (e *entry) List(_ context.Context, _ *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	if e.stuck.Load() {
		<-e.hold
	}
	return connect.NewResponse(&v1.ListReply{Status: &v1.Status{}}), nil
}

func list(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}

// Something between client and entry loses track of an open connection: requests
// on it get no answer, while a new one would work. The pool must not hand the
// dead connection out again, else every call times out for good.
func TestSilentConnectionIsLeftBehind(t *testing.T) {
	e := &entry{hold: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(e))
	s := httptest.NewUnstartedServer(mux)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.conns.Add(1)
			// Only what was open before stays stuck.
			e.stuck.Store(false)
		}
	}
	// Over HTTP/2 a request that times out leaves its connection open and in use.
	s.EnableHTTP2 = true
	s.StartTLS()
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(e.hold) })

	secure := s.Client().Transport.(*http.Transport).TLSClientConfig
	l := &transport.Client{Addresses: []string{s.URL}, TLS: secure, Timeout: 300 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ask := func() error {
		_, err := transport.Call(ctx, l, list, &v1.ListRequest{}, (*v1.ListReply).GetStatus)
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	e.stuck.Store(true)
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if e.conns.Load() < 2 {
		t.Error("no new connection was made")
	}
}

func TestWrongProtocolIsMalformed(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	_, err := transport.TryOnce(t.Context(), &transport.Client{Addresses: []string{s.URL}}, list, &v1.ListRequest{})
	if got := transport.AsCodeError(err).Code; got != code.Malformed {
		t.Errorf("got %v", err)
	}
}
