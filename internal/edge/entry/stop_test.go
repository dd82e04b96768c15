package entry_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/fake/relay"
	"gypsumreel/internal/fake/server"
)

// An entry shuts down during long polls and submissions, as when its instance is
// replaced. Guards against calls that are dropped because the entry closes its
// connections too early. Every call must get an answer, and long polls must get the
// advice to use another entry.
func TestGracefulShutdownUnderLoadAnswersEveryRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		time.Sleep(time.Second)
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		c.submit(0, newSpec("held", false, server.TaskScript{Sleep: "1h"}.Input()))
		for name, r := range w.relays {
			if isInnerConnection(name) || isOuterConnection(name) {
				r.SetDelay(relay.Upstream, 3*time.Millisecond)
				r.SetDelay(relay.Downstream, 3*time.Millisecond)
			}
		}
		var calls, failed, redirected atomic.Int32
		var wg sync.WaitGroup
		// countCall counts a call and reports whether the caller makes another one.
		countCall := func(err error, status *v1.Status) bool {
			if isRefusedDial(err) {
				return false // the entry had stopped before the call began
			}
			calls.Add(1)
			if err != nil {
				failed.Add(1)
			}
			if status.GetCode() == uint32(code.ShuttingDown) {
				redirected.Add(1)
			}
			return err == nil && status.GetCode() != uint32(code.ShuttingDown)
		}
		for i := range 40 {
			c := w.directClient()
			defer c.closeIdle()
			wg.Go(func() {
				for n, callAgain := 0, i%8 == 0; callAgain; n++ {
					reply, err := c.callerClients[0].Submit(w.ctx, withKey(w.teamKey, &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(fmt.Sprintf("job-%d-%d", i, n), false, nil)}}))
					callAgain = countCall(err, nil) && reply != nil
					time.Sleep(time.Millisecond)
				}
			})
			wg.Go(func() {
				for callAgain := true; callAgain; {
					reply, err := c.callerClients[0].Wait(w.ctx, withKey(w.teamKey, &v1.WaitRequest{Id: "held", Patience: 10_000}))
					var status *v1.Status
					if err == nil {
						status = reply.Msg.GetStatus()
					}
					callAgain = countCall(err, status)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		run := w.currentEntry("e1")
		startedAt := time.Now()
		run.stop()
		<-run.entry.Done()
		elapsed := time.Since(startedAt)
		wg.Wait()
		if failed.Load() > 0 || redirected.Load() != 40 || elapsed > 7*time.Second {
			t.Errorf("%d of %d calls failed, %d were sent to another entry, want 0 and 40; the shutdown took %v, want at most 7s", failed.Load(), calls.Load(), redirected.Load(), elapsed)
		}
	})
}

// directClient returns a client that connects without a relay. With a relay, a refused
// connection could not be told apart from a dropped call.
func (w *testCell) directClient() *retryingClient {
	transport := &http.Transport{DialContext: w.network.DialHost}
	return &retryingClient{
		cell: w, key: w.teamKey, closeIdle: transport.CloseIdleConnections,
		callerClients: []v1.CallerClient{v1.NewCallerClient(&http.Client{Transport: transport}, "http://e1-callers:1")},
	}
}

// isRefusedDial reports whether a call failed because the listener is closed.
func isRefusedDial(err error) bool {
	return err != nil && connect.CodeOf(err) == connect.CodeUnavailable && errors.Is(err, relay.ErrConnectionRefused)
}

// An operator sends a second termination signal because the shutdown takes too long.
// Guards against an entry that still waits for the end of its shutdown delay.
func TestSecondSignalStopsEntryImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		run := w.currentEntry("e1")
		startedAt := time.Now()
		run.stop()
		time.Sleep(100 * time.Millisecond)
		run.kill()
		<-run.entry.Done()
		if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
			t.Errorf("the entry stopped after %v, want at most 200ms", elapsed)
		}
	})
}

