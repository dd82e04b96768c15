// Package queue keeps items in a fixed order and finds them by key. Adding and
// removing cost the logarithm of the length, so a wave of cancellations costs
// each of its tasks no more than a single one does.
package queue

import "github.com/google/btree"

// degree is the width of the tree's nodes.
const degree = 16

// Queue holds items in order. An item's key and place must not change while it
// is held.
type Queue[K comparable, T any] struct {
	key   func(T) K
	items map[K]T
	order *btree.BTreeG[T]
}

// New returns an empty queue. Items are known by key and sorted by less, which
// must tell apart items of different keys.
func New[K comparable, T any](key func(T) K, less func(a, b T) bool) *Queue[K, T] {
	return &Queue[K, T]{key: key, items: map[K]T{}, order: btree.NewG(degree, less)}
}

// Add puts the item in its place, instead of an earlier one of the same key.
func (q *Queue[K, T]) Add(item T) {
	q.Remove(q.key(item))
	q.items[q.key(item)] = item
	q.order.ReplaceOrInsert(item)
}

// Remove takes the item of that key out and returns it.
func (q *Queue[K, T]) Remove(key K) (T, bool) {
	item, ok := q.items[key]
	if ok {
		delete(q.items, key)
		q.order.Delete(item)
	}
	return item, ok
}

// Get returns the item of that key.
func (q *Queue[K, T]) Get(key K) (T, bool) {
	item, ok := q.items[key]
	return item, ok
}

// Min returns the first item.
func (q *Queue[K, T]) Min() (T, bool) { return q.order.Min() }

// Len returns the number of items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Each calls fn in order until it returns false; fn must not change the queue.
func (q *Queue[K, T]) Each(fn func(T) bool) { q.order.Ascend(fn) }

// EachReverse calls fn from the last item to the first until it returns false; fn
// must not change the queue.
func (q *Queue[K, T]) EachReverse(fn func(T) bool) { q.order.Descend(fn) }

// AppendFirst appends the first n items to into and returns it.
func (q *Queue[K, T]) AppendFirst(n int, into []T) []T {
	if n <= 0 {
		return into
	}
	q.order.Ascend(func(item T) bool {
		into = append(into, item)
		n--
		return n > 0
	})
	return into
}
