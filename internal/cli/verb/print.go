package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// OutputFlag selects the output format. Every verb that prints a result embeds it.
type OutputFlag struct {
	JSON bool `long:"json" description:"print JSON for a program to read"`
}

func (o OutputFlag) wantsJSON() bool { return o.JSON }

// TextTable is a result laid out as plain-text columns.
type TextTable struct {
	Header []string
	Rows   [][]string
}

// Print writes v as indented JSON with --json, otherwise the text table.
func (o OutputFlag) Print(w io.Writer, v any, table TextTable) error {
	if o.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return table.write(w)
}

func (t TextTable) write(w io.Writer) error {
	const padding = 2
	columns := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	if len(t.Header) > 0 {
		fmt.Fprintln(columns, strings.Join(t.Header, "\t"))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}