// Guards against a load balancer that sends requests to an entry which would refuse
// them. Readiness checks must fail while the entry has no contact with the leader and
// from the beginning of its shutdown.
func TestReadinessReflectsLeaderContactAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		transport := &http.Transport{DialContext: w.dialFrom("probe")}
		defer transport.CloseIdleConnections()
		probe := func() int {
			resp, err := (&http.Client{Transport: transport}).Get("http://e1-platform:1/readyz")
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		time.Sleep(time.Second)
		atStart := probe()
		setRelayFate(isInnerConnection, relay.Drop, bothDirections...)(w)
		time.Sleep(3 * time.Second)
		withoutLeader := probe()
		setRelayFate(isInnerConnection, relay.Pass, bothDirections...)(w)
		time.Sleep(2 * time.Second)
		reconnected := probe()
		w.currentEntry("e1").stop()
		time.Sleep(500 * time.Millisecond)
		duringShutdown := probe()
		if got, want := [4]int{atStart, withoutLeader, reconnected, duringShutdown}, [4]int{200, 503, 200, 503}; got != want {
			t.Errorf("readiness %v, want %v", got, want)
		}
	})
}

// A caller does not read its answer, so that the entry has to buffer it. Guards
// against slow readers that fill the entry's memory or delay other callers.
func TestSlowReadersAreDisconnectedWithoutDelayingOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		if problem := c.runJob(0, "big", server.TaskScript{AnswerSize: 500_000}); problem != "" {
			t.Fatal(problem)
		}
		slowConn := w.openSlowReader()
		defer func() { _ = slowConn.Close() }()
		startedAt := time.Now()
		if problem := c.runJob(0, "other", server.TaskScript{AnswerSize: 500_000}); problem != "" || time.Since(startedAt) > time.Second {
			t.Errorf("the other caller's job: problem %q, finished after %v, want at most 1s", problem, time.Since(startedAt))
		}
		time.Sleep(2 * time.Minute)
		if _, err := slowConn.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the slow reader's connection is still open: %v", err)
		}
	})
}

// Guards against a backend server that accumulates connections while its entries do not
// respond. A backend server may have 60 connections and must stay well below that.
func TestBackendServerUsesFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		maxOpen := 0
		for i := range 20 {
			if i == 10 {
				applyToRelays(isOuterConnection, func(r *relay.Relay) { r.BlackholeOpen(bothDirections...) })(w)
			}
			if problem := c.runJob(i, fmt.Sprintf("job-%d", i), server.TaskScript{Sleep: "300ms"}); problem != "" {
				t.Error(problem)
			}
			maxOpen = max(maxOpen, w.relays["s1>e1-backends"].OpenConnections()+w.relays["s1>e2-backends"].OpenConnections())
		}
		if maxOpen > 6 {
			t.Errorf("the backend server had %d connections at once, want at most 6", maxOpen)
		}
	})
}

// Guards against a new entry that gets no load, because callers and backend servers never
// close their connections to the old ones. Connections must be replaced when they
// reach their maximum age, without a failed call.
func TestConnectionsCloseAfterMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.directClient()
		defer c.closeIdle()
		time.Sleep(time.Second)
		for range 4 * int(connectionAge.Seconds()) {
			reply, err := c.callerClients[0].List(w.ctx, withKey(w.teamKey, &v1.ListRequest{}))
			if err != nil || reply.Msg.GetStatus().GetCode() != 0 {
				t.Errorf("a List call got reply %v, error %v", reply, err)
			}
			time.Sleep(time.Second)
		}
		callerConns, backendConns := w.network.DialCount("e1-callers"), w.relays["s1>e1-backends"].TotalConnections()+w.relays["s1>e2-backends"].TotalConnections()
		if callerConns < 4 || callerConns > 6 || backendConns < 4 || backendConns > 6 {
			t.Errorf("the caller opened %d and the backend server %d connections within four maximum ages, want 4 to 6", callerConns, backendConns)
		}
	})
}
