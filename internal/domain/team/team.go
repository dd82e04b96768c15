// Package team defines a team's row in the table: its weight, guaranteed share and
// limits.
package team

import "gypsumreel/internal/domain/capacity"

// Defaults for unset fields of a row.
const (
	DefaultWeight         = 1
	DefaultMaxWaitingJobs = 10_000
)

// Row is one team's row in the table. Methods return a changed copy.
type Row struct {
	// Name is the unique name of the team.
	Name string
	// Weight is the team's relative part of the capacity beyond all guaranteed shares;
	// at least 1.
	Weight uint32
	// GuaranteedShare is the part of the cell's capacity that is guaranteed to the team,
	// in thousandths.
	GuaranteedShare uint32
	// Limit is the maximum total size of the team's running tasks. Each field may be
	// capacity.Unlimited.
	Limit capacity.Size
	// MaxWaitingJobs is the maximum number of the team's jobs that wait at once.
	MaxWaitingJobs uint32
}

// New returns a row with default weight and maximum number of waiting jobs, without
// a guaranteed share and without a limit.
func New(name string) Row {
	unlimited := int64(capacity.Unlimited)
	return Row{Name: name, Weight: DefaultWeight, Limit: capacity.Size{CPU: unlimited, Memory: unlimited, Accel: unlimited, Slots: unlimited}, MaxWaitingJobs: DefaultMaxWaitingJobs}
}

// WithWeight returns the row with the given weight.
func (r Row) WithWeight(n uint32) Row { r.Weight = n; return r }

// WithGuaranteedShare returns the row with the given guaranteed share.
func (r Row) WithGuaranteedShare(n uint32) Row { r.GuaranteedShare = n; return r }

// WithLimit returns the row with the given limit.
func (r Row) WithLimit(s capacity.Size) Row { r.Limit = s; return r }

// WithMaxWaitingJobs returns the row with the given maximum number of waiting jobs.
func (r Row) WithMaxWaitingJobs(n uint32) Row { r.MaxWaitingJobs = n; return r }
