package chart

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// validate refuses a chart with undeclared names, with states that cannot be reached,
// with states that lead to no final state, and with final states that have transitions.
func (c *Chart) validate() error {
	if err := c.validateNames(); err != nil {
		return err
	}
	for _, m := range c.transitions {
		if c.final[m.From] {
			return errors.Newf("final state %q has a transition on %q", m.From, m.Event)
		}
	}
	forward := c.reachable([]State{c.start}, func(m Transition) (State, State) { return m.From, m.To })
	var ends []State
	for s := range c.final {
		ends = append(ends, s)
	}
	backward := c.reachable(ends, func(m Transition) (State, State) { return m.To, m.From })
	for _, s := range c.states {
		if !forward[s] {
			return errors.Newf("state %q cannot be reached", s)
		}
		if !backward[s] {
			return errors.Newf("no final state can be reached from %q", s)
		}
	}
	return nil
}

// validateNames refuses states that are not declared or declared twice, and transitions
// without an event.
func (c *Chart) validateNames() error {
	declared := map[State]bool{}
	for _, s := range c.states {
		if s == "" || declared[s] {
			return errors.Newf("state %q is declared twice or has no name", s)
		}
		declared[s] = true
	}
	used := []State{c.start}
	for s := range c.final {
		used = append(used, s)
	}
	for _, m := range c.transitions {
		if m.Event == "" {
			return errors.Newf("a transition from %q has no event", m.From)
		}
		used = append(used, m.From, m.To)
	}
	slices.Sort(used)
	for _, s := range used {
		if !declared[s] {
			return errors.Newf("state %q is not declared", s)
		}
	}
	return nil
}

// reachable returns all states that can be reached from the given states along the
// edges.
func (c *Chart) reachable(from []State, edge func(Transition) (State, State)) map[State]bool {
	seen := map[State]bool{}
	for len(from) > 0 {
		s := from[0]
		from = from[1:]
		if seen[s] {
			continue
		}
		seen[s] = true
		for _, m := range c.transitions {
			if a, b := edge(m); a == s {
				from = append(from, b)
			}
		}
	}
	return seen
}
