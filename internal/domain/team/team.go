// Package team holds a team's row of the table: its weight, share and limits.
package team

import "gypsumreel/internal/domain/capacity"

// Defaults of a row that leaves a field unset.
const (
	DefaultWeight         = 1
	DefaultMaxWaitingJobs = 10_000
)

// Row is one team's line of the table. It is a value: methods return a new one.
type Row struct {
	// Name identifies the team.
	Name string
	// Weight divides what the guaranteed shares leave over; 1 or more.
	Weight uint32
	// GuaranteedShare is the guaranteed part of the cell in thousandths.
	GuaranteedShare uint32
	// Limit bounds everything of the team that runs at once; capacity.Unlimited per field.
	Limit capacity.Size
	// MaxWaitingJobs bounds the jobs of the team that wait at once.
	MaxWaitingJobs uint32
}

// New returns a row with the defaults and no limit.
func New(name string) Row {
	u := int64(capacity.Unlimited)
	return Row{Name: name, Weight: DefaultWeight, Limit: capacity.Size{CPU: u, Memory: u, Accel: u, Slots: u}, MaxWaitingJobs: DefaultMaxWaitingJobs}
}

// WithWeight returns the row with another weight.
func (r Row) WithWeight(n uint32) Row { r.Weight = n; return r }

// WithGuaranteedShare returns the row with another guaranteed share.
func (r Row) WithGuaranteedShare(n uint32) Row { r.GuaranteedShare = n; return r }

// WithLimit returns the row with another upper limit.
func (r Row) WithLimit(s capacity.Size) Row { r.Limit = s; return r }

// WithMaxWaitingJobs returns the row with another bound on waiting jobs.
func (r Row) WithMaxWaitingJobs(n uint32) Row { r.MaxWaitingJobs = n; return r }
