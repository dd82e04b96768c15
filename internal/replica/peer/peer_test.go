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

// limit ends a test that would otherwise wait for good; it proves nothing.
const limit = 20 * time.Second

// message is what a pool was handed.
type message struct{ From, Data string }

// pool returns a pool that puts what it is told into channels.
func pool(self string) (*peer.Pool, chan message, chan peer.Event) {
	messages, events := make(chan message, 1000), make(chan peer.Event, 1000)
	return &peer.Pool{
		Cell: "cell", Self: self, CallTimeout: 200 * time.Millisecond,
		Deliver: func(from string, data []byte) { messages <- message{from, string(data)} },
		OnEvent: func(e peer.Event) { events <- e },
	}, messages, events
}

// next returns what a channel brings.
func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(limit):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// serve runs a server that speaks what a replica's listener does.
func serve(h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestSend(t *testing.T) {
	a, _, _ := pool("a/1")
	defer a.Close()
	b, got, _ := pool("b/1")
	server := serve(b.Handler())
	defer server.Close()
	var want, have []message
	for i := range 100 {
		data := fmt.Sprint("message ", i)
		a.Send("b/1", address(server), [][]byte{[]byte(data)})
		want = append(want, message{"a/1", data})
	}
	for range want {
		have = append(have, next(t, got))
	}
	if diff := cmp.Diff(want, have); diff != "" {
		t.Error(diff)
	}
	a.Close()
	<-a.Done()
}

// mark turns the connection silent that carries it.
const mark = "lost in silence"

// relay passes connections on. One that carries mark turns silent: it stays open
// and passes nothing on any more, while new connections work.
type relay struct {
	net.Listener
	to    string
	mu    sync.Mutex
	conns []net.Conn
	mutes []*atomic.Bool
}

func (r *relay) run() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent := new(atomic.Bool)
		r.mu.Lock()
		r.conns, r.mutes = append(r.conns, in, out), append(r.mutes, silent)
		r.mu.Unlock()
		go pass(in, out, silent)
		go pass(out, in, silent)
	}
}

// pass copies until the connection is silent, and then swallows.
func pass(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if strings.Contains(string(b[:n]), mark) {
			silent.Store(true)
		}
		if !silent.Load() {
			_, _ = to.Write(b[:n])
		}
	}
}

// mute turns all connections silent that are open.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.mutes {
		silent.Store(true)
	}
}

func (r *relay) end() {
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
func TestSilentConnection(t *testing.T) {
	a, _, events := pool("a/1")
	defer a.Close()
	b, got, _ := pool("b/1")
	server := serve(b.Handler())
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: listener, to: address(server)}
	go r.run()
	defer r.end()
	send := func(data string) { a.Send("b/1", listener.Addr().String(), [][]byte{[]byte(data)}) }
	send("before")
	next(t, got)
	for range 3 {
		send(mark)
		if e := next(t, events); e.Kind != peer.CallsFailing {
			t.Fatal(e)
		}
		send("after")
		if m := next(t, got); m.Data != "after" {
			t.Fatal(m)
		}
		if e := next(t, events); e.Kind != peer.CallsRecovered {
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
		a, _, failures := pool("a/1")
		b, got, refusals := pool("b/1")
		server := serve(b.Handler())
		a.Send(change(a), address(server), [][]byte{[]byte("vote")})
		if e := next(t, refusals); e.Kind != peer.MessageRefused || !strings.Contains(e.Err.Error(), want) {
			t.Errorf("%s: %v", want, e)
		}
		if e := next(t, failures); e.Kind != peer.CallsFailing {
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
	a, _, _ := pool("a/1")
	a.MaxQueueBytes, a.CallTimeout = 100, limit
	defer a.Close()
	b, got, _ := pool("b/1")
	entered, release := make(chan struct{}, 10), make(chan struct{})
	handler := b.Handler()
	server := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	var want []string
	for i := range peer.MaxConcurrentCalls {
		want = append(want, fmt.Sprint("first", i))
		a.Send("b/1", address(server), [][]byte{[]byte(want[i])})
		next(t, entered)
	}
	for i := range 100 {
		a.Send("b/1", address(server), [][]byte{fmt.Appendf(nil, "%010d", i)})
	}
	close(release)
	var have []string
	for range peer.MaxConcurrentCalls + 10 {
		have = append(have, next(t, got).Data)
	}
	for i := 90; i < 100; i++ {
		want = append(want, fmt.Sprintf("%010d", i))
	}
	if diff := cmp.Diff(want, have); diff != "" {
		t.Error(diff)
	}
}

// Something sends a request without end. It must not fill the memory: reading
// stops soon after the largest message.
func TestBodyIsBounded(t *testing.T) {
	b, got, _ := pool("b/1")
	server := serve(b.Handler())
	defer server.Close()
	body := &endless{left: 8 * peer.MaxMessageBytes}
	r, err := http.Post(server.URL+"/twirp/gypsumreel.inner.Replica/Deliver", "application/protobuf", body)
	if err == nil {
		_ = r.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	if left := body.left; left < 4*peer.MaxMessageBytes {
		t.Errorf("all but %d bytes were taken", left)
	}
	if len(got) > 0 {
		t.Error("delivered")
	}
}

// endless gives zeros, and an end only to let a failing test finish.
type endless struct{ left int }

func (e *endless) Read(b []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	e.left -= len(b)
	return len(b), nil
}
