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
	maxWeight          = 1_000_000
	maxSharePermille   = 1_000
	maxQueue           = math.MaxUint32
	maxAmount          = 1 << 40
	milliPerCore       = 1_000
	permillePerPercent = 10
)

// Column is one column of the table.
type Column struct {
	// Name is the column's header and the field's name in an edit.
	Name string
	// Allowed is the form and the bounds.
	Allowed string
	parse   func(r *v1.Row, text string) bool
	format  func(r *v1.Row) string
}

// Columns returns the columns after the team's name, in their order.
func Columns() []Column { return cellColumns }

var cellColumns = []Column{
	wholeNumberColumn("weight", 1, maxWeight, func(r *v1.Row) *uint32 { return &r.Weight }),
	{
		Name: "share", Allowed: "a part of the cell from 0% to 100%, in steps of 0.1%",
		parse: parseShare,
		format: func(r *v1.Row) string {
			return strconv.FormatFloat(float64(r.GetShare())/permillePerPercent, 'f', -1, 64) + "%"
		},
	},
	{
		Name: "cpu", Allowed: fmt.Sprintf("cores, with up to three decimals, from 0 to %d, or %s", maxAmount/milliPerCore, Unlimited),
		parse:  func(r *v1.Row, text string) bool { return parseLimit(&r.Limit.Cpu, text, milliPerCore) },
		format: func(r *v1.Row) string { return formatAmount(r.GetLimit().GetCpu(), milliPerCore) },
	},
	limitColumn("memory", "MiB", func(s *v1.Size) *int64 { return &s.Memory }),
	limitColumn("accel", "accelerators", func(s *v1.Size) *int64 { return &s.Accel }),
	limitColumn("slots", "slots", func(s *v1.Size) *int64 { return &s.Slots }),
	wholeNumberColumn("queue", 0, maxQueue, func(r *v1.Row) *uint32 { return &r.Queue }),
}

func wholeNumberColumn(name string, minValue, maxValue uint64, field func(*v1.Row) *uint32) Column {
	return Column{
		Name: name, Allowed: fmt.Sprintf("a whole number from %d to %d", minValue, maxValue),
		parse: func(r *v1.Row, text string) bool {
			n, err := strconv.ParseUint(text, 10, 32)
			if err != nil || n < minValue || n > maxValue {
				return false
			}
			*field(r) = uint32(n)
			return true
		},
		format: func(r *v1.Row) string { return strconv.FormatUint(uint64(*field(r)), 10) },
	}
}

func limitColumn(name, unit string, field func(*v1.Size) *int64) Column {
	return Column{
		Name: name, Allowed: fmt.Sprintf("a whole number of %s from 0 to %d, or %s", unit, int64(maxAmount), Unlimited),
		parse:  func(r *v1.Row, text string) bool { return parseLimit(field(r.Limit), text, 1) },
		format: func(r *v1.Row) string { return formatAmount(*field(r.GetLimit()), 1) },
	}
}

func formatAmount(n, unit int64) string {
	if n == capacity.Unlimited {
		return Unlimited
	}
	return strconv.FormatFloat(float64(n)/float64(unit), 'f', -1, 64)
}

// decimalPattern keeps out what ParseFloat takes besides: NaN, exponents, hexadecimal.
var decimalPattern = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,3})?$`)

// parseScaled reads a decimal number as a whole number of parts.
func parseScaled(text string, unit float64) (int64, bool) {
	if !decimalPattern.MatchString(text) {
		return 0, false
	}
	f, err := strconv.ParseFloat(text, 64)
	n := math.Round(f * unit)
	if err != nil || n > maxAmount || math.Abs(f*unit-n) > 1e-6*max(1, n) {
		return 0, false
	}
	return int64(n), true
}

func parseLimit(field *int64, text string, unit float64) bool {
	if text == Unlimited || text == strconv.Itoa(capacity.Unlimited) {
		*field = capacity.Unlimited
		return true
	}
	n, ok := parseScaled(text, unit)
	if !ok || unit == 1 && strings.Contains(text, ".") {
		return false
	}
	*field = n
	return true
}

func parseShare(r *v1.Row, text string) bool {
	n, ok := parseScaled(strings.TrimSpace(strings.TrimSuffix(text, "%")), permillePerPercent)
	if !ok || n > maxSharePermille {
		return false
	}
	r.Share = uint32(n)
	return true
}

// FindColumn returns the column of that name.
func FindColumn(name string) (Column, bool) {
	for _, c := range cellColumns {
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
	return c.parse(r, text)
}

// Format prints a cell of the row.
func (c Column) Format(r *v1.Row) string {
	if r.GetLimit() == nil {
		r = &v1.Row{Team: r.GetTeam(), Weight: r.GetWeight(), Share: r.GetShare(), Queue: r.GetQueue(), Limit: &v1.Size{}}
	}
	return c.format(r)
}
