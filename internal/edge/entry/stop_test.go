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
func TestPlannedStopUnderLoadCutsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		time.Sleep(time.Second)
		c := w.client(w.team)
		defer c.reset()
		c.submit(0, spec("held", false, server.TaskScript{Sleep: "1h"}.Input()))
		for name, r := range w.relays {
			if innerLink(name) || outerLink(name) {
				r.SetDelay(relay.Upstream, 3*time.Millisecond)
				r.SetDelay(relay.Downstream, 3*time.Millisecond)
			}
		}
		var calls, broken, leaving atomic.Int32
		var wg sync.WaitGroup
		// note counts the call and tells whether the caller goes on.
		note := func(err error, status *v1.Status) bool {
			if refusedDial(err) {
				return false // the entry was gone before the call began
			}
			calls.Add(1)
			if err != nil {
				broken.Add(1)
			}
			if status.GetCode() == uint32(code.ShuttingDown) {
				leaving.Add(1)
			}
			return err == nil && status.GetCode() != uint32(code.ShuttingDown)
		}
		for i := range 40 {
			c := w.near()
			defer c.reset()
			wg.Go(func() {
				for n, on := 0, i%8 == 0; on; n++ {
					reply, err := c.callers[0].Submit(w.ctx, with(w.team, &v1.SubmitRequest{Jobs: []*v1.Spec{spec(fmt.Sprintf("job-%d-%d", i, n), false, nil)}}))
					on = note(err, nil) && reply != nil
					time.Sleep(time.Millisecond)
				}
			})
			wg.Go(func() {
				for on := true; on; {
					reply, err := c.callers[0].Wait(w.ctx, with(w.team, &v1.WaitRequest{Id: "held", Patience: 10_000}))
					var status *v1.Status
					if err == nil {
						status = reply.Msg.GetStatus()
					}
					on = note(err, status)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		p := w.process("e1")
		began := time.Now()
		p.stop()
		<-p.entry.Done()
		took := time.Since(began)
		wg.Wait()
		if broken.Load() > 0 || leaving.Load() != 40 || took > 7*time.Second {
			t.Errorf("of %d calls %d were cut off, %d told to go elsewhere; the stop took %v", calls.Load(), broken.Load(), leaving.Load(), took)
		}
	})
}

// near returns a client without a relay, which tells a refused dial from a call that was cut off.
func (w *world) near() *client {
	wire := &http.Transport{DialContext: w.memory.DialHost}
	return &client{
		world: w, key: w.team, reset: wire.CloseIdleConnections,
		callers: []v1.CallerClient{v1.NewCallerClient(&http.Client{Transport: wire}, "http://e1-callers:1")},
	}
}

// refusedDial tells whether a call never began because nobody listens any more.
func refusedDial(err error) bool {
	return err != nil && connect.CodeOf(err) == connect.CodeUnavailable && errors.Is(err, relay.ErrConnectionRefused)
}

// Whoever is on duty sends the signal a second time because the stop takes too
// long. The entry must go at once, though the balancer's delay is not over.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		p := w.process("e1")
		began := time.Now()
		p.stop()
		time.Sleep(100 * time.Millisecond)
		p.kill()
		<-p.entry.Done()
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the stop took %v", took)
		}
	})
}

// The balancer must see readiness fail before anything is refused: first when
// the stop begins, and for as long as no leader is in contact.
func TestReadinessFollowsTheLeaderAndTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		wire := &http.Transport{DialContext: w.dial("probe")}
		defer wire.CloseIdleConnections()
		ready := func() int {
			resp, err := (&http.Client{Transport: wire}).Get("http://e1-platform:1/readyz")
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		time.Sleep(time.Second)
		first := ready()
		set(innerLink, relay.Drop, bothWays...)(w)
		time.Sleep(3 * time.Second)
		cut := ready()
		set(innerLink, relay.Pass, bothWays...)(w)
		time.Sleep(2 * time.Second)
		back := ready()
		w.process("e1").stop()
		time.Sleep(500 * time.Millisecond)
		stopping := ready()
		if got, want := [4]int{first, cut, back, stopping}, [4]int{200, 503, 200, 503}; got != want {
			t.Errorf("readiness %v, want %v", got, want)
		}
	})
}

// A caller reads its answer so slowly that the entry's memory would fill. Its
// connection must be ended, and others must be served meanwhile.
func TestSlowReadersAreEndedAndHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		c := w.client(w.team)
		defer c.reset()
		if fault := c.runs(0, "big", server.TaskScript{AnswerSize: 500_000}); fault != "" {
			t.Fatal(fault)
		}
		slow := w.slowReader()
		defer func() { _ = slow.Close() }()
		began := time.Now()
		if fault := c.runs(0, "other", server.TaskScript{AnswerSize: 500_000}); fault != "" || time.Since(began) > time.Second {
			t.Errorf("%s after %v", fault, time.Since(began))
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
		w := newWorld(0)
		defer w.close()
		c := w.client(w.team)
		defer c.reset()
		most := 0
		for i := range 20 {
			if i == 10 {
				each(outerLink, func(r *relay.Relay) { r.BlackholeOpen(bothWays...) })(w)
			}
			if fault := c.runs(i, fmt.Sprintf("job-%d", i), server.TaskScript{Sleep: "300ms"}); fault != "" {
				t.Error(fault)
			}
			most = max(most, w.relays["s1>e1-backends"].OpenConnections()+w.relays["s1>e2-backends"].OpenConnections())
		}
		if most > 6 {
			t.Errorf("%d connections at once", most)
		}
	})
}

// An entry that was added stays without work because callers and backend
// servers keep their connections to the old ones for ever. Connections must be
// left after their age, and no call may fail for it.
func TestConnectionsAreLeftAfterTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		c := w.near()
		defer c.reset()
		time.Sleep(time.Second)
		for range 4 * int(connectionAge.Seconds()) {
			reply, err := c.callers[0].List(w.ctx, with(w.team, &v1.ListRequest{}))
			if err != nil || reply.Msg.GetStatus().GetCode() != 0 {
				t.Errorf("%v, %v", reply, err)
			}
			time.Sleep(time.Second)
		}
		caller, backend := w.memory.DialCount("e1-callers"), w.relays["s1>e1-backends"].TotalConnections()+w.relays["s1>e2-backends"].TotalConnections()
		if caller < 4 || caller > 6 || backend < 4 || backend > 6 {
			t.Errorf("%d and %d connections in the time of four lives", caller, backend)
		}
	})
}
