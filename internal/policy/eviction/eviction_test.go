package eviction_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/policy/eviction"
)

const second = time.Second

// Guards against closing the connection of an ordinary caller while a client without headway
// keeps its own.
func TestConnectionWithoutHeadwayCloses(t *testing.T) {
	for name, c := range map[string]struct {
		all  []eviction.Holding
		want int
	}{
		"nobody":                {nil, -1},
		"longest":               {[]eviction.Holding{{Waited: second}, {Waited: 3 * second}, {Waited: 2 * second}}, 1},
		"idle first":            {[]eviction.Holding{{Waited: 9 * second}, {State: eviction.Idle, Waited: second}}, 1},
		"longest idle":          {[]eviction.Holding{{State: eviction.Idle, Waited: second}, {State: eviction.Idle, Waited: 2 * second}}, 1},
		"whole requests stay":   {[]eviction.Holding{{State: eviction.Answering, Waited: 9 * second}, {Waited: 0}}, 1},
		"only whole requests":   {[]eviction.Holding{{State: eviction.Answering, Waited: 9 * second}}, -1},
		"answer that is unread": {[]eviction.Holding{{State: eviction.Unread, Waited: eviction.UnreadTime}, {Waited: second}}, 0},
		"answer on its way":     {[]eviction.Holding{{State: eviction.Unread, Waited: eviction.UnreadTime - 1}}, -1},
	} {
		if diff := cmp.Diff(c.want, eviction.Connection(c.all)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against releasing what arrives for what has stalled, and the small for the large.
func TestStalledAndLargeRequestsAreReleasedFirst(t *testing.T) {
	for name, c := range map[string]struct {
		all  []eviction.Holding
		want int
	}{
		"nobody":              {nil, -1},
		"nothing held":        {[]eviction.Holding{{Waited: 9 * second}}, -1},
		"largest":             {[]eviction.Holding{{Bytes: 1}, {Bytes: 3}, {Bytes: 2}}, 1},
		"stalled before":      {[]eviction.Holding{{Bytes: 9}, {Bytes: 1, Waited: eviction.StallTime}}, 1},
		"largest stalled":     {[]eviction.Holding{{Bytes: 1, Waited: 9 * second}, {Bytes: 2, Waited: second}}, 1},
		"slowest of a size":   {[]eviction.Holding{{Bytes: 1, Waited: 2 * second}, {Bytes: 1, Waited: 3 * second}}, 1},
		"whole requests stay": {[]eviction.Holding{{State: eviction.Answering, Bytes: 9, Waited: 9 * second}, {Bytes: 1}}, 1},
		"only whole requests": {[]eviction.Holding{{State: eviction.Answering, Bytes: 9}}, -1},
	} {
		if diff := cmp.Diff(c.want, eviction.Bytes(c.all)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against an order of eviction in which a whole request or the newest small one goes while
// another client holds more for longer.
func TestNobodyGoesBeforeAWorseOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) eviction.Holding {
			return eviction.Holding{
				State:  eviction.State(rapid.IntRange(0, 3).Draw(t, "state")),
				Bytes:  int64(rapid.IntRange(0, 5).Draw(t, "bytes")),
				Waited: time.Duration(rapid.IntRange(0, 7).Draw(t, "waited")) * second,
			}
		}), 1, 8).Draw(t, "all")
		if i := eviction.Bytes(all); i >= 0 {
			for _, h := range all {
				if h.State == eviction.Sending && h.Bytes > all[i].Bytes && h.Waited > all[i].Waited {
					t.Fatalf("%+v goes before %+v", all[i], h)
				}
			}
		}
		if i := eviction.Connection(all); i >= 0 && (all[i].State == eviction.Answering || all[i].State == eviction.Unread && all[i].Waited < eviction.UnreadTime) {
			t.Fatalf("%+v is closed", all[i])
		}
	})
}
