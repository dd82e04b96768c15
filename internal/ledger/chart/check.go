package chart

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// check refuses a chart with names that are not declared, with states that
// cannot be reached or left, and with final states that can be left.
func (c *Chart) check() error {
	if err := c.checkNames(); err != nil {
		return err
	}
	for _, m := range c.moves {
		if c.final[m.From] {
			return errors.Newf("final state %q has a transition on %q", m.From, m.Event)
		}
	}
	forward := c.reach([]State{c.start}, func(m Transition) (State, State) { return m.From, m.To })
	var ends []State
	for s := range c.final {
		ends = append(ends, s)
	}
	backward := c.reach(ends, func(m Transition) (State, State) { return m.To, m.From })
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

// checkNames refuses states that are declared twice or not at all.
func (c *Chart) checkNames() error {
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
	for _, m := range c.moves {
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

// reach returns what can be reached from the states given over the edges.
func (c *Chart) reach(from []State, edge func(Transition) (State, State)) map[State]bool {
	seen := map[State]bool{}
	for len(from) > 0 {
		s := from[0]
		from = from[1:]
		if seen[s] {
			continue
		}
		seen[s] = true
		for _, m := range c.moves {
			if a, b := edge(m); a == s {
				from = append(from, b)
			}
		}
	}
	return seen
}
