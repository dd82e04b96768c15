package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Output is the flag of every verb that prints a result.
type Output struct {
	JSON bool `long:"json" description:"print JSON for a program to read"`
}

func (o Output) wantsJSON() bool { return o.JSON }

// Grid is a result as a person reads it.
type Grid struct {
	Head []string
	Rows [][]string
}

// Print writes v as JSON, or the grid for a person.
func (o Output) Print(w io.Writer, v any, g Grid) error {
	if o.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	return g.write(w)
}

func (g Grid) write(w io.Writer) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	if len(g.Head) > 0 {
		fmt.Fprintln(t, strings.Join(g.Head, "\t"))
	}
	for _, row := range g.Rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}
