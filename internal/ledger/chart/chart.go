// Package chart interprets state charts that are defined in JSON files.
//
// Example:
//
//	c, err := chart.Load(chart.Task)         // reads and checks task.json
//	s := c.Start()                           // chart.Queued
//	s, err = c.Next(s, chart.Place)          // chart.Placed
//	_, err = c.Next(s, chart.Retry)          // *InvalidEventError, s is unchanged
//	c.Final(chart.Done)                      // whether the state is final
//	c.Transitions()                          // all transitions in file order
//
// A Chart is immutable and safe for concurrent use. The constants in names.go name
// the charts, states and events, and a test compares them with the files. A chart
// has no conditions: the caller decides which event occurred.
package chart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

//go:embed *.json
var chartFiles embed.FS

// Name is the name of a chart and of its file without the extension.
type Name string

// State is a state of a chart.
type State string

// Event is an event that may cause a transition.
type Event string

// Transition is the change from one state to another on an event.
type Transition struct {
	From  State
	Event Event
	To    State
}

// InvalidEventError reports an event that has no transition from a state.
type InvalidEventError struct {
	Chart Name
	State State
	Event Event
}

// Error returns the chart, the state and the event in one message.
func (e *InvalidEventError) Error() string {
	return fmt.Sprintf("%s: %q cannot happen in state %q", e.Chart, e.Event, e.State)
}

// Chart is a validated state chart.
type Chart struct {
	name        Name
	start       State
	states      []State
	transitions []Transition
	targets     map[transitionKey]State
	final       map[State]bool
}

// transitionKey identifies a transition by its source state and event.
type transitionKey struct {
	from  State
	event Event
}

// chartFile is the JSON layout of a chart file.
type chartFile struct {
	Start       State             `json:"start"`
	States      []State           `json:"states"`
	Final       []State           `json:"final"`
	Transitions []transitionGroup `json:"moves"`
}

// transitionGroup is a set of transitions with the same event and target state.
type transitionGroup struct {
	From  []State `json:"from"`
	Event Event   `json:"on"`
	To    State   `json:"to"`
}

// Load parses and validates one of the embedded charts.
func Load(name Name) (*Chart, error) {
	b, err := chartFiles.ReadFile(string(name) + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(name, b)
}

// MustLoad is like Load but panics on an error. It is meant for the embedded charts,
// which the tests validate.
func MustLoad(name Name) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses and validates a chart from JSON with comments.
func Parse(name Name, b []byte) (*Chart, error) {
	standardJSON, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	d := json.NewDecoder(bytes.NewReader(standardJSON))
	d.DisallowUnknownFields()
	var src chartFile
	if err := d.Decode(&src); err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	c, err := build(name, src)
	if err == nil {
		err = c.validate()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return c, nil
}

// build creates the chart and refuses two transitions for the same state and event.
func build(name Name, src chartFile) (*Chart, error) {
	c := &Chart{name: name, start: src.Start, states: src.States, targets: map[transitionKey]State{}, final: map[State]bool{}}
	for _, s := range src.Final {
		c.final[s] = true
	}
	for _, m := range src.Transitions {
		for _, from := range m.From {
			key := transitionKey{from, m.Event}
			if _, duplicate := c.targets[key]; duplicate {
				return nil, errors.Newf("state %q has two transitions on %q", from, m.Event)
			}
			c.targets[key] = m.To
			c.transitions = append(c.transitions, Transition{From: from, Event: m.Event, To: m.To})
		}
	}
	return c, nil
}

// Start returns the initial state.
func (c *Chart) Start() State { return c.start }

// Next returns the state that an event leads to, or an *InvalidEventError and the
// unchanged state.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.targets[transitionKey{s, e}]
	if !ok {
		return s, &InvalidEventError{Chart: c.name, State: s, Event: e}
	}
	return to, nil
}

// Final reports whether the state is a final state.
func (c *Chart) Final(s State) bool { return c.final[s] }

// States returns all states in file order.
func (c *Chart) States() []State { return slices.Clone(c.states) }

// Transitions returns all transitions in file order.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.transitions) }
