package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// OutputFlag is the flag of every verb that prints a result.
type OutputFlag struct {
	JSON bool `long:"json" description:"print JSON for a program to read"`
}

func (o OutputFlag) wantsJSON() bool { return o.JSON }

// TextTable is a result as a person reads it.
type TextTable struct {
	Header []string
	Rows   [][]string
}

// Print writes v as JSON, or the grid for a person.
func (o OutputFlag) Print(w io.Writer, v any, g TextTable) error {
	if o.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	return g.write(w)
}

func (g TextTable) write(w io.Writer) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	if len(g.Header) > 0 {
		fmt.Fprintln(t, strings.Join(g.Header, "\t"))
	}
	for _, row := range g.Rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}
