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

// accelWastePenalty is added to the score of a place whose free accelerators a task
// without need of them would block.
const accelWastePenalty = 1.0

// WorstScore is a score that every place beats.
var WorstScore = math.Inf(1)

// Element is an item's place in an index.
type Element[T any] struct {
	// Item is what is placed on, a server or a rack.
	Item      T
	free      capacity.Size
	bucket    *bucket[T]
	bucketPos int
}

// Index holds the free room of items.
type Index[T any] struct {
	// FirstFit takes the first cell that fits in place of the best; for comparison only.
	FirstFit  bool
	maxSize   capacity.Size
	levelSize capacity.Size
	buckets   map[level]*bucket[T]
	summaries []bucketSummary[T]
}

// bucketSummary is what a search reads of every cell; heads lie side by side in memory.
type bucketSummary[T any] struct {
	minFree capacity.Size
	// maxFree is at least the free room of every item.
	maxFree capacity.Size
	bucket  *bucket[T]
}

// level is a free room counted in units.
type level struct{ cpu, memory, accel, slots uint16 }

// bucket holds the items whose free room is on one level.
type bucket[T any] struct {
	level      level
	elements   []*Element[T]
	summaryPos int
}

// NewIndex returns an empty index.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{buckets: map[level]*bucket[T]{}, levelSize: capacity.Size{CPU: 1, Memory: 1, Accel: 1, Slots: 1}}
}

// Grow prepares for rooms of at most the given size.
func (x *Index[T]) Grow(maxSize capacity.Size) {
	if maxSize.Fits(x.maxSize) {
		return
	}
	x.maxSize = x.maxSize.Max(maxSize)
	x.levelSize = capacity.Size{CPU: levelStep(x.maxSize.CPU), Memory: levelStep(x.maxSize.Memory), Accel: levelStep(x.maxSize.Accel), Slots: levelStep(x.maxSize.Slots)}
	old := x.summaries
	x.buckets, x.summaries = map[level]*bucket[T]{}, nil
	for _, h := range old {
		for _, s := range h.bucket.elements {
			x.insert(s)
		}
	}
}

func levelStep(maxValue int64) int64 { return max(1, (maxValue+Levels-1)/Levels) }

// Update puts the spot's free room in; one with a negative field is never found.
func (x *Index[T]) Update(s *Element[T], free capacity.Size) {
	if s.bucket != nil && s.free == free {
		return
	}
	if s.bucket != nil && free.Valid() && x.level(free) == s.bucket.level {
		s.free = free
		x.raiseMaxFree(s.bucket, free)
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
	c := s.bucket
	if c == nil {
		return
	}
	last := c.elements[len(c.elements)-1]
	c.elements[s.bucketPos] = last
	last.bucketPos = s.bucketPos
	c.elements = c.elements[:len(c.elements)-1]
	s.bucket = nil
	if len(c.elements) == 0 {
		x.removeBucket(c)
	}
}

func (x *Index[T]) removeBucket(c *bucket[T]) {
	end := x.summaries[len(x.summaries)-1]
	x.summaries[c.summaryPos] = end
	end.bucket.summaryPos = c.summaryPos
	x.summaries = x.summaries[:len(x.summaries)-1]
	delete(x.buckets, c.level)
}

func (x *Index[T]) insert(s *Element[T]) {
	l := x.level(s.free)
	c := x.buckets[l]
	if c == nil {
		c = &bucket[T]{level: l, summaryPos: len(x.summaries)}
		x.buckets[l] = c
		x.summaries = append(x.summaries, bucketSummary[T]{bucket: c, minFree: capacity.Size{
			CPU: int64(l.cpu) * x.levelSize.CPU, Memory: int64(l.memory) * x.levelSize.Memory,
			Accel: int64(l.accel) * x.levelSize.Accel, Slots: int64(l.slots) * x.levelSize.Slots,
		}})
	}
	s.bucket, s.bucketPos = c, len(c.elements)
	c.elements = append(c.elements, s)
	x.raiseMaxFree(c, s.free)
}

// raiseMaxFree lets the bound of a cell hold for one more free room.
func (x *Index[T]) raiseMaxFree(c *bucket[T], free capacity.Size) {
	x.summaries[c.summaryPos].maxFree = x.summaries[c.summaryPos].maxFree.Max(free)
}

func (x *Index[T]) level(free capacity.Size) level {
	return level{
		uint16(free.CPU / x.levelSize.CPU), uint16(free.Memory / x.levelSize.Memory),
		uint16(free.Accel / x.levelSize.Accel), uint16(free.Slots / x.levelSize.Slots),
	}
}

// BucketCount returns the number of cells that a search looks at.
func (x *Index[T]) BucketCount() int { return len(x.summaries) }

// Best returns the item on which need leaves the smallest dominant remainder,
// within the accuracy of a cell, among those that ok accepts, and its score. Only
// items that score below bound are found; ok may be nil.
func (x *Index[T]) Best(need capacity.Size, bound float64, ok func(T) bool) (T, float64, bool) {
	var best *Element[T]
	for i := range x.summaries {
		h := &x.summaries[i]
		if !need.Fits(h.maxFree) {
			continue
		}
		score := x.score(need, h.minFree)
		if score >= bound {
			continue
		}
		s := h.findFitting(need, ok)
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

// findFitting returns a spot of the cell with room for need. When none has it, the
// cell's bound is set anew, so that the next search passes the cell over.
func (h *bucketSummary[T]) findFitting(need capacity.Size, ok func(T) bool) *Element[T] {
	var maxFree capacity.Size
	for _, s := range h.bucket.elements {
		if need.Fits(s.free) && (ok == nil || ok(s.Item)) {
			return s
		}
		maxFree = maxFree.Max(s.free)
	}
	h.maxFree = maxFree
	return nil
}

// score is the largest part of the largest room that stays free in any field.
func (x *Index[T]) score(need, free capacity.Size) float64 {
	s := free.Sub(need).Dominant(x.maxSize)
	if need.Accel == 0 && free.Accel > 0 {
		s += accelWastePenalty
	}
	return s
}
