// Package eviction decides which client gives way when a process has no room left for the
// connections and the bytes that clients make it hold. Its functions are pure.
package eviction

import "time"

const (
	// StallTime is the time without headway after which the bytes of a request count as
	// stalled.
	StallTime = time.Second
	// UnreadTime is the time without headway after which a client that does not read its
	// answer gives its connection up to others. Connections that a network partition cut are
	// whole again by then.
	UnreadTime = 5 * time.Second
)

// State is what a client does with its connection.
type State uint8

// The states.
const (
	// Sending means that a request is expected or has begun to arrive.
	Sending State = iota
	// Idle means that no request is in progress on a connection that has served some.
	Idle
	// Answering means that at least one whole request is being answered.
	Answering
	// Unread means that an answer is being written and the client does not take it.
	Unread
)

// Holding is what one client holds: a connection, or the bytes of a request.
type Holding struct {
	State State
	// Bytes is the memory that the holding takes. Connections leave it 0.
	Bytes int64
	// Waited is the time since the client last made headway.
	Waited time.Duration
}

// none is the result of a choice among holdings that all stay.
const none = -1

// Connection returns the index of the connection that is closed when another one waits, or a
// negative number if all stay. Idle ones go first, then those that have made no headway for the
// longest time. A whole request is always answered.
func Connection(all []Holding) int {
	chosen := none
	for i, h := range all {
		if h.mayClose() && (chosen == none || h.closesBefore(all[chosen])) {
			chosen = i
		}
	}
	return chosen
}

func (h Holding) mayClose() bool {
	return h.State == Sending || h.State == Idle || h.State == Unread && h.Waited >= UnreadTime
}

func (h Holding) closesBefore(other Holding) bool {
	if idle := h.State == Idle; idle != (other.State == Idle) {
		return idle
	}
	return h.Waited > other.Waited
}

// Bytes returns the index of the request whose bytes are released when others need the memory,
// or a negative number if all stay. Stalled requests go before those that arrive, and among
// either the largest goes first. A whole request stays.
func Bytes(all []Holding) int {
	chosen := none
	for i, h := range all {
		if h.State == Sending && h.Bytes > 0 && (chosen == none || h.releasesBefore(all[chosen])) {
			chosen = i
		}
	}
	return chosen
}

func (h Holding) releasesBefore(other Holding) bool {
	if stalled := h.isStalled(); stalled != other.isStalled() {
		return stalled
	}
	if h.Bytes != other.Bytes {
		return h.Bytes > other.Bytes
	}
	return h.Waited > other.Waited
}

func (h Holding) isStalled() bool { return h.Waited >= StallTime }
