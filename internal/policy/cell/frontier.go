package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// mostFailed bounds a frontier.
const mostFailed = 32

// frontier holds sizes that were found to fit nowhere, so that a full cell is
// not searched again for each waiting task of the same or a larger size.
type frontier struct{ sizes []capacity.Size }

// holds tells whether the size is known to fit nowhere.
func (f *frontier) holds(s capacity.Size) bool {
	for _, known := range f.sizes {
		if known.Fits(s) {
			return true
		}
	}
	return false
}

// add notes that the size fits nowhere.
func (f *frontier) add(s capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(known capacity.Size) bool { return s.Fits(known) })
	if len(f.sizes) < mostFailed {
		f.sizes = append(f.sizes, s)
	}
}

// shrink forgets what may fit into room that became free.
func (f *frontier) shrink(free capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(s capacity.Size) bool { return s.Fits(free) })
}
