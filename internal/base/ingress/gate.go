// Package ingress bounds what clients can make a process hold: connections, and the bytes of
// requests whether whole or not. Clients that make no headway give way to others. The listeners of
// a process share its Gates.
package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/semaphore"

	"gypsumreel/internal/base/bounds"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/policy/eviction"
)

const (
	// smallBytes is the size up to which a request always finds room. The number of
	// connections bounds such requests.
	smallBytes = 8 << 10
	// decodeFactor is the memory that a body takes while it is decoded and passed on, relative
	// to its size.
	decodeFactor = 4
	// freedDivisor sets how much is freed at a time: one eighth of the room.
	freedDivisor = 8
)

// ErrNoRoom means that the bytes of a request were released because others need the memory.
// The request was not passed on.
var ErrNoRoom = errors.New("the process has no room for the request")

// Gate holds the account of what clients make a process hold. Processes of the cell and other
// clients have one each. The exported fields must be set before use. A nil Gate has no limits.
type Gate struct {
	// Name is the label of the Gate's metrics.
	Name string
	// RequestBytes is the room for the bytes of requests. 0 means the default for an instance of
	// unknown size.
	RequestBytes int64
	// Trusted is true for processes of the cell. What their streams take is not charged.
	Trusted bool
	// Log receives an event for the first of a series of refusals.
	Log logr.Logger

	initOnce sync.Once
	// held is the number of bytes that requests hold, and decode the room for those being decoded.
	// leaving is the part of held that has been released and is still in use for a moment.
	held, leaving atomic.Int64
	decode        *semaphore.Weighted
	logs          event.RateLimiter

	mu sync.Mutex
	// bodies holds the bodies that may be released, and listeners those with connections.
	bodies    map[*body]bool
	listeners []*listener
	// The counters count what gave way.
	releasedRequests, refusedDecodings, closedConns *metrics.Counter
}

// init sets the defaults.
func (g *Gate) init() {
	g.initOnce.Do(func() {
		if g.RequestBytes == 0 {
			g.RequestBytes = bounds.RequestBytes(0)
		}
		g.decode = semaphore.NewWeighted(g.RequestBytes)
		g.bodies = map[*body]bool{}
		from := meter.Label{Name: "from", Value: g.Name}
		g.releasedRequests = meter.ProcessMetrics.GetOrCreateCounter(meter.Name("ingress", "requests_released_total", from))
		g.refusedDecodings = meter.ProcessMetrics.GetOrCreateCounter(meter.Name("ingress", "decodings_refused_total", from))
		g.closedConns = meter.ProcessMetrics.GetOrCreateCounter(meter.Name("ingress", "connections_closed_total", from))
		meter.ProcessMetrics.GetOrCreateGauge(meter.Name("ingress", "held_bytes", from), func() float64 { return float64(g.held.Load()) })
	})
}

// startedAt is the beginning of the clock on which headway is measured. It stops while the machine
// is suspended and no client can make any.
var startedAt = time.Now()

func now() time.Duration { return time.Since(startedAt) }

// Held returns the number of bytes that requests hold.
func (g *Gate) Held() int64 { return g.held.Load() }

// charge adds n bytes to the account, and makes others give way if there is no room.
func (g *Gate) charge(n int64) {
	if g.held.Add(n)-g.leaving.Load() > g.RequestBytes {
		g.makeRoom()
	}
}

// makeRoom releases requests that are not whole until some room is free.
func (g *Gate) makeRoom() {
	g.mu.Lock()
	defer g.mu.Unlock()
	excess := g.held.Load() - g.leaving.Load() - g.RequestBytes
	if excess <= 0 {
		return
	}
	holdings, evict := g.holdings()
	for excess += g.RequestBytes / freedDivisor; excess > 0; {
		i := eviction.Bytes(holdings)
		if i < 0 {
			return
		}
		excess -= holdings[i].Bytes
		evict[i]()
		g.releasedRequests.Inc()
		g.logs.Log(g.Log, event.RequestReleased, "held", g.held.Load(), "room", g.RequestBytes, "bytes", holdings[i].Bytes, "waited", holdings[i].Waited.String())
		holdings, evict = remove(holdings, i), remove(evict, i)
	}
}

// remove returns all without element i, in another order.
func remove[T any](all []T, i int) []T {
	all[i] = all[len(all)-1]
	return all[:len(all)-1]
}

// holdings returns what requests hold that are not whole, and for each how it is released. The
// caller holds mu.
func (g *Gate) holdings() (all []eviction.Holding, evict []func()) {
	at := now()
	for b := range g.bodies {
		all, evict = append(all, b.holding(at)), append(evict, b.release)
	}
	for _, l := range g.listeners {
		for _, c := range l.conns() {
			if n := c.headerBytes.Load(); n > smallBytes {
				all, evict = append(all, eviction.Holding{State: c.state(), Bytes: n, Waited: c.waited(at)}), append(evict, c.evict)
			}
		}
	}
	return all, evict
}
