package settings

import (
	"fmt"
	"strings"
)

// MaxReportedFaults bounds the faults that are shown with their places: to find a place
// takes a walk over the file, and a file that is no settings file at all may
// have tens of thousands of faults, which would take a start many seconds.
const MaxReportedFaults = 100

// Fault is one thing wrong with a file.
type Fault struct {
	File string `json:"file"`
	// Line and Column count from 1; 0 when the fault has no place.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Setting is the path of the key, such as time.lease.
	Setting string `json:"setting"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns file:line:column: setting: text.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if f.Setting != "" {
		b.WriteString(": " + f.Setting)
	}
	b.WriteString(": " + f.Text)
	return b.String()
}

// Faults is every fault of a file, in the order of their places.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
