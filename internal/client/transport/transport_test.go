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

type fakeEntry struct {
	v1.UnimplementedCallerHandler
	unresponsive atomic.Bool
	unblock      chan struct{}
	connCount    atomic.Int32
}

func (e *fakeEntry) List(_ context.Context, _ *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	if e.unresponsive.Load() {
		<-e.unblock
	}
	return connect.NewResponse(&v1.ListReply{Status: &v1.Status{}}), nil
}

func listMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}

// A device between client and entry loses the state of an open connection. Requests on
// it get no answer, while a new connection would work. The client must not reuse the
// dead connection, or every further call would time out.
func TestSilentConnectionIsReplaced(t *testing.T) {
	e := &fakeEntry{unblock: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(e))
	s := httptest.NewUnstartedServer(mux)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.connCount.Add(1)
			// Only connections that were open before remain unresponsive.
			e.unresponsive.Store(false)
		}
	}
	// With HTTP/2 a connection stays open and in use after a request has timed out.
	s.EnableHTTP2 = true
	s.StartTLS()
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(e.unblock) })

	tlsConfig := s.Client().Transport.(*http.Transport).TLSClientConfig
	client := &transport.Client{Addresses: []string{s.URL}, TLS: tlsConfig, Timeout: 300 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	callList := func() error {
		_, err := transport.Call(ctx, client, listMethod, &v1.ListRequest{}, (*v1.ListReply).GetStatus)
		return err
	}
	if err := callList(); err != nil {
		t.Fatal(err)
	}
	e.unresponsive.Store(true)
	if err := callList(); err != nil {
		t.Fatal(err)
	}
	if e.connCount.Load() < 2 {
		t.Error("no new connection was made")
	}
}

func TestWrongProtocolIsMalformed(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	_, err := transport.TryOnce(t.Context(), &transport.Client{Addresses: []string{s.URL}}, listMethod, &v1.ListRequest{})
	if got := transport.AsCodeError(err).Code; got != code.Malformed {
		t.Errorf("got %v", err)
	}
}
