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

var allCharts = []chart.Name{chart.Task, chart.Attempt, chart.Lease, chart.Backend, chart.Member, chart.Flow, chart.FlowTask}

// eventsTo returns a sequence of events that leads from the initial state to a state.
func eventsTo(c *chart.Chart, to chart.State) []chart.Event {
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

func TestEveryTransitionOfEveryChart(t *testing.T) {
	for _, name := range allCharts {
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
			state := c.Start()
			for _, e := range eventsTo(c, s) {
				if state, err = c.Next(state, e); err != nil {
					t.Fatal(err)
				}
			}
			if state != s {
				t.Fatalf("%s: reached state %q, want %q", name, state, s)
			}
			for _, e := range events {
				got, err := c.Next(state, e)
				want, ok := allowed[s][e]
				var refused *chart.InvalidEventError
				if ok && (err != nil || got != want) || !ok && (!errors.As(err, &refused) || got != s) {
					t.Errorf("%s: state %q on event %q: got %q, %v", name, s, e, got, err)
				}
			}
			if c.Final(s) != (len(allowed[s]) == 0) {
				t.Errorf("%s: state %q: Final = %v", name, s, c.Final(s))
			}
		}
	}
}

// Guards against a chart that reports "not run" for a task that may have run: only
// GiveUpUnstarted leads to NotRun, Done has no transition to NotRun, and NotRun and Unknown
// have no transitions. The tests of package state show that a started task never gets
// this event.
func TestOnlyGiveUpUnstartedLeadsToNotRun(t *testing.T) {
	c := chart.MustLoad(chart.Task)
	for _, m := range c.Transitions() {
		if (m.To == chart.NotRun) != (m.Event == chart.GiveUpUnstarted) || m.Event == chart.GiveUpUnstarted && m.From == chart.Done {
			t.Errorf("event %q leads from %q to %q", m.Event, m.From, m.To)
		}
		if m.From == chart.NotRun || m.From == chart.Unknown {
			t.Errorf("event %q leads out of %q", m.Event, m.From)
		}
	}
}

// Guards against constants in names.go that differ from the names in the chart files.
func TestChartNamesMatchFiles(t *testing.T) {
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
	for _, name := range allCharts {
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

func TestInvalidChartsAreRejected(t *testing.T) {
	valid := `{"start": "a", "states": ["a", "b", "c"], "final": ["c"], "moves": [
		{"from": ["a"], "on": "x", "to": "b"}, {"from": ["b"], "on": "y", "to": "c"}]}`
	if _, err := chart.Parse("valid", []byte(valid)); err != nil {
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
		_, err := chart.Parse("invalid", []byte(strings.Replace(valid, before, after, 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one containing %q", err, want)
		}
	}
}
