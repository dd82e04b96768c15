// Package fit finds the server or rack that a task fits best. Items are grouped in buckets
// by free capacity. A search examines the buckets. Their number is bounded by the number of
// levels and does not grow with the number of items.
package fit

import (
	"math"

	"gypsumreel/internal/domain/capacity"
)

// Levels is the number of levels into which the largest free capacity of each resource is
// divided. Slots and accelerators up to this number get a level each.
const Levels = 16

// accelWastePenalty is added to the score of an item with free accelerators if the task needs
// none, because the task could block their use.
const accelWastePenalty = 1.0

// WorstScore is a score that every item beats.
var WorstScore = math.Inf(1)

// Element is an item together with its position in an index.
type Element[T any] struct {
	// Item is the server or rack.
	Item   T
	free   capacity.Size
	bucket *bucket[T]
	// bucketPos is the position in bucket.elements.
	bucketPos int
}

// Index holds items by their free capacity.
type Index[T any] struct {
	// FirstFit makes Best return the first fitting item instead of the best one. It is meant
	// for comparison runs only.
	FirstFit bool
	maxSize  capacity.Size
	// levelSize is the difference in capacity between two levels.
	levelSize capacity.Size
	buckets   map[level]*bucket[T]
	summaries []bucketSummary[T]
}

// bucketSummary is the data that a search reads of every bucket. Summaries are contiguous
// in memory.
type bucketSummary[T any] struct {
	// minFree is at most the free capacity of every item in the bucket.
	minFree capacity.Size
	// maxFree is at least the free capacity of every item in the bucket.
	maxFree capacity.Size
	bucket  *bucket[T]
}

// level is a free capacity in multiples of Index.levelSize.
type level struct{ cpu, memory, accel, slots uint16 }

// bucket holds the items whose free capacity is on the same level.
type bucket[T any] struct {
	level    level
	elements []*Element[T]
	// summaryPos is the position in Index.summaries.
	summaryPos int
}

// NewIndex returns an empty index.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{buckets: map[level]*bucket[T]{}, levelSize: capacity.Size{CPU: 1, Memory: 1, Accel: 1, Slots: 1}}
}

// Grow enlarges the index for free capacities up to maxSize. It assigns all items to new
// buckets if maxSize is larger than before in some field.
func (x *Index[T]) Grow(maxSize capacity.Size) {
	if maxSize.Fits(x.maxSize) {
		return
	}
	x.maxSize = x.maxSize.Max(maxSize)
	x.levelSize = capacity.Size{CPU: levelStep(x.maxSize.CPU), Memory: levelStep(x.maxSize.Memory), Accel: levelStep(x.maxSize.Accel), Slots: levelStep(x.maxSize.Slots)}
	oldSummaries := x.summaries
	x.buckets, x.summaries = map[level]*bucket[T]{}, nil
	for _, summary := range oldSummaries {
		for _, e := range summary.bucket.elements {
			x.insert(e)
		}
	}
}

// levelStep returns the level size for a resource with the given largest value.
func levelStep(maxValue int64) int64 { return max(1, (maxValue+Levels-1)/Levels) }

// Update sets the free capacity of the element and adds it to the index if it is not in it.
// An element with a negative field is removed.
func (x *Index[T]) Update(e *Element[T], free capacity.Size) {
	if e.bucket != nil && e.free == free {
		return
	}
	if e.bucket != nil && free.Valid() && x.level(free) == e.bucket.level {
		e.free = free
		x.raiseMaxFree(e.bucket, free)
		return
	}
	x.Remove(e)
	if free.Valid() {
		e.free = free
		x.insert(e)
	}
}

// Remove removes the element from the index.
func (x *Index[T]) Remove(e *Element[T]) {
	b := e.bucket
	if b == nil {
		return
	}
	last := b.elements[len(b.elements)-1]
	b.elements[e.bucketPos] = last
	last.bucketPos = e.bucketPos
	b.elements = b.elements[:len(b.elements)-1]
	e.bucket = nil
	if len(b.elements) == 0 {
		x.removeBucket(b)
	}
}

// removeBucket removes an empty bucket.
func (x *Index[T]) removeBucket(b *bucket[T]) {
	last := x.summaries[len(x.summaries)-1]
	x.summaries[b.summaryPos] = last
	last.bucket.summaryPos = b.summaryPos
	x.summaries = x.summaries[:len(x.summaries)-1]
	delete(x.buckets, b.level)
}

// insert adds the element to the bucket of its level.
func (x *Index[T]) insert(e *Element[T]) {
	l := x.level(e.free)
	b := x.buckets[l]
	if b == nil {
		b = &bucket[T]{level: l, summaryPos: len(x.summaries)}
		x.buckets[l] = b
		x.summaries = append(x.summaries, bucketSummary[T]{bucket: b, minFree: capacity.Size{
			CPU: int64(l.cpu) * x.levelSize.CPU, Memory: int64(l.memory) * x.levelSize.Memory,
			Accel: int64(l.accel) * x.levelSize.Accel, Slots: int64(l.slots) * x.levelSize.Slots,
		}})
	}
	e.bucket, e.bucketPos = b, len(b.elements)
	b.elements = append(b.elements, e)
	x.raiseMaxFree(b, e.free)
}

// raiseMaxFree raises the maxFree of the bucket to cover the free capacity of one more item.
func (x *Index[T]) raiseMaxFree(b *bucket[T], free capacity.Size) {
	x.summaries[b.summaryPos].maxFree = x.summaries[b.summaryPos].maxFree.Max(free)
}

func (x *Index[T]) level(free capacity.Size) level {
	return level{
		uint16(free.CPU / x.levelSize.CPU), uint16(free.Memory / x.levelSize.Memory),
		uint16(free.Accel / x.levelSize.Accel), uint16(free.Slots / x.levelSize.Slots),
	}
}

// BucketCount returns the number of buckets that a search examines.
func (x *Index[T]) BucketCount() int { return len(x.summaries) }

// Best returns the item on which need leaves the smallest dominant remainder, to the
// accuracy of a bucket, and its score. Only items that accepts returns true for and that
// score below bound are considered. accepts may be nil.
func (x *Index[T]) Best(need capacity.Size, bound float64, accepts func(T) bool) (T, float64, bool) {
	var best *Element[T]
	for i := range x.summaries {
		summary := &x.summaries[i]
		if !need.Fits(summary.maxFree) {
			continue
		}
		score := x.score(need, summary.minFree)
		if score >= bound {
			continue
		}
		e := summary.findFitting(need, accepts)
		if e == nil {
			continue
		}
		best, bound = e, score
		if x.FirstFit {
			break
		}
	}
	if best == nil {
		var zero T
		return zero, bound, false
	}
	return best.Item, bound, true
}

// findFitting returns an element of the bucket with free capacity for need, or nil. If there
// is none, it lowers maxFree to the current maximum, so that later searches skip the bucket.
func (s *bucketSummary[T]) findFitting(need capacity.Size, accepts func(T) bool) *Element[T] {
	var maxFree capacity.Size
	for _, e := range s.bucket.elements {
		if need.Fits(e.free) && (accepts == nil || accepts(e.Item)) {
			return e
		}
		maxFree = maxFree.Max(e.free)
	}
	s.maxFree = maxFree
	return nil
}

// score returns the largest fraction of maxSize that stays free in any field.
func (x *Index[T]) score(need, free capacity.Size) float64 {
	score := free.Sub(need).DominantShare(x.maxSize)
	if need.Accel == 0 && free.Accel > 0 {
		score += accelWastePenalty
	}
	return score
}
