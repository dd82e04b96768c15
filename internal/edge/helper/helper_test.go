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

// answerDelay is the response time of the adviser and the backend servers in these tests.
const answerDelay = 20 * time.Millisecond

// slowAdviser answers after answerDelay. It never answers questions about unansweredFlow.
type slowAdviser struct{}

const unansweredFlow = "lost"

func (slowAdviser) Advise(ctx context.Context, r *inner.AdviseRequest) *inner.AdviseReply {
	if r.GetFlow() == unansweredFlow {
		<-ctx.Done()
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout)}
	}
	time.Sleep(answerDelay)
	return &inner.AdviseReply{}
}

type slowBackends struct{}

func (slowBackends) Call(context.Context, *inner.ServerCall) *inner.ServerAnswer {
	time.Sleep(answerDelay)
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_DONE}
}

// serveBehindRelay starts a helper behind a relay and returns the relay and its address.
func serveBehindRelay(t *testing.T) (*relay.Relay, string) {
	t.Helper()
	helperListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: (&helper.Server{Adviser: slowAdviser{}, Backends: slowBackends{}}).Handler()}
	wire.ConfigureServer(server)
	go func() { _ = server.Serve(helperListener) }()
	t.Cleanup(func() { _ = server.Close() })
	relayListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var dialer net.Dialer
	r := &relay.Relay{Listener: relayListener, Dial: func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", helperListener.Addr().String())
	}}
	ctx, cancel := context.WithCancel(context.Background())
	relayDone := make(chan struct{})
	go func() { defer close(relayDone); _ = r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-relayDone })
	return r, relayListener.Addr().String()
}

// Guards against urgent work that waits for seconds during a network fault that refuses
// new connections and keeps open ones. When the leader cancels a question, the connection
// to the helper must stay open for the next question and for concurrent relayed calls.
func TestCallsContinueWhileNewConnectionsAreRefused(t *testing.T) {
	r, address := serveBehindRelay(t)
	client := &helper.Client{HTTPClient: wire.NewMultiplexedClient(nil)}
	ask := func(flow string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		if answer := client.Advise(ctx, address, &inner.AdviseRequest{Flow: flow, Budget: 1000}); answer.GetCode() != 0 {
			return fmt.Errorf("%s: %s", flow, answer.GetDetail())
		}
		return nil
	}
	if err := ask("first", time.Second); err != nil {
		t.Fatal(err)
	}
	r.SetRefuse(true)
	var wg sync.WaitGroup
	for i := range 20 {
		if err := ask(unansweredFlow, 2*answerDelay); err == nil {
			t.Error("a question about unansweredFlow was answered")
		}
		wg.Go(func() {
			if err := ask(fmt.Sprintf("flow %d", i), time.Second); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			a := client.Relay(t.Context(), address, &inner.ServerCall{Budget: 1000})
			if a.GetVerdict() != inner.Verdict_VERDICT_DONE {
				t.Error(a.GetDetail())
			}
		})
	}
	wg.Wait()
}

// Guards against continued use of a connection that a middlebox dropped silently while
// the helper process is healthy. Questions must move to a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	r, address := serveBehindRelay(t)
	client := &helper.Client{HTTPClient: wire.NewMultiplexedClient(nil)}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ask := func(limit time.Duration) bool {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return client.Advise(ctx, address, &inner.AdviseRequest{Flow: "f", Budget: 1000}).GetCode() == 0
	}
	if !ask(time.Second) {
		t.Fatal("no answer before the fault")
	}
	r.BlackholeOpen(relay.Upstream, relay.Downstream)
	startedAt := time.Now()
	for !ask(200 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("no answer after the fault")
		}
	}
	if elapsed := time.Since(startedAt); elapsed > 2*time.Second {
		t.Errorf("the next answer came after %v, want at most 2 s", elapsed)
	}
}
