package chart_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/ledger/chart"
)

var all = []chart.Name{chart.Task, chart.Attempt, chart.Lease, chart.Backend, chart.Member, chart.Flow, chart.FlowTask}

// path returns the events that lead from the start to a state.
func path(c *chart.Chart, to chart.State) []chart.Event {
	paths := map[chart.State][]chart.Event{c.Start(): {}}
	for range c.States() {
		for _, m := range c.Transitions() {
			if _, known := paths[m.To]; !known && paths[m.From] != nil {
				paths[m.To] = append(slices.Clone(paths[m.From]), m.Event)
			}
		}
	}
	return paths[to]
}

func TestEveryTransition(t *testing.T) {
	for _, name := range all {
		c, err := chart.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		allowed := map[chart.State]map[chart.Event]chart.State{}
		var events []chart.Event
		for _, m := range c.Transitions() {
			events = append(events, m.Event)
			if allowed[m.From] == nil {
				allowed[m.From] = map[chart.Event]chart.State{}
			}
			allowed[m.From][m.Event] = m.To
		}
		for _, s := range c.States() {
			at := c.Start()
			for _, e := range path(c, s) {
				if at, err = c.Next(at, e); err != nil {
					t.Fatal(err)
				}
			}
			if at != s {
				t.Fatalf("%s: came to %q, not to %q", name, at, s)
			}
			for _, e := range events {
				got, err := c.Next(at, e)
				want, ok := allowed[s][e]
				var refused *chart.InvalidEventError
				if ok && (err != nil || got != want) || !ok && (!errors.As(err, &refused) || got != s) {
					t.Errorf("%s: %q on %q gave %q, %v", name, s, e, got, err)
				}
			}
			if c.Final(s) != (len(allowed[s]) == 0) {
				t.Errorf("%s: %q final: %v", name, s, c.Final(s))
			}
		}
	}
}

// The outcomes that promises rest on: only a refusal makes a task "not run",
// none that ended is refused, and nothing leaves "not run" or "unknown". That a
// refusal is never used for a task that started is shown in package state.
func TestNotRunNeedsARefusal(t *testing.T) {
	c := chart.MustLoad(chart.Task)
	for _, m := range c.Transitions() {
		if (m.To == chart.NotRun) != (m.Event == chart.GiveUpUnstarted) || m.Event == chart.GiveUpUnstarted && m.From == chart.Done {
			t.Errorf("%q leads from %q to %q", m.Event, m.From, m.To)
		}
		if m.From == chart.NotRun || m.From == chart.Unknown {
			t.Errorf("%q leads out of %q", m.Event, m.From)
		}
	}
}

// Every name in names.go stands in a file and the other way round.
func TestNames(t *testing.T) {
	declared := map[string][]string{}
	f, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			value, _ := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			kind := v.Type.(*ast.Ident).Name
			declared[kind] = append(declared[kind], value)
		}
		return true
	})
	used := map[string][]string{}
	for _, name := range all {
		c := chart.MustLoad(name)
		used["Name"] = append(used["Name"], string(name))
		for _, s := range c.States() {
			used["State"] = append(used["State"], string(s))
		}
		for _, m := range c.Transitions() {
			used["Event"] = append(used["Event"], string(m.Event))
		}
	}
	for _, names := range []map[string][]string{declared, used} {
		for kind := range names {
			slices.Sort(names[kind])
			names[kind] = slices.Compact(names[kind])
		}
	}
	if diff := cmp.Diff(used, declared); diff != "" {
		t.Error(diff)
	}
}

func TestUnsoundChartsAreRefused(t *testing.T) {
	sound := `{"start": "a", "states": ["a", "b", "c"], "final": ["c"], "moves": [
		{"from": ["a"], "on": "x", "to": "b"}, {"from": ["b"], "on": "y", "to": "c"}]}`
	if _, err := chart.Parse("sound", []byte(sound)); err != nil {
		t.Fatal(err)
	}
	for want, edit := range map[string]string{
		`state "d" is not declared`:               `"to": "c"|"to": "d"`,
		`state "q" is not declared`:               `"start": "a"|"start": "q"`,
		`declared twice`:                          `["a", "b", "c"]|["a", "b", "c", "b"]`,
		`two transitions on "y"`:                  `"on": "y", "to": "c"}|"on": "y", "to": "c"}, {"from": ["b"], "on": "y", "to": "b"}`,
		`state "e" cannot be reached`:             `"b", "c"]|"b", "c", "e"]`,
		`no final state can be reached from "b"`:  `{"from": ["b"], "on": "y", "to": "c"}|{"from": ["a"], "on": "y", "to": "c"}, {"from": ["b"], "on": "y", "to": "b"}`,
		`final state "c" has a transition on "z"`: `"to": "c"}|"to": "c"}, {"from": ["c"], "on": "z", "to": "a"}`,
		`a transition from "b" has no event`:      `"on": "y"|"on": ""`,
		`unknown field "guard"`:                   `"on": "y"|"guard": "g", "on": "y"`,
	} {
		before, after, _ := strings.Cut(edit, "|")
		_, err := chart.Parse("unsound", []byte(strings.Replace(sound, before, after, 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}
