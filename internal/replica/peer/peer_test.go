package peer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"gypsumreel/internal/replica/peer"
)

// testTimeout ends a test that would otherwise wait for good; it proves nothing.
const testTimeout = 20 * time.Second

// message is what a pool was handed.
type message struct{ From, Data string }

// newTestPool returns a pool that puts what it is told into channels.
func newTestPool(self string) (*peer.Pool, chan message, chan peer.Event) {
	messages, events := make(chan message, 1000), make(chan peer.Event, 1000)
	return &peer.Pool{
		Cell: "cell", Self: self, CallTimeout: 200 * time.Millisecond,
		Deliver: func(from string, data []byte) { messages <- message{from, string(data)} },
		OnEvent: func(e peer.Event) { events <- e },
	}, messages, events
}

// receive returns what a channel brings.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func serverAddress(s *httptest.Server) string { return s.Listener.Addr().String() }

// startServer runs a server that speaks what a replica's listener does.
func startServer(h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestSendKeepsOrder(t *testing.T) {
	a, _, _ := newTestPool("a/1")
	defer a.Close()
	b, got, _ := newTestPool("b/1")
	server := startServer(b.Handler())
	defer server.Close()
	var want, received []message
	for i := range 100 {
		data := fmt.Sprint("message ", i)
		a.Send("b/1", serverAddress(server), [][]byte{[]byte(data)})
		want = append(want, message{"a/1", data})
	}
	for range want {
		received = append(received, receive(t, got))
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
	a.Close()
	<-a.Done()
}

// silenceMarker turns the connection silent that carries it.
const silenceMarker = "lost in silence"

// silencingProxy passes connections on. One that carries mark turns silent: it stays open
// and passes nothing on any more, while new connections work.
type silencingProxy struct {
	net.Listener
	target      string
	mu          sync.Mutex
	conns       []net.Conn
	silentFlags []*atomic.Bool
}

func (r *silencingProxy) acceptLoop() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent := new(atomic.Bool)
		r.mu.Lock()
		r.conns, r.silentFlags = append(r.conns, in, out), append(r.silentFlags, silent)
		r.mu.Unlock()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

// forward copies until the connection is silent, and then swallows.
func forward(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if strings.Contains(string(b[:n]), silenceMarker) {
			silent.Store(true)
		}
		if !silent.Load() {
			_, _ = to.Write(b[:n])
		}
	}
}

// silenceAll turns all connections silent that are open.
func (r *silencingProxy) silenceAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.silentFlags {
		silent.Store(true)
	}
}

func (r *silencingProxy) close() {
	_ = r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// A follower stops hearing from its leader for good, although both are well and
// any new connection works: a firewall has dropped its record of the connection
// and lets nothing through on it, without a reset. The leader must dial anew.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, _, events := newTestPool("a/1")
	defer a.Close()
	b, got, _ := newTestPool("b/1")
	server := startServer(b.Handler())
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &silencingProxy{Listener: listener, target: serverAddress(server)}
	go proxy.acceptLoop()
	defer proxy.close()
	send := func(data string) { a.Send("b/1", listener.Addr().String(), [][]byte{[]byte(data)}) }
	send("before")
	receive(t, got)
	for range 3 {
		send(silenceMarker)
		if e := receive(t, events); e.Kind != peer.CallsFailing {
			t.Fatal(e)
		}
		send("after")
		if m := receive(t, got); m.Data != "after" {
			t.Fatal(m)
		}
		if e := receive(t, events); e.Kind != peer.CallsRecovered {
			t.Fatal(e)
		}
	}
}

// A replica is reached under an address that now belongs to another cell, another
// replica or a replaced one. Its messages must count nowhere, and be told of.
func TestWrongPeerIsRefused(t *testing.T) {
	for want, change := range map[string]func(a *peer.Pool) (to string){
		"another cell":     func(a *peer.Pool) string { a.Cell = "other"; return "b/1" },
		"another replica":  func(*peer.Pool) string { return "c/1" },
		"for another repl": func(*peer.Pool) string { return "b/2" },
		"as its sender":    func(a *peer.Pool) string { a.Self = "b/1"; return "b/1" },
	} {
		a, _, failures := newTestPool("a/1")
		b, got, refusals := newTestPool("b/1")
		server := startServer(b.Handler())
		a.Send(change(a), serverAddress(server), [][]byte{[]byte("vote")})
		if e := receive(t, refusals); e.Kind != peer.MessageRefused || !strings.Contains(e.Err.Error(), want) {
			t.Errorf("%s: %v", want, e)
		}
		if e := receive(t, failures); e.Kind != peer.CallsFailing {
			t.Errorf("%s: %v", want, e)
		}
		a.Close()
		server.Close()
		if len(got) > 0 {
			t.Errorf("%s: delivered %v", want, <-got)
		}
	}
}

// A peer is away for long while messages for it keep coming. Memory stays
// bounded, and when it is back the newest arrive.
func TestQueueDropsOldest(t *testing.T) {
	a, _, _ := newTestPool("a/1")
	a.MaxQueueBytes, a.CallTimeout = 100, testTimeout
	defer a.Close()
	b, got, _ := newTestPool("b/1")
	entered, release := make(chan struct{}, 10), make(chan struct{})
	handler := b.Handler()
	server := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	var want []string
	for i := range peer.MaxConcurrentCalls {
		want = append(want, fmt.Sprint("first", i))
		a.Send("b/1", serverAddress(server), [][]byte{[]byte(want[i])})
		receive(t, entered)
	}
	for i := range 100 {
		a.Send("b/1", serverAddress(server), [][]byte{fmt.Appendf(nil, "%010d", i)})
	}
	close(release)
	var received []string
	for range peer.MaxConcurrentCalls + 10 {
		received = append(received, receive(t, got).Data)
	}
	for i := 90; i < 100; i++ {
		want = append(want, fmt.Sprintf("%010d", i))
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
}

// Something sends a request without end. It must not fill the memory: reading
// stops soon after the largest message.
func TestRequestBodyIsLimited(t *testing.T) {
	b, got, _ := newTestPool("b/1")
	server := startServer(b.Handler())
	defer server.Close()
	body := &zeroReader{remaining: 8 * peer.MaxMessageBytes}
	r, err := http.Post(server.URL+"/twirp/gypsumreel.inner.Replica/Deliver", "application/protobuf", body)
	if err == nil {
		_ = r.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	if left := body.remaining; left < 4*peer.MaxMessageBytes {
		t.Errorf("all but %d bytes were taken", left)
	}
	if len(got) > 0 {
		t.Error("delivered")
	}
}

// zeroReader gives zeros, and an end only to let a failing test finish.
type zeroReader struct{ remaining int }

func (e *zeroReader) Read(b []byte) (int, error) {
	if e.remaining <= 0 {
		return 0, io.EOF
	}
	e.remaining -= len(b)
	return len(b), nil
}
