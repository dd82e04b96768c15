// Package backend holds backend servers as the ledger knows them.
package backend

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// State says what a backend server may be given.
type State uint8

// The states of a backend server.
const (
	// Ready servers take new work.
	Ready State = iota + 1
	// Draining servers finish what they have and take nothing new.
	Draining
	// Suspect servers have not been heard from; they take nothing new.
	Suspect
	// Quarantined servers failed what others ran; they take only probes.
	Quarantined
	// Gone servers are proved to run nothing: left or past their lease.
	Gone
)

var stateNames = [...]string{"none", "ready", "draining", "suspect", "quarantined", "gone"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Server is one backend server. It is a value: methods return a new one.
type Server struct {
	ID string
	// Incarnation numbers the server's sessions; it grows with each announcement.
	Incarnation uint64
	// Nonce is the server's own random number of its run.
	Nonce    uint64
	Capacity capacity.Size
	Rack     string
	// Zone is the availability zone.
	Zone   string
	Labels map[string]string
	State  State
	// StateSince is when the state was entered, on the ledger's clock.
	StateSince time.Duration
}

// WithState returns the server in another state, entered at the time given.
func (s Server) WithState(state State, at time.Duration) Server {
	s.State, s.StateSince = state, at
	return s
}
