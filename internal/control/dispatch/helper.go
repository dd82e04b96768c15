package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/api/inner"
)

const (
	// helperAge is how long a process counts as a helper after it was heard of.
	helperAge = 2 * time.Second
	// helperPause is how long a helper whose call failed is passed over.
	helperPause = 500 * time.Millisecond
)

// helper is a process that makes calls for the leader, one question to the
// adviser at a time. The one with an empty address is this process.
type helper struct {
	address string
	zone    string
	heard   time.Duration
	busy    bool
	long    bool
	avoid   time.Duration
	used    time.Duration
}

func (h *helper) take(long bool) { h.busy, h.long = true, long }

func (h *helper) free(worked bool, now time.Duration) {
	h.busy, h.long, h.used = false, false, now
	if !worked {
		h.avoid = now + helperPause
	}
}

// alive tells whether the process was heard of lately; this process always was.
func (h *helper) alive(now time.Duration) bool {
	return h.address == "" || now-h.heard <= helperAge
}

// asks tells whether the process can be asked for something now, busy or not.
func (h *helper) asks(now time.Duration) bool { return h.alive(now) && now >= h.avoid }

// joiner is a control replica that made itself known and may be no member yet.
type joiner struct {
	address string
	heard   time.Duration
}

// Greet makes a process known and tells it who leads; any goroutine may call it.
func (d *Dispatcher) Greet(ctx context.Context, g *inner.Greeting) *inner.Welcome {
	heard := d.Now()
	w, err := ask(ctx, d, errNotLeading, func(reply func(*inner.Welcome)) {
		if g.GetReplica() != "" {
			d.joiners[g.GetReplica()] = &joiner{address: g.GetAddress(), heard: heard}
		}
		h := d.helpers[g.GetAddress()]
		if h == nil {
			h = &helper{address: g.GetAddress(), zone: g.GetZone()}
			d.helpers[g.GetAddress()] = h
		}
		h.heard = heard
		if g.GetClock() > 0 {
			d.agreed.Hear(g.GetAddress(), time.Duration(g.GetClock()), heard)
		}
		out := &inner.Welcome{Term: d.lead.term, Leads: true, Version: d.Host.Flows().Config().GetVersion()}
		for _, m := range d.Host.Members().Members {
			out.Members = append(out.Members, m.Address)
		}
		d.Host.After(func() { reply(out) })
	})
	if err != nil {
		return &inner.Welcome{}
	}
	return w
}

// forgetHelpers drops processes that were not heard of for long.
func (d *Dispatcher) forgetHelpers(now time.Duration) {
	maps.DeleteFunc(d.helpers, func(_ string, h *helper) bool { return !h.busy && h.address != "" && now-h.heard > 10*helperAge })
	maps.DeleteFunc(d.joiners, func(_ string, j *joiner) bool { return now-j.heard > 10*helperAge })
}

// freeHelper returns the process that may ask the next question, the one that
// rested longest; nil when none is free. This process asks too, as the last.
func (d *Dispatcher) freeHelper(long bool, now time.Duration) *helper {
	if d.helpers[""] == nil {
		d.helpers[""] = &helper{}
	}
	var best *helper
	alive, occupied := 0, 0
	for _, address := range slices.Sorted(maps.Keys(d.helpers)) {
		h := d.helpers[address]
		if !h.asks(now) {
			continue
		}
		alive++
		if h.busy {
			if h.long {
				occupied++
			}
			continue
		}
		if best == nil || best.address == "" || address != "" && h.used < best.used {
			best = h
		}
	}
	if long && occupied*longOf >= alive*longParts {
		return nil
	}
	return best
}

// resting counts the helpers that are not busy, and all that can be asked.
func (d *Dispatcher) resting(now time.Duration) (resting, alive int) {
	for _, h := range d.helpers {
		if !h.asks(now) {
			continue
		}
		alive++
		if !h.busy {
			resting++
		}
	}
	return resting, alive
}

// otherWay returns the next way to a server that could not be reached: through
// each helper in turn, then directly again. Every server has an order of its own:
// one helper that relayed for all of them would run out of connections, since
// each relayed call waits at its server.
func (d *Dispatcher) otherWay(server, now string) string {
	turn := func(address string) uint64 { return xxhash.Sum64String(server + " " + address) }
	next, found := "", false
	for address, h := range d.helpers {
		if address == "" || !h.alive(d.Now()) || now != "" && turn(address) <= turn(now) {
			continue
		}
		if !found || turn(address) < turn(next) {
			next, found = address, true
		}
	}
	return next
}
