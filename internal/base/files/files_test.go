package files_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"gypsumreel/internal/base/files"
)

// Calls to servers that take every file leave none for the log, for votes and for
// those who ask.
func TestCallsLeaveFilesForTheRest(t *testing.T) {
	b := files.New(1000)
	servers := 0
	for b.Take(files.Servers) {
		servers++
	}
	callers := 0
	for b.Take(files.Callers) {
		callers++
	}
	processes := 0
	for b.Take(files.Processes) {
		processes++
	}
	if servers < 200 || callers < 100 || processes < 50 {
		t.Errorf("servers %d, callers %d, processes %d", servers, callers, processes)
	}
	if left := 1000 - servers - callers - processes; left < 200 {
		t.Errorf("%d are left for our own files and the peers", left)
	}
}

// What one use does not need the uses after it may have, and no more are ever open
// than the process may open.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5000).Draw(t, "limit")
		b := files.New(limit)
		open := map[files.Use]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			u := files.Use(rapid.IntRange(int(files.Processes), int(files.Servers)).Draw(t, "use"))
			if many := rapid.IntRange(-20, 200).Draw(t, "many"); many > 0 {
				for range many {
					if b.Take(u) {
						open[u]++
					}
				}
			} else if open[u] > 0 {
				b.Free(u)
				open[u]--
			}
			total := 0
			for _, r := range b.Rows() {
				total += r.Open
				if r.Use == files.Own.String() || r.Use == files.Peers.String() {
					total += r.Kept
				}
			}
			if total > limit {
				t.Fatalf("%d of %d: %+v", total, limit, b.Rows())
			}
		}
	})
}

// Who waits must go on when another is done, the more important use first, and
// must not wait for ever.
func TestWaitEndsWithRoomOrTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := files.New(100)
		for b.Take(files.Servers) {
		}
		for b.Take(files.Callers) {
		}
		var order []files.Use
		wait := func(u files.Use) {
			if err := b.Wait(t.Context(), u, func() {}); err == nil {
				order = append(order, u)
			}
		}
		go wait(files.Servers)
		time.Sleep(time.Millisecond)
		go wait(files.Callers)
		time.Sleep(time.Millisecond)
		b.Free(files.Callers)
		synctest.Wait()
		if len(order) != 1 || order[0] != files.Callers {
			t.Errorf("went on: %v", order)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Wait(ctx, files.Callers, func() {}); !errors.Is(err, files.ErrNone) {
			t.Errorf("got %v", err)
		}
		b.Free(files.Servers)
		synctest.Wait()
		if len(order) != 2 {
			t.Errorf("went on: %v", order)
		}
	})
}

// Idle connections of callers that keep all others out are let go.
func TestIdleCallersMakeRoom(t *testing.T) {
	b := files.New(40)
	var open atomic.Int32
	s := httptest.NewUnstartedServer(b.Serve(files.Callers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Listener = b.Listen(files.Callers, s.Listener)
	s.Start()
	defer s.Close()
	for range 200 {
		// Each caller has a connection of its own and keeps it.
		c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
		defer c.CloseIdleConnections()
		r, err := c.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	if n := open.Load(); n > 40 {
		t.Errorf("%d connections are open", n)
	}
}

// The limit is the lower one of the system's and the settings'.
func TestLimitIsTheLowerOne(t *testing.T) {
	if got := files.Limit(100); got != 100 {
		t.Errorf("with 100 in the settings: %d", got)
	}
	if got := files.Limit(0); got < 100 {
		t.Errorf("without settings: %d", got)
	}
	if got := files.Limit(1 << 40); got != files.Limit(0) {
		t.Errorf("with more in the settings than the system allows: %d", got)
	}
}
