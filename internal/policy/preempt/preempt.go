// Package preempt chooses the tasks to stop on one server so that more urgent work can
// start there. It prefers the tasks that lose the least work.
package preempt

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Victim is a candidate for preemption: a task, or a gang as a whole.
type Victim[T any] struct {
	// Item identifies the victim to the caller.
	Item T
	// Freed is the capacity that stopping the victim frees on the server.
	Freed capacity.Size
	// LostWork is the work lost by stopping the victim. All candidates use the same unit.
	LostWork float64
}

// Choose returns victims whose freed capacity, together with free, is enough for need, and
// the work lost by stopping them. It returns false if all candidates together are not
// enough. Candidates are considered in the given order, and victims that turn out not to be
// needed are left out of the result.
func Choose[T any](need, free capacity.Size, candidates []Victim[T]) ([]Victim[T], float64, bool) {
	if v, ok := cheapestSingle(need, free, candidates); ok {
		return []Victim[T]{v}, v.LostWork, true
	}
	var chosen []Victim[T]
	for _, v := range candidates {
		if need.Fits(free) {
			break
		}
		chosen = append(chosen, v)
		free = free.Add(v.Freed)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	return dropUnneeded(need, free, chosen)
}

// cheapestSingle returns the victim with the least lost work among those that suffice alone.
func cheapestSingle[T any](need, free capacity.Size, candidates []Victim[T]) (Victim[T], bool) {
	var best Victim[T]
	found := false
	for _, v := range candidates {
		if need.Fits(free.Add(v.Freed)) && (!found || v.LostWork < best.LostWork) {
			best, found = v, true
		}
	}
	return best, found
}

// dropUnneeded removes the chosen victims that are not needed, the last ones first. It
// returns the remaining victims and their lost work.
func dropUnneeded[T any](need, free capacity.Size, chosen []Victim[T]) ([]Victim[T], float64, bool) {
	needed := chosen[:0]
	lost := 0.0
	for i := len(chosen) - 1; i >= 0; i-- {
		if remaining := free.Sub(chosen[i].Freed); need.Fits(remaining) {
			free = remaining
			chosen[i].Freed = capacity.Size{}
		}
	}
	for _, v := range chosen {
		if !v.Freed.IsZero() {
			needed = append(needed, v)
			lost += v.LostWork
		}
	}
	return needed, lost, true
}

// RestartCost is the time lost by each preemption: the task is stopped, placed and started
// again.
const RestartCost = 2 * time.Second

// LostWork returns the work lost by stopping a task that uses the given fraction of the
// cell, in cell-seconds. It assumes that no checkpoint was saved since the task was placed.
func LostWork(fraction float64, placedAt, now time.Duration) float64 {
	return fraction * max(0, (now-placedAt+RestartCost).Seconds())
}
