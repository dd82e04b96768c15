// Package queue implements a sorted queue with access by key. Adding and removing an item
// take logarithmic time, so that the cancellation of many tasks at once costs no more per
// task than a single cancellation.
package queue

import "github.com/google/btree"

// degree is the degree of the B-tree.
const degree = 16

// Queue holds items in sorted order. The key and the order of an item must not change while
// the queue holds it.
type Queue[K comparable, T any] struct {
	key   func(T) K
	items map[K]T
	order *btree.BTreeG[T]
}

// New returns an empty queue. Items are identified by key and sorted by less, which must
// define a strict order between items of different keys.
func New[K comparable, T any](key func(T) K, less func(a, b T) bool) *Queue[K, T] {
	return &Queue[K, T]{key: key, items: map[K]T{}, order: btree.NewG(degree, less)}
}

// Add adds the item and replaces an earlier item with the same key.
func (q *Queue[K, T]) Add(item T) {
	q.Remove(q.key(item))
	q.items[q.key(item)] = item
	q.order.ReplaceOrInsert(item)
}

// Remove removes the item with the key and returns it.
func (q *Queue[K, T]) Remove(key K) (T, bool) {
	item, ok := q.items[key]
	if ok {
		delete(q.items, key)
		q.order.Delete(item)
	}
	return item, ok
}

// Get returns the item with the key.
func (q *Queue[K, T]) Get(key K) (T, bool) {
	item, ok := q.items[key]
	return item, ok
}

// Min returns the first item in the order, or false if the queue is empty.
func (q *Queue[K, T]) Min() (T, bool) { return q.order.Min() }

// Len returns the number of items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Each calls fn for the items in order until fn returns false. fn must not change the queue.
func (q *Queue[K, T]) Each(fn func(T) bool) { q.order.Ascend(fn) }

// EachReverse calls fn for the items in reverse order until fn returns false. fn must not
// change the queue.
func (q *Queue[K, T]) EachReverse(fn func(T) bool) { q.order.Descend(fn) }

// AppendFirst appends the first n items to dst and returns the extended slice.
func (q *Queue[K, T]) AppendFirst(n int, dst []T) []T {
	if n <= 0 {
		return dst
	}
	q.order.Ascend(func(item T) bool {
		dst = append(dst, item)
		n--
		return n > 0
	})
	return dst
}
