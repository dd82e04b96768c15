// Package fit finds the server that a task fits best. Servers are kept in
// cells of like free room; a search looks at the cells, whose number is bounded
// by the levels and not by the number of servers.
package fit

import (
	"math"

	"gypsumreel/internal/domain/capacity"
)

// Levels is the number of steps into which the largest server's room in each
// field is divided; slots and accelerators are told apart up to this number.
const Levels = 16

// accelWaste is added to the score of a server whose free accelerators a task
// without need of them would block.
const accelWaste = 1.0

// Index holds the free room of numbered items, servers or racks.
type Index struct {
	// Any takes the first cell that fits in place of the best; for comparison only.
	Any   bool
	most  capacity.Size
	unit  capacity.Size
	cells map[level]*cell
	list  []*cell
	at    []place
}

// level is a free room counted in units.
type level struct{ cpu, memory, accel, slots uint16 }

// cell holds the items whose free room is on one level.
type cell struct {
	level level
	low   capacity.Size
	// high is at least the free room of every item.
	high  capacity.Size
	items []int32
	pos   int
}

// place says where an item is; cell is nil when it takes nothing.
type place struct {
	cell *cell
	pos  int
	free capacity.Size
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{cells: map[level]*cell{}} }

// Grow makes room for items up to n of at most the given capacity each.
func (x *Index) Grow(n int, most capacity.Size) {
	for len(x.at) < n {
		x.at = append(x.at, place{})
	}
	if most.Fits(x.most) {
		return
	}
	x.most = x.most.Max(most)
	x.unit = capacity.Size{CPU: step(x.most.CPU), Memory: step(x.most.Memory), Accel: step(x.most.Accel), Slots: step(x.most.Slots)}
	x.rebuild()
}

func step(most int64) int64 { return max(1, (most+Levels-1)/Levels) }

func (x *Index) rebuild() {
	x.cells, x.list = map[level]*cell{}, nil
	for i := range x.at {
		if x.at[i].cell != nil {
			x.at[i].cell = nil
			x.insert(int32(i))
		}
	}
}

// Set puts the item's free room in; nothing with a negative field is ever found.
func (x *Index) Set(item int32, free capacity.Size) {
	p := &x.at[item]
	if p.cell != nil && p.free == free {
		return
	}
	if p.cell != nil && free.Valid() && x.level(free) == p.cell.level {
		p.free = free
		p.cell.high = p.cell.high.Max(free)
		return
	}
	x.Drop(item)
	if !free.Valid() {
		return
	}
	p.free = free
	x.insert(item)
}

// Drop takes the item out.
func (x *Index) Drop(item int32) {
	p := &x.at[item]
	c := p.cell
	if c == nil {
		return
	}
	last := c.items[len(c.items)-1]
	c.items[p.pos] = last
	x.at[last].pos = p.pos
	c.items = c.items[:len(c.items)-1]
	p.cell = nil
	if len(c.items) == 0 {
		x.forget(c)
	}
}

func (x *Index) forget(c *cell) {
	end := x.list[len(x.list)-1]
	x.list[c.pos] = end
	end.pos = c.pos
	x.list = x.list[:len(x.list)-1]
	delete(x.cells, c.level)
}

func (x *Index) insert(item int32) {
	p := &x.at[item]
	l := x.level(p.free)
	c := x.cells[l]
	if c == nil {
		c = &cell{level: l, pos: len(x.list), low: capacity.Size{
			CPU: int64(l.cpu) * x.unit.CPU, Memory: int64(l.memory) * x.unit.Memory,
			Accel: int64(l.accel) * x.unit.Accel, Slots: int64(l.slots) * x.unit.Slots,
		}}
		x.cells[l] = c
		x.list = append(x.list, c)
	}
	p.cell, p.pos = c, len(c.items)
	c.items = append(c.items, item)
	c.high = c.high.Max(p.free)
}

func (x *Index) level(free capacity.Size) level {
	return level{
		uint16(free.CPU / x.unit.CPU), uint16(free.Memory / x.unit.Memory),
		uint16(free.Accel / x.unit.Accel), uint16(free.Slots / x.unit.Slots),
	}
}

// Free returns the room that was last set for the item, if it is held.
func (x *Index) Free(item int32) (capacity.Size, bool) {
	return x.at[item].free, x.at[item].cell != nil
}

// Cells returns the number of cells that a search looks at.
func (x *Index) Cells() int { return len(x.list) }

// High returns a size that is at least the free room of every item.
func (x *Index) High() capacity.Size {
	var high capacity.Size
	for _, c := range x.list {
		high = high.Max(c.high)
	}
	return high
}

// Best returns the item that need leaves the smallest dominant remainder on,
// within the accuracy of a cell, among those that ok accepts; ok may be nil.
func (x *Index) Best(need capacity.Size, ok func(item int32) bool) (int32, bool) {
	best, found, score := int32(0), false, math.Inf(1)
	for _, c := range x.list {
		if !need.Fits(c.high) {
			continue
		}
		s := x.score(need, c.low)
		if found && (s > score || s == score && c.items[0] > best) {
			continue
		}
		item, held := x.pick(c, need, ok)
		if !held {
			continue
		}
		best, found, score = item, true, s
		if x.Any {
			break
		}
	}
	return best, found
}

// pick returns an item of the cell with room for need. When none has it, the
// cell's bound is set anew, so that the next search passes the cell over.
func (x *Index) pick(c *cell, need capacity.Size, ok func(int32) bool) (int32, bool) {
	var high capacity.Size
	for _, item := range c.items {
		free := x.at[item].free
		if need.Fits(free) && (ok == nil || ok(item)) {
			return item, true
		}
		high = high.Max(free)
	}
	c.high = high
	return 0, false
}

// score is the largest part of the largest server that stays free in any field.
func (x *Index) score(need, free capacity.Size) float64 {
	s := free.Sub(need).Dominant(x.most)
	if need.Accel == 0 && free.Accel > 0 {
		s += accelWaste
	}
	return s
}
