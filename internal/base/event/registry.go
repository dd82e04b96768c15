package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// catalogue holds all events in the order of their declarations.
var catalogue []Definition

// define adds an event to the catalogue and returns it.
func define(number uint32, name string, level Level, text, advice string) Definition {
	d := Definition{Number: number, Name: name, Level: level, Text: text, Advice: advice}
	catalogue = append(catalogue, d)
	return d
}

// All returns all events in ascending order of their numbers.
func All() []Definition {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Unraised returns the events that no code logs yet.
func Unraised() []Definition { return slices.Clone(unraised) }

// Markdown returns the table of events for docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| event | name | level | what happened | what to do |\n|---|---|---|---|---|\n")
	for _, d := range All() {
		text := d.Text
		if slices.Contains(unraised, d) {
			text += " (not raised yet)"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", d.Number, d.Name, d.Level, text, d.Advice)
	}
	return b.String()
}
