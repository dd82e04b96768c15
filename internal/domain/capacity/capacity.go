// Package capacity holds sizes: what a task asks for and what a backend server has.
package capacity

import "math"

// Unlimited marks a field of a limit that binds nothing.
const Unlimited = -1

// Dimensions is the number of fields of a Size.
const Dimensions = 4

// Size is a demand or a capacity. It is a value: methods return a new one.
type Size struct {
	// CPU is processor time in thousandths of a core.
	CPU int64
	// Memory is in MiB.
	Memory int64
	// Accel counts accelerators.
	Accel int64
	// Slots counts task slots.
	Slots int64
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.Accel + o.Accel, s.Slots + o.Slots}
}

// Sub returns what is left of s without o; fields may become negative.
func (s Size) Sub(o Size) Size {
	return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.Accel - o.Accel, s.Slots - o.Slots}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{s.CPU * n, s.Memory * n, s.Accel * n, s.Slots * n}
}

// Max returns the larger value of each field.
func (s Size) Max(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.Memory, o.Memory), max(s.Accel, o.Accel), max(s.Slots, o.Slots)}
}

// Fits tells whether s needs no more than room in any field.
func (s Size) Fits(room Size) bool {
	return s.CPU <= room.CPU && s.Memory <= room.Memory && s.Accel <= room.Accel && s.Slots <= room.Slots
}

// Within tells whether s exceeds no field of limit that is not Unlimited.
func (s Size) Within(limit Size) bool {
	return within(s.CPU, limit.CPU) && within(s.Memory, limit.Memory) &&
		within(s.Accel, limit.Accel) && within(s.Slots, limit.Slots)
}

func within(n, limit int64) bool { return limit == Unlimited || n <= limit }

// Valid tells whether no field is negative.
func (s Size) Valid() bool {
	return s.CPU >= 0 && s.Memory >= 0 && s.Accel >= 0 && s.Slots >= 0
}

// IsZero tells whether every field is zero.
func (s Size) IsZero() bool { return s == Size{} }

// DominantShare returns the largest fraction that s takes of total, the share that
// dominant-resource fairness compares. Fields that total lacks do not count.
func (s Size) DominantShare(total Size) float64 {
	f := fraction(s.CPU, total.CPU)
	f = math.Max(f, fraction(s.Memory, total.Memory))
	f = math.Max(f, fraction(s.Accel, total.Accel))
	return math.Max(f, fraction(s.Slots, total.Slots))
}

func fraction(n, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(n) / float64(total)
}
