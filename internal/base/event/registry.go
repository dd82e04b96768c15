package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

var catalogue []Definition

func def(number uint32, name string, level Level, text, advice string) Definition {
	id := Definition{Number: number, Name: name, Level: level, Text: text, Advice: advice}
	catalogue = append(catalogue, id)
	return id
}

// All returns the catalogue in the order of numbers.
func All() []Definition {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Unraised returns the events that nothing raises yet.
func Unraised() []Definition { return slices.Clone(planned) }

// Markdown returns the table that docs/EVENTS.md holds.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| event | name | level | what happened | what to do |\n|---|---|---|---|---|\n")
	for _, id := range All() {
		text := id.Text
		if slices.Contains(planned, id) {
			text += " (not raised yet)"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", id.Number, id.Name, id.Level, text, id.Advice)
	}
	return b.String()
}
