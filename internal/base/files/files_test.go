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

// Guards against connections to backend servers that use all files, so that none are
// left for the journal, for votes and for callers.
func TestServerConnectionsLeaveFilesForOtherPurposes(t *testing.T) {
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
		t.Errorf("acquired %d files for servers, %d for callers, %d for processes; want at least 200, 100 and 50", servers, callers, processes)
	}
	if free := 1000 - servers - callers - processes; free < 200 {
		t.Errorf("%d files are left for Essential and Peers, want at least 200", free)
	}
}

// Guards against more open files than the limit when purposes use files that others
// leave free.
func TestOpenFilesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5000).Draw(t, "limit")
		b := files.NewBudget(limit)
		open := map[files.Purpose]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			p := files.Purpose(rapid.IntRange(int(files.Processes), int(files.Servers)).Draw(t, "use"))
			if acquisitions := rapid.IntRange(-20, 200).Draw(t, "many"); acquisitions > 0 {
				for range acquisitions {
					if b.TryAcquire(p) {
						open[p]++
					}
				}
			} else if open[p] > 0 {
				b.Release(p)
				open[p]--
			}
			total := 0
			for _, r := range b.Usage() {
				total += r.Open
				if r.Use == files.Essential.String() || r.Use == files.Peers.String() {
					total += r.Kept
				}
			}
			if total > limit {
				t.Fatalf("%d files open or reserved with a limit of %d: %+v", total, limit, b.Usage())
			}
		}
	})
}

// Guards against a caller that waits forever, and against a less important purpose
// that gets a freed file first.
func TestAcquireEndsWithAFileOrAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := files.NewBudget(100)
		for b.TryAcquire(files.Servers) {
		}
		for b.TryAcquire(files.Callers) {
		}
		var admitted []files.Purpose
		acquire := func(p files.Purpose) {
			if err := b.Acquire(t.Context(), p, func() {}); err == nil {
				admitted = append(admitted, p)
			}
		}
		go acquire(files.Servers)
		time.Sleep(time.Millisecond)
		go acquire(files.Callers)
		time.Sleep(time.Millisecond)
		b.Release(files.Callers)
		synctest.Wait()
		if len(admitted) != 1 || admitted[0] != files.Callers {
			t.Errorf("callers that got a file, in order: %v", admitted)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Acquire(ctx, files.Callers, func() {}); !errors.Is(err, files.ErrNoFiles) {
			t.Errorf("Acquire returned %v, want %v", err, files.ErrNoFiles)
		}
		b.Release(files.Servers)
		synctest.Wait()
		if len(admitted) != 2 {
			t.Errorf("callers that got a file, in order: %v", admitted)
		}
	})
}

// Guards against idle connections of callers that keep new callers from connecting.
func TestIdleConnectionsAreClosedForNewCallers(t *testing.T) {
	b := files.NewBudget(40)
	var open atomic.Int32
	s := httptest.NewUnstartedServer(b.CloseUnderPressure(files.Callers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
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
		// Each caller keeps a separate connection open.
		c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
		defer c.CloseIdleConnections()
		r, err := c.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	if n := open.Load(); n > 40 {
		t.Errorf("%d connections are open, want at most 40", n)
	}
}

func TestLimitIsTheLowerOfSystemAndSettings(t *testing.T) {
	if got := files.ProcessLimit(100); got != 100 {
		t.Errorf("limit is %d with 100 in the settings", got)
	}
	if got := files.ProcessLimit(0); got < 100 {
		t.Errorf("limit is %d without a configured limit", got)
	}
	if got := files.ProcessLimit(1 << 40); got != files.ProcessLimit(0) {
		t.Errorf("limit is %d with more in the settings than the system allows", got)
	}
}
