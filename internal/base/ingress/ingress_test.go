package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/base/files"
	"gypsumreel/internal/base/ingress"
)

const (
	// room is the room of a test's account, and largeBytes the size of a request that may be
	// released.
	room       = 128 << 10
	largeBytes = 32 << 10
	// maxBytes is the largest request that a test's server takes.
	maxBytes = 64 << 10
	// patience bounds every wait.
	patience = 20 * time.Second
)

// held lets a test hold requests back: each tells arrived that its handler has begun, and waits for
// release.
type held struct{ arrived, release chan struct{} }

func newHeld() *held { return &held{make(chan struct{}), make(chan struct{})} }

// server is an HTTP server behind a Gate.
type server struct {
	t    *testing.T
	gate *ingress.Gate
	addr string
}

// startServer starts a server that answers a whole POST with the size of its body, and holds it back
// if the path is /hold.
func startServer(t *testing.T, limits ingress.Limits, hold *held) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, gate: &ingress.Gate{Name: t.Name(), RequestBytes: room}, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "got") })
	mux.HandleFunc("POST /unread", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "unread") })
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		text, err := ingress.ReadAll(w, r, maxBytes)
		var sizeError *http.MaxBytesError
		switch {
		case errors.Is(err, ingress.ErrNoRoom):
			http.Error(w, "no room", http.StatusTooManyRequests)
		case errors.As(err, &sizeError):
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		case err != nil:
			http.Error(w, "broken", http.StatusBadRequest)
		default:
			if r.URL.Path == "/hold" {
				hold.arrived <- struct{}{}
				<-hold.release
			}
			_, _ = fmt.Fprint(w, len(text))
		}
	})
	httpServer := &http.Server{Handler: s.gate.Track(maxBytes, mux), ReadHeaderTimeout: patience, Protocols: new(http.Protocols)}
	httpServer.Protocols.SetHTTP1(true)
	httpServer.Protocols.SetUnencryptedHTTP2(true)
	s.gate.Configure(httpServer)
	wrapped := s.gate.Listen(l, limits)
	go func() { _ = httpServer.Serve(wrapped) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

// open opens a connection and sends text on it.
func (s *server) open(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Logf("write: %v", err)
	}
	return conn
}

// post returns a POST with a body of size bytes that announces the given length.
func post(path string, size, announced int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("x", size))
}

// chunks returns a POST with a body in one chunk of size bytes and without an end.
func chunks(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", path, size, strings.Repeat("x", size))
}

// checkAnswer fails the test unless the next answer on the connection is whole and as expected.
func (s *server) checkAnswer(r *bufio.Reader, status int, text string) {
	s.t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		s.t.Errorf("no answer: %v", err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || strings.TrimSpace(string(answer)) != text {
		s.t.Errorf("answer %d %q, %v; want %d %q", res.StatusCode, answer, err, status, text)
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

func (s *server) checkNothingHeld() {
	s.t.Helper()
	await(s.t, "the account is not empty after all requests", func() bool { return s.gate.Held() == 0 })
}

// Guards against a process that holds all bodies of a crowd, whole or not.
func TestBodiesOfACrowdStayWithinTheRoom(t *testing.T) {
	for name, text := range map[string]string{
		"length":  post("/", largeBytes-1, largeBytes),
		"chunked": chunks("/", largeBytes),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ingress.Limits{}, nil)
			var crowd []net.Conn
			for range 40 {
				crowd = append(crowd, s.open(text))
			}
			await(t, "more is held than the room has", func() bool { return s.gate.Held() <= room })
			ordinary := s.open(post("/", 100, 100))
			s.checkAnswer(bufio.NewReader(ordinary), http.StatusOK, "100")
			for _, c := range crowd {
				_ = c.Close()
			}
			s.checkNothingHeld()
		})
	}
}

// Guards against a charge by what a client announces: a thousand announcements would fill the room.
func TestAnnouncedBytesHoldNothing(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	for range 20 {
		s.open(post("/", 1, maxBytes))
	}
	time.Sleep(50 * time.Millisecond)
	const firstBytes, headerBytes = 2048, 256
	if held := s.gate.Held(); held > 20*(firstBytes+headerBytes) {
		t.Errorf("%d bytes are held for 20 bytes that came", held)
	}
	large := s.open(post("/", largeBytes, largeBytes))
	s.checkAnswer(bufio.NewReader(large), http.StatusOK, fmt.Sprint(largeBytes))
}

// Guards against a request that is released without an answer.
func TestReleasedRequestIsRefused(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	first := s.open(chunks("/", largeBytes))
	await(t, "the first body does not arrive", func() bool { return s.gate.Held() >= largeBytes })
	time.Sleep(1100 * time.Millisecond) // it stalls
	for range 4 {
		s.open(chunks("/", largeBytes))
	}
	s.checkAnswer(bufio.NewReader(first), http.StatusTooManyRequests, "no room")
}

// Guards against a whole request that is cut off for a later one.
func TestWholeRequestIsAnswered(t *testing.T) {
	hold := newHeld()
	s := startServer(t, ingress.Limits{Conns: 4}, hold)
	whole := s.open(post("/hold", largeBytes, largeBytes))
	<-hold.arrived
	for range 12 {
		s.open(chunks("/", largeBytes))
	}
	close(hold.release)
	s.checkAnswer(bufio.NewReader(whole), http.StatusOK, fmt.Sprint(largeBytes))
}

