package leader

import (
	"time"

	"gypsumreel/internal/api/inner"
)

// minClockRate is the rate of the slowest clock of a leader relative to the clock of this
// process. A request must not be told to have begun later than it did, so the leader's clock
// is assumed to be slower than any real one.
const minClockRate = 0.98

// leaderClock is a time that the clock of the leader of a term has reached.
type leaderClock struct {
	term uint64
	// reached is the time that the leader sent, receivedAt the time of this process's clock at
	// which it was received. The leader's clock had reached it by then.
	reached, receivedAt time.Duration
}

// record records a time in milliseconds that the leader of a term sent, unless a later one is
// known. An earlier build sends 0.
func (k *leaderClock) record(term, ms uint64, receivedAt time.Duration) {
	reached := time.Duration(ms) * time.Millisecond
	if ms > 0 && (term > k.term || term == k.term && reached > k.earliest(receivedAt)) {
		*k = leaderClock{term, reached, receivedAt}
	}
}

// earliest returns the earliest time that the leader's clock can show at the time now of this
// process's clock.
func (k *leaderClock) earliest(now time.Duration) time.Duration {
	return k.reached + time.Duration(minClockRate*float64(now-k.receivedAt))
}

// stampRequest tells the leader when the request began. The leader refuses an earlier request
// that arrives after it has refused a later one for the same flow.
func (c *Client) stampRequest(request *inner.FlowAsk, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderClock.term > 0 {
		request.Begun, request.BegunTerm = uint64(c.leaderClock.earliest(now)/time.Millisecond), c.leaderClock.term
	}
}
