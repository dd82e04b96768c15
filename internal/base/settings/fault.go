package settings

import (
	"fmt"
	"strings"
)

// MaxReportedFaults limits the faults that are reported with a position. Each position
// is found by a scan of the file. A file that is not a settings file may have tens of
// thousands of faults, which would delay the start by many seconds.
const MaxReportedFaults = 100

// Fault is one error in a settings file.
type Fault struct {
	File string `json:"file"`
	// Line and Column start at 1. They are 0 if the fault has no position.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Setting is the path of the key, such as time.lease.
	Setting string `json:"setting"`
	// Text describes the error and the allowed values.
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

// Faults holds all faults of a file, ordered by their positions.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
