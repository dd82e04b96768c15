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

// testTimeout ends a test that would otherwise hang. It is no requirement on latency.
const testTimeout = 20 * time.Second

// message is a message that a pool has delivered.
type message struct{ From, Data string }

// newTestPool returns a pool, and the channels that receive its messages and events.
func newTestPool(self string) (*peer.Transport, chan message, chan peer.Event) {
	messages, events := make(chan message, 1000), make(chan peer.Event, 1000)
	return &peer.Transport{
		Cell: "cell", Self: self, CallTimeout: 200 * time.Millisecond,
		Deliver: func(from string, data []byte) { messages <- message{from, string(data)} },
		OnEvent: func(e peer.Event) { events <- e },
	}, messages, events
}

// receive returns the next value of a channel and fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no value received within %v", testTimeout)
		panic("unreachable")
	}
}

func serverAddress(s *httptest.Server) string { return s.Listener.Addr().String() }

// startServer starts a server with the protocols of a replica's listener.
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
	b, delivered, _ := newTestPool("b/1")
	server := startServer(b.Handler())
	defer server.Close()
	var want, received []message
	for i := range 100 {
		data := fmt.Sprint("message ", i)
		a.Send("b/1", serverAddress(server), [][]byte{[]byte(data)})
		want = append(want, message{"a/1", data})
	}
	for range want {
		received = append(received, receive(t, delivered))
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
	a.Close()
	<-a.Done()
}

// silenceMarker is the text that makes a silencingProxy silence a connection.
const silenceMarker = "lost in silence"

// silencingProxy forwards connections to target. A connection that carries
// silenceMarker is silenced: it stays open but forwards nothing any more. New
// connections still work.
type silencingProxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	conns  []net.Conn
	// silentFlags holds one flag for each forwarded connection.
	silentFlags []*atomic.Bool
}

func (p *silencingProxy) acceptLoop() {
	for {
		client, err := p.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.conns, p.silentFlags = append(p.conns, client, server), append(p.silentFlags, silent)
		p.mu.Unlock()
		go forward(client, server, silent)
		go forward(server, client, silent)
	}
}

// forward copies data in one direction. Once the connection is silent, it discards
// the data.
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

// silenceAll silences all open connections.
func (p *silencingProxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.silentFlags {
		silent.Store(true)
	}
}

func (p *silencingProxy) close() {
	_ = p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Guards against a follower that never hears from its leader again because a firewall
// has dropped its state of their connection. The firewall discards all packets
// without a reset, while new connections work. The leader must open a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, _, events := newTestPool("a/1")
	defer a.Close()
	b, delivered, _ := newTestPool("b/1")
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
	receive(t, delivered)
	for range 3 {
		send(silenceMarker)
		if e := receive(t, events); e.Kind != peer.CallsFailing {
			t.Fatalf("got event %v, want CallsFailing", e)
		}
		send("after")
		if m := receive(t, delivered); m.Data != "after" {
			t.Fatalf("delivered %v, want after", m)
		}
		if e := receive(t, events); e.Kind != peer.CallsRecovered {
			t.Fatalf("got event %v, want CallsRecovered", e)
		}
	}
}

// Guards against messages that are counted by the wrong replica. This happens when
// the address of a replica now belongs to another cell, another replica or a replaced
// replica. The messages must be refused, and both sides must report an event.
func TestWrongPeerIsRefused(t *testing.T) {
	for want, misconfigure := range map[string]func(a *peer.Transport) (to string){
		"another cell":     func(a *peer.Transport) string { a.Cell = "other"; return "b/1" },
		"another replica":  func(*peer.Transport) string { return "c/1" },
		"for another repl": func(*peer.Transport) string { return "b/2" },
		"as its sender":    func(a *peer.Transport) string { a.Self = "b/1"; return "b/1" },
	} {
		a, _, failures := newTestPool("a/1")
		b, delivered, refusals := newTestPool("b/1")
		server := startServer(b.Handler())
		a.Send(misconfigure(a), serverAddress(server), [][]byte{[]byte("vote")})
		if e := receive(t, refusals); e.Kind != peer.MessageRefused || !strings.Contains(e.Err.Error(), want) {
			t.Errorf("got event %v, want MessageRefused with %q", e, want)
		}
		if e := receive(t, failures); e.Kind != peer.CallsFailing {
			t.Errorf("%s: got event %v, want CallsFailing", want, e)
		}
		a.Close()
		server.Close()
		if len(delivered) > 0 {
			t.Errorf("%s: message %v was delivered", want, <-delivered)
		}
	}
}

// Guards against unbounded memory use while a peer does not answer for a long time.
// The queue must drop the oldest messages, and the peer must receive the newest ones
// when it answers again.
func TestQueueDropsOldest(t *testing.T) {
	a, _, _ := newTestPool("a/1")
	a.MaxQueueBytes, a.CallTimeout = 100, testTimeout
	defer a.Close()
	b, delivered, _ := newTestPool("b/1")
	callStarted, release := make(chan struct{}, 10), make(chan struct{})
	handler := b.Handler()
	server := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callStarted <- struct{}{}
		<-release
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	var want []string
	for i := range peer.MaxConcurrentCalls {
		want = append(want, fmt.Sprint("first", i))
		a.Send("b/1", serverAddress(server), [][]byte{[]byte(want[i])})
		receive(t, callStarted)
	}
	for i := range 100 {
		a.Send("b/1", serverAddress(server), [][]byte{fmt.Appendf(nil, "%010d", i)})
	}
	close(release)
	var received []string
	for range peer.MaxConcurrentCalls + 10 {
		received = append(received, receive(t, delivered).Data)
	}
	for i := 90; i < 100; i++ {
		want = append(want, fmt.Sprintf("%010d", i))
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
}

// Guards against an endless request body that fills the memory. The server must stop
// reading soon after the size of the largest message.
func TestRequestBodyIsLimited(t *testing.T) {
	b, delivered, _ := newTestPool("b/1")
	server := startServer(b.Handler())
	defer server.Close()
	body := &zeroReader{remaining: 8 * peer.MaxMessageBytes}
	r, err := http.Post(server.URL+"/twirp/gypsumreel.inner.Replica/Deliver", "application/protobuf", body)
	if err == nil {
		_ = r.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	if remaining := body.remaining; remaining < 4*peer.MaxMessageBytes {
		t.Errorf("the server read all but %d bytes of the request body", remaining)
	}
	if len(delivered) > 0 {
		t.Error("a message of the endless request was delivered")
	}
}

// zeroReader is a long request body. It ends so that a failing test can finish.
type zeroReader struct{ remaining int }

func (r *zeroReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	r.remaining -= len(b)
	return len(b), nil
}
