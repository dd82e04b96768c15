// Package preempt chooses what to stop so that something more pressing can
// start: the set on one server that loses the least work.
package preempt

import (
	"time"

	"gypsumreel/internal/domain/capacity"
)

// Victim is something that may be stopped: a task, or a gang as a whole.
type Victim[T any] struct {
	// Item is what the caller knows the victim by.
	Item T
	// Freed is what stopping it frees on the server looked at.
	Freed capacity.Size
	// LostWork is the work that stopping throws away, in any one unit.
	LostWork float64
}

// Choose returns the victims whose room, with what is free already, holds need,
// and the work lost by stopping them. Candidates come in the order to be
// considered; those that turn out not to be needed are left running.
func Choose[T any](need, free capacity.Size, candidates []Victim[T]) ([]Victim[T], float64, bool) {
	if v, ok := single(need, free, candidates); ok {
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
	return spare(need, free, chosen)
}

// single returns the cheapest victim that suffices alone.
func single[T any](need, free capacity.Size, candidates []Victim[T]) (Victim[T], bool) {
	var best Victim[T]
	found := false
	for _, v := range candidates {
		if need.Fits(free.Add(v.Freed)) && (!found || v.LostWork < best.LostWork) {
			best, found = v, true
		}
	}
	return best, found
}

// spare drops the dearest victims that the rest can do without.
func spare[T any](need, free capacity.Size, chosen []Victim[T]) ([]Victim[T], float64, bool) {
	kept := chosen[:0]
	lost := 0.0
	for i := len(chosen) - 1; i >= 0; i-- {
		if rest := free.Sub(chosen[i].Freed); need.Fits(rest) {
			free = rest
			chosen[i].Freed = capacity.Size{}
		}
	}
	for _, v := range chosen {
		if !v.Freed.IsZero() {
			kept = append(kept, v)
			lost += v.LostWork
		}
	}
	return kept, lost, true
}

// RestartCost is the time that stopping a task costs in any case: ending it, placing
// it again, and starting anew.
const RestartCost = 2 * time.Second

// LostWork is the work that stopping a task of the given part of the cell loses, in
// cell-seconds, if nothing was kept since it was placed.
func LostWork(part float64, since, now time.Duration) float64 {
	return part * max(0, (now-since+RestartCost).Seconds())
}
