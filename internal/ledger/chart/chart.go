// Package chart interprets state charts that are written in files.
//
// In short:
//
//	c, err := chart.Load(chart.Task)         // reads and checks task.json
//	s := c.Start()                           // chart.Queued
//	s, err = c.Next(s, chart.Place)          // chart.Placed
//	_, err = c.Next(s, chart.Retry)          // a *RefusedError; the state stays
//	c.Final(chart.Done)                      // true: nothing leads out
//	c.Moves()                                // every transition, in the file's order
//
// A Chart is immutable and may be shared. MustLoad is Load for the charts that
// are built in. The names of charts, states and events are in names.go; a test
// keeps them and the files the same. A chart knows no conditions: which event
// happened is decided by the caller, who keeps whatever that rests on.
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
var files embed.FS

// Name names a chart, and its file without the ending.
type Name string

// State is a state of a chart.
type State string

// Event is what may happen in a state.
type Event string

// Transition is one transition.
type Transition struct {
	From  State
	Event Event
	To    State
}

// InvalidEventError means that an event cannot happen in a state.
type InvalidEventError struct {
	Chart Name
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *InvalidEventError) Error() string {
	return fmt.Sprintf("%s: %q cannot happen in state %q", e.Chart, e.Event, e.State)
}

// Chart is a checked state chart.
type Chart struct {
	name   Name
	start  State
	states []State
	moves  []Transition
	next   map[step]State
	final  map[State]bool
}

// step is the key of a transition.
type step struct {
	from State
	on   Event
}

// source is the layout of a chart file.
type source struct {
	Start       State   `json:"start"`
	States      []State `json:"states"`
	Final       []State `json:"final"`
	Transitions []moves `json:"moves"`
}

// moves are transitions on one event into one state.
type moves struct {
	From  []State `json:"from"`
	Event Event   `json:"on"`
	To    State   `json:"to"`
}

// Load reads a chart that is built in, and checks it.
func Load(name Name) (*Chart, error) {
	b, err := files.ReadFile(string(name) + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(name, b)
}

// MustLoad is Load for a chart that the tests have shown to be sound.
func MustLoad(name Name) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse reads a chart from JSON with comments, and checks it.
func Parse(name Name, b []byte) (*Chart, error) {
	plain, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	var src source
	if err := d.Decode(&src); err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	c, err := build(name, src)
	if err == nil {
		err = c.check()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return c, nil
}

// build makes the chart and refuses two transitions for one state and event.
func build(name Name, src source) (*Chart, error) {
	c := &Chart{name: name, start: src.Start, states: src.States, next: map[step]State{}, final: map[State]bool{}}
	for _, s := range src.Final {
		c.final[s] = true
	}
	for _, m := range src.Transitions {
		for _, from := range m.From {
			key := step{from, m.Event}
			if _, twice := c.next[key]; twice {
				return nil, errors.Newf("state %q has two transitions on %q", from, m.Event)
			}
			c.next[key] = m.To
			c.moves = append(c.moves, Transition{From: from, Event: m.Event, To: m.To})
		}
	}
	return c, nil
}

// Start returns the state in which everything begins.
func (c *Chart) Start() State { return c.start }

// Next returns the state that an event leads to, or a *RefusedError.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.next[step{s, e}]
	if !ok {
		return s, &InvalidEventError{Chart: c.name, State: s, Event: e}
	}
	return to, nil
}

// Final tells whether nothing can happen any more.
func (c *Chart) Final(s State) bool { return c.final[s] }

// States returns all states in the order of the file.
func (c *Chart) States() []State { return slices.Clone(c.states) }

// Transitions returns all transitions in the order of the file.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.moves) }
