package recovery_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/recovery"
)

// nextAll returns all servers that may be contacted at the given time.
func nextAll(q *recovery.Queue[int], now time.Duration) []int {
	var out []int
	for v, ok := q.Next(now); ok; v, ok = q.Next(now) {
		out = append(out, v)
	}
	return out
}

// Servers with urgent work must not be contacted after a thousand idle servers.
func TestServersWithUrgentWorkAreAskedFirst(t *testing.T) {
	var q recovery.Queue[int]
	q.Add(1, recovery.Idle)
	q.Add(2, recovery.Busy)
	q.Add(3, recovery.Urgent)
	q.Add(4, recovery.Idle)
	if d := cmp.Diff([]int{3, 2, 1, 4}, nextAll(&q, 0)); d != "" {
		t.Error(d)
	}
}

// If all servers were contacted at once, the process would miss its heartbeats.
func TestPendingRequestsAreLimited(t *testing.T) {
	var q recovery.Queue[int]
	for v := range 1000 {
		q.Add(v, recovery.Idle)
	}
	first := nextAll(&q, 0)
	if len(first) == 0 || len(first) > 100 {
		t.Fatalf("%d servers contacted at once, want 1 to 100", len(first))
	}
	q.Done(first[0])
	q.Done(first[1])
	if more := nextAll(&q, time.Millisecond); len(more) != 2 {
		t.Errorf("%d more servers contacted after two answers, want 2", len(more))
	}
}

// Several racks are silent. Their servers are contacted first and must not delay the others.
func TestSilentServersDoNotDelayOthers(t *testing.T) {
	var q recovery.Queue[int]
	const silent, all = 66, 500
	for v := range all {
		q.Add(v, recovery.Busy)
	}
	answered := 0
	for now := time.Duration(0); now < 500*time.Millisecond; now += 5 * time.Millisecond {
		for _, v := range nextAll(&q, now) {
			if v >= silent {
				q.Done(v)
				answered++
			}
		}
	}
	if answered != all-silent {
		t.Errorf("%d of %d healthy servers were contacted within half a second", answered, all-silent)
	}
}
