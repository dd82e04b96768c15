package recovery_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/policy/recovery"
)

// next takes all that may be asked at a time.
func next(q *recovery.Queue[int], now time.Duration) []int {
	var out []int
	for v, ok := q.Next(now); ok; v, ok = q.Next(now) {
		out = append(out, v)
	}
	return out
}

// Servers on which somebody waits for work must not be asked after a thousand
// that hold none.
func TestUrgentWorkIsAskedForFirst(t *testing.T) {
	var q recovery.Queue[int]
	q.Add(1, recovery.Idle)
	q.Add(2, recovery.Busy)
	q.Add(3, recovery.Urgent)
	q.Add(4, recovery.Idle)
	if d := cmp.Diff([]int{3, 2, 1, 4}, next(&q, 0)); d != "" {
		t.Error(d)
	}
}

// All servers asked in one moment leave the process no time for its heartbeats.
func TestFewAreAskedAtOnce(t *testing.T) {
	var q recovery.Queue[int]
	for v := range 1000 {
		q.Add(v, recovery.Idle)
	}
	first := next(&q, 0)
	if len(first) == 0 || len(first) > 100 {
		t.Fatalf("%d at once", len(first))
	}
	q.Done(first[0])
	q.Done(first[1])
	if more := next(&q, time.Millisecond); len(more) != 2 {
		t.Errorf("two have answered, and %d more are asked", len(more))
	}
}

// Racks went silent: their servers, asked first, must not hold up the others.
func TestSilentServersHoldNobodyUp(t *testing.T) {
	var q recovery.Queue[int]
	const silent, all = 66, 500
	for v := range all {
		q.Add(v, recovery.Busy)
	}
	answered := 0
	for at := time.Duration(0); at < 500*time.Millisecond; at += 5 * time.Millisecond {
		for _, v := range next(&q, at) {
			if v >= silent {
				q.Done(v)
				answered++
			}
		}
	}
	if answered != all-silent {
		t.Errorf("%d of %d were asked within half a second", answered, all-silent)
	}
}
