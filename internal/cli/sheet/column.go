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

// Unlimited is the text of a limit that does not apply.
const Unlimited = "unlimited"

// Maximum values and units of the columns.
const (
	maxWeight          = 1_000_000
	maxSharePermille   = 1_000 // 100%
	maxQueue           = math.MaxUint32
	maxAmount          = 1 << 40 // for each resource of a limit; CPU counts thousandths of a core
	milliPerCore       = 1_000
	permillePerPercent = 10
)

// Column is one column of the table with its conversion from and to text.
type Column struct {
	// Name is the header of the column and the name of the field in an edit.
	Name string
	// Allowed describes the allowed values in error messages.
	Allowed string
	// parse stores the value of text in the row and returns false if it is not allowed.
	parse func(r *v1.Row, text string) bool
	// format returns the text of the value in the row.
	format func(r *v1.Row) string
}

// Columns returns the columns after the team's name in display order.
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

func formatAmount(amount, unit int64) string {
	if amount == capacity.Unlimited {
		return Unlimited
	}
	return strconv.FormatFloat(float64(amount)/float64(unit), 'f', -1, 64)
}

// decimalPattern matches plain decimal numbers. It excludes NaN, exponents and
// hexadecimal numbers, which strconv.ParseFloat accepts.
var decimalPattern = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,3})?$`)

// parseScaled multiplies a decimal number by unit. It returns false if the result is
// not a whole number or exceeds maxAmount.
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

func parseShare(row *v1.Row, text string) bool {
	share, ok := parseScaled(strings.TrimSpace(strings.TrimSuffix(text, "%")), permillePerPercent)
	if !ok || share > maxSharePermille {
		return false
	}
	row.Share = uint32(share)
	return true
}

// FindColumn returns the column with the given name and whether it exists.
func FindColumn(name string) (Column, bool) {
	for _, c := range cellColumns {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

// Parse stores the value of text in the row. It returns false if the text is not allowed.
func (c Column) Parse(row *v1.Row, text string) bool {
	if row.Limit == nil {
		row.Limit = &v1.Size{}
	}
	return c.parse(row, text)
}

// Format returns the text of this column's value in the row.
func (c Column) Format(row *v1.Row) string {
	if row.GetLimit() == nil {
		row = &v1.Row{Team: row.GetTeam(), Weight: row.GetWeight(), Share: row.GetShare(), Queue: row.GetQueue(), Limit: &v1.Size{}}
	}
	return c.format(row)
}
