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
	b := files.NewBudget(1000)
	servers := 0
	for b.TryAcquire(files.Servers) {
		servers++
	}
	callers := 0
	for b.TryAcquire(files.Callers) {
		callers++
	}
	processes := 0
	for b.TryAcquire(files.Processes) {
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
		b := files.NewBudget(limit)
		open := map[files.Purpose]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			u := files.Purpose(rapid.IntRange(int(files.Processes), int(files.Servers)).Draw(t, "use"))
			if many := rapid.IntRange(-20, 200).Draw(t, "many"); many > 0 {
				for range many {
					if b.TryAcquire(u) {
						open[u]++
					}
				}
			} else if open[u] > 0 {
				b.Release(u)
				open[u]--
			}
			total := 0
			for _, r := range b.Usage() {
				total += r.Open
				if r.Use == files.Essential.String() || r.Use == files.Peers.String() {
					total += r.Kept
				}
			}
			if total > limit {
				t.Fatalf("%d of %d: %+v", total, limit, b.Usage())
			}
		}
	})
}

// Who waits must go on when another is done, the more important use first, and
// must not wait for ever.
func TestWaitEndsWithRoomOrTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := files.NewBudget(100)
		for b.TryAcquire(files.Servers) {
		}
		for b.TryAcquire(files.Callers) {
		}
		var order []files.Purpose
		wait := func(u files.Purpose) {
			if err := b.Acquire(t.Context(), u, func() {}); err == nil {
				order = append(order, u)
			}
		}
		go wait(files.Servers)
		time.Sleep(time.Millisecond)
		go wait(files.Callers)
		time.Sleep(time.Millisecond)
		b.Release(files.Callers)
		synctest.Wait()
		if len(order) != 1 || order[0] != files.Callers {
			t.Errorf("went on: %v", order)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Acquire(ctx, files.Callers, func() {}); !errors.Is(err, files.ErrNoFiles) {
			t.Errorf("got %v", err)
		}
		b.Release(files.Servers)
		synctest.Wait()
		if len(order) != 2 {
			t.Errorf("went on: %v", order)
		}
	})
}

// Idle connections of callers that keep all others out are let go.
func TestIdleCallersMakeRoom(t *testing.T) {
	b := files.NewBudget(40)
	var open atomic.Int32
	s := httptest.NewUnstartedServer(b.CloseUnderPressure(files.Callers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Listener = b.LimitListener(files.Callers, s.Listener)
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
	if got := files.ProcessLimit(100); got != 100 {
		t.Errorf("with 100 in the settings: %d", got)
	}
	if got := files.ProcessLimit(0); got < 100 {
		t.Errorf("without settings: %d", got)
	}
	if got := files.ProcessLimit(1 << 40); got != files.ProcessLimit(0) {
		t.Errorf("with more in the settings than the system allows: %d", got)
	}
}
