// Package fit finds the place that a task fits best. Places are kept in cells of
// like free room; a search looks at the cells, whose number is bounded by the
// levels and not by the number of places.
package fit

import (
	"math"

	"gypsumreel/internal/domain/capacity"
)

// Levels is the number of steps into which the largest room in each field is
// divided; slots and accelerators are told apart up to this number.
const Levels = 16

// accelWaste is added to the score of a place whose free accelerators a task
// without need of them would block.
const accelWaste = 1.0

// WorstScore is a score that every place beats.
var WorstScore = math.Inf(1)

// Element is an item's place in an index.
type Element[T any] struct {
	// Item is what is placed on, a server or a rack.
	Item T
	free capacity.Size
	cell *cell[T]
	pos  int
}

// Index holds the free room of items.
type Index[T any] struct {
	// FirstFit takes the first cell that fits in place of the best; for comparison only.
	FirstFit bool
	most     capacity.Size
	unit     capacity.Size
	cells    map[level]*cell[T]
	heads    []head[T]
}

// head is what a search reads of every cell; heads lie side by side in memory.
type head[T any] struct {
	low capacity.Size
	// high is at least the free room of every item.
	high capacity.Size
	cell *cell[T]
}

// level is a free room counted in units.
type level struct{ cpu, memory, accel, slots uint16 }

// cell holds the items whose free room is on one level.
type cell[T any] struct {
	level level
	spots []*Element[T]
	pos   int
}

// NewIndex returns an empty index.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{cells: map[level]*cell[T]{}, unit: capacity.Size{CPU: 1, Memory: 1, Accel: 1, Slots: 1}}
}

// Grow prepares for rooms of at most the given size.
func (x *Index[T]) Grow(most capacity.Size) {
	if most.Fits(x.most) {
		return
	}
	x.most = x.most.Max(most)
	x.unit = capacity.Size{CPU: step(x.most.CPU), Memory: step(x.most.Memory), Accel: step(x.most.Accel), Slots: step(x.most.Slots)}
	old := x.heads
	x.cells, x.heads = map[level]*cell[T]{}, nil
	for _, h := range old {
		for _, s := range h.cell.spots {
			x.insert(s)
		}
	}
}

func step(most int64) int64 { return max(1, (most+Levels-1)/Levels) }

// Update puts the spot's free room in; one with a negative field is never found.
func (x *Index[T]) Update(s *Element[T], free capacity.Size) {
	if s.cell != nil && s.free == free {
		return
	}
	if s.cell != nil && free.Valid() && x.level(free) == s.cell.level {
		s.free = free
		x.raise(s.cell, free)
		return
	}
	x.Remove(s)
	if free.Valid() {
		s.free = free
		x.insert(s)
	}
}

// Remove takes the spot out.
func (x *Index[T]) Remove(s *Element[T]) {
	c := s.cell
	if c == nil {
		return
	}
	last := c.spots[len(c.spots)-1]
	c.spots[s.pos] = last
	last.pos = s.pos
	c.spots = c.spots[:len(c.spots)-1]
	s.cell = nil
	if len(c.spots) == 0 {
		x.forget(c)
	}
}

func (x *Index[T]) forget(c *cell[T]) {
	end := x.heads[len(x.heads)-1]
	x.heads[c.pos] = end
	end.cell.pos = c.pos
	x.heads = x.heads[:len(x.heads)-1]
	delete(x.cells, c.level)
}

func (x *Index[T]) insert(s *Element[T]) {
	l := x.level(s.free)
	c := x.cells[l]
	if c == nil {
		c = &cell[T]{level: l, pos: len(x.heads)}
		x.cells[l] = c
		x.heads = append(x.heads, head[T]{cell: c, low: capacity.Size{
			CPU: int64(l.cpu) * x.unit.CPU, Memory: int64(l.memory) * x.unit.Memory,
			Accel: int64(l.accel) * x.unit.Accel, Slots: int64(l.slots) * x.unit.Slots,
		}})
	}
	s.cell, s.pos = c, len(c.spots)
	c.spots = append(c.spots, s)
	x.raise(c, s.free)
}

// raise lets the bound of a cell hold for one more free room.
func (x *Index[T]) raise(c *cell[T], free capacity.Size) {
	x.heads[c.pos].high = x.heads[c.pos].high.Max(free)
}

func (x *Index[T]) level(free capacity.Size) level {
	return level{
		uint16(free.CPU / x.unit.CPU), uint16(free.Memory / x.unit.Memory),
		uint16(free.Accel / x.unit.Accel), uint16(free.Slots / x.unit.Slots),
	}
}

// BucketCount returns the number of cells that a search looks at.
func (x *Index[T]) BucketCount() int { return len(x.heads) }

// Best returns the item on which need leaves the smallest dominant remainder,
// within the accuracy of a cell, among those that ok accepts, and its score. Only
// items that score below bound are found; ok may be nil.
func (x *Index[T]) Best(need capacity.Size, bound float64, ok func(T) bool) (T, float64, bool) {
	var best *Element[T]
	for i := range x.heads {
		h := &x.heads[i]
		if !need.Fits(h.high) {
			continue
		}
		score := x.score(need, h.low)
		if score >= bound {
			continue
		}
		s := h.pick(need, ok)
		if s == nil {
			continue
		}
		best, bound = s, score
		if x.FirstFit {
			break
		}
	}
	if best == nil {
		var none T
		return none, bound, false
	}
	return best.Item, bound, true
}

// pick returns a spot of the cell with room for need. When none has it, the
// cell's bound is set anew, so that the next search passes the cell over.
func (h *head[T]) pick(need capacity.Size, ok func(T) bool) *Element[T] {
	var high capacity.Size
	for _, s := range h.cell.spots {
		if need.Fits(s.free) && (ok == nil || ok(s.Item)) {
			return s
		}
		high = high.Max(s.free)
	}
	h.high = high
	return nil
}

// score is the largest part of the largest room that stays free in any field.
func (x *Index[T]) score(need, free capacity.Size) float64 {
	s := free.Sub(need).Dominant(x.most)
	if need.Accel == 0 && free.Accel > 0 {
		s += accelWaste
	}
	return s
}
