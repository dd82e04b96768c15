// Package backend defines the ledger's record of a backend server.
package backend

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// State determines which work a backend server may receive.
type State uint8

// The states of a backend server.
const (
	// Ready servers accept new work.
	Ready State = iota + 1
	// Draining servers finish their tasks and receive no new work. They shut down
	// gracefully, or an operator drains them or their zone.
	Draining
	// Suspect servers have stopped reporting; they receive no new work.
	Suspect
	// Quarantined servers failed tasks that other servers completed; they receive
	// only probe tasks.
	Quarantined
	// Gone servers run nothing, because they have shut down or their lease has
	// expired.
	Gone
)

var stateNames = [...]string{"none", "ready", "draining", "suspect", "quarantined", "gone"}

// String returns the state's name in lower case, or "none" for an unknown state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Server describes one backend server. Methods return a changed copy.
type Server struct {
	ID string
	// Incarnation numbers the server's sessions and grows with each announcement.
	Incarnation uint64
	// Nonce is a random number that the server process draws at its start.
	Nonce    uint64
	Capacity capacity.Size
	Rack     string
	// Zone is the availability zone.
	Zone   string
	Labels map[string]string
	State  State
	// StateSince is the time on the ledger's clock at which State was entered.
	StateSince time.Duration
}

// WithState returns a copy of the server in the given state, entered at enteredAt.
func (s Server) WithState(state State, enteredAt time.Duration) Server {
	s.State, s.StateSince = state, enteredAt
	return s
}
