package sheet

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
)

// Unlimited is how a limit that binds nothing is written.
const Unlimited = "unlimited"

// Bounds of the cells.
const (
	maxWeight = 1_000_000
	maxShare  = 1_000
	maxQueue  = math.MaxUint32
	maxAmount = 1 << 40
	milli     = 1_000
	permille  = 10
)

// Column is one column of the table.
type Column struct {
	// Name is the column's header and the field's name in an edit.
	Name string
	// Allowed is the form and the bounds.
	Allowed string
	set     func(r *v1.Row, text string) bool
	get     func(r *v1.Row) string
}

// Columns returns the columns after the team's name, in their order.
func Columns() []Column { return cells }

var cells = []Column{
	whole("weight", 1, maxWeight, func(r *v1.Row) *uint32 { return &r.Weight }),
	{
		Name: "share", Allowed: "a part of the cell from 0% to 100%, in steps of 0.1%",
		set: setShare,
		get: func(r *v1.Row) string {
			return strconv.FormatFloat(float64(r.GetShare())/permille, 'f', -1, 64) + "%"
		},
	},
	{
		Name: "cpu", Allowed: fmt.Sprintf("cores, with up to three decimals, from 0 to %d, or %s", maxAmount/milli, Unlimited),
		set: func(r *v1.Row, text string) bool { return setLimit(&r.Limit.Cpu, text, milli) },
		get: func(r *v1.Row) string { return amount(r.GetLimit().GetCpu(), milli) },
	},
	limit("memory", "MiB", func(s *v1.Size) *int64 { return &s.Memory }),
	limit("accel", "accelerators", func(s *v1.Size) *int64 { return &s.Accel }),
	limit("slots", "slots", func(s *v1.Size) *int64 { return &s.Slots }),
	whole("queue", 0, maxQueue, func(r *v1.Row) *uint32 { return &r.Queue }),
}

func whole(name string, low, high uint64, at func(*v1.Row) *uint32) Column {
	return Column{
		Name: name, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(r *v1.Row, text string) bool {
			n, err := strconv.ParseUint(text, 10, 32)
			if err != nil || n < low || n > high {
				return false
			}
			*at(r) = uint32(n)
			return true
		},
		get: func(r *v1.Row) string { return strconv.FormatUint(uint64(*at(r)), 10) },
	}
}

func limit(name, unit string, at func(*v1.Size) *int64) Column {
	return Column{
		Name: name, Allowed: fmt.Sprintf("a whole number of %s from 0 to %d, or %s", unit, int64(maxAmount), Unlimited),
		set: func(r *v1.Row, text string) bool { return setLimit(at(r.Limit), text, 1) },
		get: func(r *v1.Row) string { return amount(*at(r.GetLimit()), 1) },
	}
}

func amount(n, unit int64) string {
	if n == capacity.Unlimited {
		return Unlimited
	}
	return strconv.FormatFloat(float64(n)/float64(unit), 'f', -1, 64)
}

// decimal keeps out what ParseFloat takes besides: NaN, exponents, hexadecimal.
var decimal = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,3})?$`)

// scaled reads a decimal number as a whole number of parts.
func scaled(text string, unit float64) (int64, bool) {
	if !decimal.MatchString(text) {
		return 0, false
	}
	f, err := strconv.ParseFloat(text, 64)
	n := math.Round(f * unit)
	if err != nil || n > maxAmount || math.Abs(f*unit-n) > 1e-6*max(1, n) {
		return 0, false
	}
	return int64(n), true
}

func setLimit(at *int64, text string, unit float64) bool {
	if text == Unlimited || text == strconv.Itoa(capacity.Unlimited) {
		*at = capacity.Unlimited
		return true
	}
	n, ok := scaled(text, unit)
	if !ok || unit == 1 && strings.Contains(text, ".") {
		return false
	}
	*at = n
	return true
}

func setShare(r *v1.Row, text string) bool {
	n, ok := scaled(strings.TrimSpace(strings.TrimSuffix(text, "%")), permille)
	if !ok || n > maxShare {
		return false
	}
	r.Share = uint32(n)
	return true
}

// FindColumn returns the column of that name.
func FindColumn(name string) (Column, bool) {
	for _, c := range cells {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

// Parse reads a cell into the row; false when the text is not allowed.
func (c Column) Parse(r *v1.Row, text string) bool {
	if r.Limit == nil {
		r.Limit = &v1.Size{}
	}
	return c.set(r, text)
}

// Format prints a cell of the row.
func (c Column) Format(r *v1.Row) string {
	if r.GetLimit() == nil {
		r = &v1.Row{Team: r.GetTeam(), Weight: r.GetWeight(), Share: r.GetShare(), Queue: r.GetQueue(), Limit: &v1.Size{}}
	}
	return c.get(r)
}
