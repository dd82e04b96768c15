// Package team holds a team's row of the table: its weight, share and limits.
package team

import "gypsumreel/internal/domain/capacity"

// Defaults of a row that leaves a field unset.
const (
	DefaultWeight = 1
	DefaultQueue  = 10_000
)

// Row is one team's line of the table. It is a value: methods return a new one.
type Row struct {
	// Name identifies the team.
	Name string
	// Weight divides what the guaranteed shares leave over; 1 or more.
	Weight uint32
	// Share is the guaranteed part of the cell in thousandths.
	Share uint32
	// Limit bounds everything of the team that runs at once; capacity.Unlimited per field.
	Limit capacity.Size
	// Queue bounds the jobs of the team that wait at once.
	Queue uint32
}

// New returns a row with the defaults and no limit.
func New(name string) Row {
	u := int64(capacity.Unlimited)
	return Row{Name: name, Weight: DefaultWeight, Limit: capacity.Size{CPU: u, Memory: u, Accel: u, Slots: u}, Queue: DefaultQueue}
}

// WithWeight returns the row with another weight.
func (r Row) WithWeight(n uint32) Row { r.Weight = n; return r }

// WithShare returns the row with another guaranteed share.
func (r Row) WithShare(n uint32) Row { r.Share = n; return r }

// WithLimit returns the row with another upper limit.
func (r Row) WithLimit(s capacity.Size) Row { r.Limit = s; return r }

// WithQueue returns the row with another bound on waiting jobs.
func (r Row) WithQueue(n uint32) Row { r.Queue = n; return r }