// Guards against clients without headway that keep all connections for good.
func TestConnectionsWithoutHeadwayGiveWay(t *testing.T) {
	budget := files.NewBudget(400)
	for name, c := range map[string]struct {
		limits ingress.Limits
		size   int
		text   string
	}{
		"silent":        {ingress.Limits{Conns: 4}, 12, ""},
		"header":        {ingress.Limits{Conns: 4}, 12, "POST / HTTP/1.1\r\nHost"},
		"body":          {ingress.Limits{Conns: 4}, 12, post("/", 10, 20)},
		"get with body": {ingress.Limits{Conns: 4}, 12, strings.Replace(post("/", 10, 20), "POST", "GET", 1)},
		"files":         {ingress.Limits{Budget: budget, Use: files.Callers}, 300, post("/", 10, 20)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, c.limits, nil)
			for range c.size {
				s.open(c.text)
			}
			ordinary := s.open(post("/", 100, 100))
			s.checkAnswer(bufio.NewReader(ordinary), http.StatusOK, "100")
		})
	}
}

// unneeded holds requests whose bodies nobody needs, by the answer.
func unneeded(size int) map[string]string {
	return map[string]string{"got": strings.Replace(post("/", size, 20), "POST", "GET", 1), "unread": post("/unread", size, 20)}
}

// Guards against an answer that waits for the rest of a body that nobody needs.
func TestAnswerDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	for want, text := range unneeded(10) {
		r := bufio.NewReader(s.open(text))
		s.checkAnswer(r, http.StatusOK, want)
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("the connection is not closed: %v", err)
		}
	}
	s.checkNothingHeld()
}

// Guards against a connection that is closed although its client has sent the request whole.
func TestConnectionIsUsedAgainAfterABodyThatNobodyNeeds(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	for want, text := range unneeded(20) {
		conn := s.open(text)
		r := bufio.NewReader(conn)
		s.checkAnswer(r, http.StatusOK, want)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		s.checkAnswer(r, http.StatusOK, "got")
	}
}

// Guards against a deadline of a body that ends a later request on its connection.
func TestConnectionIsUsedAgain(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	conn := s.open("")
	r := bufio.NewReader(conn)
	for _, size := range []int{1, largeBytes, 100, maxBytes} {
		_, _ = io.WriteString(conn, post("/", size, size))
		s.checkAnswer(r, http.StatusOK, fmt.Sprint(size))
	}
	_, _ = io.WriteString(conn, chunks("/", maxBytes)+"0\r\n\r\n")
	s.checkAnswer(r, http.StatusOK, fmt.Sprint(maxBytes))
	s.checkNothingHeld()
}

// Guards against a body above the limit that is read to its end.
func TestTooLargeBodyIsRefused(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	for _, text := range []string{post("/", 10, maxBytes+1), chunks("/", maxBytes+1)} {
		s.checkAnswer(bufio.NewReader(s.open(text)), http.StatusRequestEntityTooLarge, "too large")
	}
}

// Guards against headers that come without an end and fill the memory.
func TestHeadersStayWithinTheRoom(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	const headerBytes = 6000
	var crowd []net.Conn
	for range 100 {
		crowd = append(crowd, s.open("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", headerBytes)))
	}
	await(t, "more is held than the room has", func() bool { return s.gate.Held() <= room })
	open := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open > room/headerBytes {
		t.Errorf("%d headers of %d bytes are held, the room has %d", open, headerBytes, room)
	}
	s.checkAnswer(bufio.NewReader(s.open(post("/", 100, 100))), http.StatusOK, "100")
}

// Guards against streams that share a connection and together hold more than the room.
func TestStreamsStayWithinTheRoom(t *testing.T) {
	s := startServer(t, ingress.Limits{}, nil)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	var statuses sync.Map
	for i := range 20 {
		calls.Go(func() {
			body := io.MultiReader(bytes.NewReader(make([]byte, largeBytes)), blockedReader{ctx})
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/", body)
			if res, err := client.Do(r); err == nil {
				statuses.Store(i, res.StatusCode)
				_ = res.Body.Close()
			}
		})
	}
	await(t, "no streams were refused", func() bool {
		refused := 0
		statuses.Range(func(_, status any) bool {
			if status == http.StatusTooManyRequests {
				refused++
			}
			return true
		})
		return refused > 10 && s.gate.Held() <= room
	})
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.addr+"/", bytes.NewReader(make([]byte, 100)))
	res, err := client.Do(r)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("the ordinary call: %v, %v", res, err)
	}
	cancel()
	calls.Wait()
	s.checkNothingHeld()
}

// Guards against long polls over shared connections that fill the room although they hold little.
func TestWholeStreamsHoldOnlyTheirBytes(t *testing.T) {
	const calls, size = 20, 100
	hold := newHeld()
	s := startServer(t, ingress.Limits{}, hold)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.addr+"/hold", bytes.NewReader(make([]byte, size)))
			if res, err := client.Do(r); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", res, err)
			}
		})
	}
	for range calls {
		<-hold.arrived
	}
	if held := s.gate.Held(); held > calls*2*size {
		t.Errorf("%d bytes are held for %d requests of %d", held, calls, size)
	}
	close(hold.release)
	wg.Wait()
	s.checkNothingHeld()
}

// Guards against the end of a TLS connection that waits for a client that reads nothing, and with it
// a planned stop.
func TestWriteKeepsADeadlineThatOthersSet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	wrapped := (&ingress.Gate{Name: t.Name()}).Listen(l, ingress.Limits{})
	defer func() { _ = wrapped.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := wrapped.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	failed := make(chan error, 1)
	go func() {
		for err := error(nil); err == nil; {
			if _, err = conn.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
			}
		}
	}()
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("the write did not end at its deadline")
	}
}

// blockedReader delivers nothing until its context ends.
type blockedReader struct{ ctx context.Context }

func (b blockedReader) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}
