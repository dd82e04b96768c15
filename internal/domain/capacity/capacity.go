// Package capacity defines resource sizes: the demand of a task and the capacity
// of a backend server.
package capacity

import "math"

// Unlimited marks a field of a limit that is not limited.
const Unlimited = -1

// MaxAmount is the largest value of a field of a task's size or of a server's capacity. The sums over
// all tasks and servers of a cell do not overflow.
const MaxAmount = 1 << 32

// Dimensions is the number of fields of a Size.
const Dimensions = 4

// Size is a resource demand, limit or capacity. Methods return a new value.
type Size struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in MiB.
	Memory int64
	// Accel is the number of accelerators.
	Accel int64
	// Slots is the number of task slots.
	Slots int64
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.Accel + o.Accel, s.Slots + o.Slots}
}

// Sub returns s minus o; fields may become negative.
func (s Size) Sub(o Size) Size {
	return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.Accel - o.Accel, s.Slots - o.Slots}
}

// Times returns s with each field multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{s.CPU * n, s.Memory * n, s.Accel * n, s.Slots * n}
}

// Max returns the larger value of each field of s and o.
func (s Size) Max(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.Memory, o.Memory), max(s.Accel, o.Accel), max(s.Slots, o.Slots)}
}

// Fits reports whether no field of s exceeds that of free.
func (s Size) Fits(free Size) bool {
	return s.CPU <= free.CPU && s.Memory <= free.Memory && s.Accel <= free.Accel && s.Slots <= free.Slots
}

// Within reports whether no field of s exceeds that of limit. Fields of limit that
// are Unlimited are ignored.
func (s Size) Within(limit Size) bool {
	return within(s.CPU, limit.CPU) && within(s.Memory, limit.Memory) &&
		within(s.Accel, limit.Accel) && within(s.Slots, limit.Slots)
}

func within(n, limit int64) bool { return limit == Unlimited || n <= limit }

// Valid reports whether no field is negative.
func (s Size) Valid() bool {
	return s.CPU >= 0 && s.Memory >= 0 && s.Accel >= 0 && s.Slots >= 0
}

// InRange reports whether every field is from 0 to MaxAmount.
func (s Size) InRange() bool {
	return s.Valid() && s.Fits(Size{MaxAmount, MaxAmount, MaxAmount, MaxAmount})
}

// IsZero reports whether every field is zero.
func (s Size) IsZero() bool { return s == Size{} }

// DominantShare returns the largest fraction of a field of capacity that s uses,
// as dominant-resource fairness defines it. Fields that are zero in capacity are
// ignored.
func (s Size) DominantShare(capacity Size) float64 {
	share := fraction(s.CPU, capacity.CPU)
	share = math.Max(share, fraction(s.Memory, capacity.Memory))
	share = math.Max(share, fraction(s.Accel, capacity.Accel))
	return math.Max(share, fraction(s.Slots, capacity.Slots))
}

func fraction(n, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(n) / float64(capacity)
}
