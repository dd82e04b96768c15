package helper_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/helper"
	"gypsumreel/internal/edge/wire"
	"gypsumreel/internal/fake/relay"
)

// answerTime is how long the adviser and the backend servers of these tests take.
const answerTime = 20 * time.Millisecond

// slowAdviser answers after a while, and never to questions about the flow lost.
type slowAdviser struct{}

const lost = "lost"

func (slowAdviser) Advise(ctx context.Context, r *inner.AdviseRequest) *inner.AdviseReply {
	if r.GetFlow() == lost {
		<-ctx.Done()
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout)}
	}
	time.Sleep(answerTime)
	return &inner.AdviseReply{}
}

type slowBackends struct{}

func (slowBackends) Call(context.Context, *inner.ServerCall) *inner.ServerAnswer {
	time.Sleep(answerTime)
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_DONE}
}

// behind serves a helper behind a relay, and returns the relay and its address.
func behind(t *testing.T) (*relay.Relay, string) {
	t.Helper()
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: (&helper.Server{Adviser: slowAdviser{}, Backends: slowBackends{}}).Handler()}
	wire.ConfigureServer(s)
	go func() { _ = s.Serve(in) }()
	t.Cleanup(func() { _ = s.Close() })
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var d net.Dialer
	r := &relay.Relay{Listener: front, Dial: func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", in.Addr().String()) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return r, front.Addr().String()
}

// A user sees urgent work wait for seconds while a fault refuses new connections
// between the leader and the helpers and leaves the open ones. Then the leader
// gives a question up, which must not cost it the way on which the next question
// and the calls relayed beside it still go through.
func TestCallsOutliveRefusedConnections(t *testing.T) {
	r, address := behind(t)
	p := &helper.Client{HTTPClient: wire.NewMultiplexedClient(nil)}
	ask := func(flow string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		if rep := p.Advise(ctx, address, &inner.AdviseRequest{Flow: flow, Budget: 1000}); rep.GetCode() != 0 {
			return fmt.Errorf("%s: %s", flow, rep.GetDetail())
		}
		return nil
	}
	if err := ask("first", time.Second); err != nil {
		t.Fatal(err)
	}
	r.Refuse(true)
	var wg sync.WaitGroup
	for i := range 20 {
		if err := ask(lost, 2*answerTime); err == nil {
			t.Error("a question without an answer was answered")
		}
		wg.Go(func() {
			if err := ask(fmt.Sprintf("flow %d", i), time.Second); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			a := p.Relay(t.Context(), address, &inner.ServerCall{Budget: 1000})
			if a.GetVerdict() != inner.Verdict_VERDICT_DONE {
				t.Error(a.GetDetail())
			}
		})
	}
	wg.Wait()
}

// A helper's connection goes silent for good while its process is well, as when
// something between the ends has forgotten it. The next questions must not go on
// waiting on that connection when a new one would do.
func TestSilentConnectionIsLeft(t *testing.T) {
	r, address := behind(t)
	p := &helper.Client{HTTPClient: wire.NewMultiplexedClient(nil)}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ask := func(limit time.Duration) bool {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return p.Advise(ctx, address, &inner.AdviseRequest{Flow: "f", Budget: 1000}).GetCode() == 0
	}
	if !ask(time.Second) {
		t.Fatal("no answer before the fault")
	}
	r.Forget(relay.Up, relay.Down)
	begin := time.Now()
	for !ask(200 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("no answer after the fault")
		}
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("the next answer came after %v", took)
	}
}
