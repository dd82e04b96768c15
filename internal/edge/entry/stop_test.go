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

// A user's request is cut off while an instance is replaced as planned. The
// entry is told to stop while callers and backend servers are in the middle of
// long polls and submissions; closing its listeners at once would break them.
// Every call that was begun must get an answer, and long polls the word to go
// elsewhere.
func TestGracefulShutdownUnderLoadAnswersEveryRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		time.Sleep(time.Second)
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		c.submit(0, newSpec("held", false, server.Wish{Sleep: "1h"}.Input()))
		for name, r := range w.relays {
			if isInnerLink(name) || isOuterLink(name) {
				r.Delay(relay.Up, 3*time.Millisecond)
				r.Delay(relay.Down, 3*time.Millisecond)
			}
		}
		var calls, failed, redirected atomic.Int32
		var wg sync.WaitGroup
		// note counts the call and tells whether the caller goes on.
		countCall := func(err error, status *v1.Status) bool {
			if isRefusedDial(err) {
				return false // the entry was gone before the call began
			}
			calls.Add(1)
			if err != nil {
				failed.Add(1)
			}
			if status.GetCode() == uint32(code.Leaving) {
				redirected.Add(1)
			}
			return err == nil && status.GetCode() != uint32(code.Leaving)
		}
		for i := range 40 {
			c := w.directClient()
			defer c.closeIdle()
			wg.Go(func() {
				for n, continues := 0, i%8 == 0; continues; n++ {
					reply, err := c.callers[0].Submit(w.ctx, withKey(w.teamKey, &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(fmt.Sprintf("job-%d-%d", i, n), false, nil)}}))
					continues = countCall(err, nil) && reply != nil
					time.Sleep(time.Millisecond)
				}
			})
			wg.Go(func() {
				for continues := true; continues; {
					reply, err := c.callers[0].Wait(w.ctx, withKey(w.teamKey, &v1.WaitRequest{Id: "held", Patience: 10_000}))
					var status *v1.Status
					if err == nil {
						status = reply.Msg.GetStatus()
					}
					continues = countCall(err, status)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		p := w.currentEntry("e1")
		startedAt := time.Now()
		p.stop()
		<-p.entry.Done()
		elapsed := time.Since(startedAt)
		wg.Wait()
		if failed.Load() > 0 || redirected.Load() != 40 || elapsed > 7*time.Second {
			t.Errorf("of %d calls %d were cut off, %d told to go elsewhere; the stop took %v", calls.Load(), failed.Load(), redirected.Load(), elapsed)
		}
	})
}

// directClient returns a client without a relay, which tells a refused dial from a call that was cut off.
func (w *testCell) directClient() *retryingClient {
	transport := &http.Transport{DialContext: w.network.DialHost}
	return &retryingClient{
		cell: w, key: w.teamKey, closeIdle: transport.CloseIdleConnections,
		callers: []v1.CallerClient{v1.NewCallerClient(&http.Client{Transport: transport}, "http://e1-callers:1")},
	}
}

// isRefusedDial tells whether a call never began because nobody listens any more.
func isRefusedDial(err error) bool {
	return err != nil && connect.CodeOf(err) == connect.CodeUnavailable && errors.Is(err, relay.ErrRefused)
}

// Whoever is on duty sends the signal a second time because the stop takes too
// long. The entry must go at once, though the balancer's delay is not over.
func TestSecondSignalStopsEntryImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		p := w.currentEntry("e1")
		startedAt := time.Now()
		p.stop()
		time.Sleep(100 * time.Millisecond)
		p.kill()
		<-p.entry.Done()
		if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
			t.Errorf("the stop took %v", elapsed)
		}
	})
}

// The balancer must see readiness fail before anything is refused: first when
// the stop begins, and for as long as no leader is in contact.
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
		setFate(isInnerLink, relay.Lose, bothDirections...)(w)
		time.Sleep(3 * time.Second)
		withoutLeader := probe()
		setFate(isInnerLink, relay.Pass, bothDirections...)(w)
		time.Sleep(2 * time.Second)
		reconnected := probe()
		w.currentEntry("e1").stop()
		time.Sleep(500 * time.Millisecond)
		stopping := probe()
		if got, want := [4]int{atStart, withoutLeader, reconnected, stopping}, [4]int{200, 503, 200, 503}; got != want {
			t.Errorf("readiness %v, want %v", got, want)
		}
	})
}

// A caller reads its answer so slowly that the entry's memory would fill. Its
// connection must be ended, and others must be served meanwhile.
func TestSlowReadersAreDisconnectedWithoutDelayingOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		if problem := c.runJob(0, "big", server.Wish{Size: 500_000}); problem != "" {
			t.Fatal(problem)
		}
		slow := w.openSlowReader()
		defer func() { _ = slow.Close() }()
		startedAt := time.Now()
		if problem := c.runJob(0, "other", server.Wish{Size: 500_000}); problem != "" || time.Since(startedAt) > time.Second {
			t.Errorf("%s after %v", problem, time.Since(startedAt))
		}
		time.Sleep(2 * time.Minute)
		if _, err := slow.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the slow reader's connection is still open: %v", err)
		}
	})
}

// A backend server must stay well under its 60 connections, also after its
// entries were silent for a while.
func TestBackendServerUsesFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		maxOpen := 0
		for i := range 20 {
			if i == 10 {
				onRelays(isOuterLink, func(r *relay.Relay) { r.Forget(bothDirections...) })(w)
			}
			if problem := c.runJob(i, fmt.Sprintf("job-%d", i), server.Wish{Sleep: "300ms"}); problem != "" {
				t.Error(problem)
			}
			maxOpen = max(maxOpen, w.relays["s1>e1-backends"].Open()+w.relays["s1>e2-backends"].Open())
		}
		if maxOpen > 6 {
			t.Errorf("%d connections at once", maxOpen)
		}
	})
}

// An entry that was added stays without work because callers and backend
// servers keep their connections to the old ones for ever. Connections must be
// left after their age, and no call may fail for it.
func TestConnectionsCloseAfterMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.directClient()
		defer c.closeIdle()
		time.Sleep(time.Second)
		for range 4 * int(connectionAge.Seconds()) {
			reply, err := c.callers[0].List(w.ctx, withKey(w.teamKey, &v1.ListRequest{}))
			if err != nil || reply.Msg.GetStatus().GetCode() != 0 {
				t.Errorf("%v, %v", reply, err)
			}
			time.Sleep(time.Second)
		}
		callerConns, backendConns := w.network.Dialled("e1-callers"), w.relays["s1>e1-backends"].Opened()+w.relays["s1>e2-backends"].Opened()
		if callerConns < 4 || callerConns > 6 || backendConns < 4 || backendConns > 6 {
			t.Errorf("%d and %d connections in the time of four lives", callerConns, backendConns)
		}
	})
}
