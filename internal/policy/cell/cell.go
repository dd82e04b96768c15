// Package cell is the product's planner: it composes the policies for urgent
// work, services, gangs and batch into one plan.Planner.
package cell

import (
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
)

// Config tunes the planner; the zero value works.
type Config struct {
	// Seed feeds the jitter of backoff.
	Seed uint64
}

// Planner decides for one cell.
type Planner struct {
	*fifo.Planner
}

var _ plan.Planner = (*Planner)(nil)

// New returns a planner that knows nothing yet.
func New(Config) *Planner { return &Planner{Planner: fifo.New()} }
