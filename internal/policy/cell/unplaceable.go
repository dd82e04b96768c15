package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// maxUnplaceableSizes bounds the number of sizes in unplaceableSizes.
const maxUnplaceableSizes = 32

// unplaceableSizes holds sizes that fit on no server, so that the planner does not search a
// full cell again for each waiting task of the same or a larger size.
type unplaceableSizes struct{ sizes []capacity.Size }

// covers reports whether the size, or a smaller one, is known to fit on no server.
func (f *unplaceableSizes) covers(size capacity.Size) bool {
	for _, known := range f.sizes {
		if known.Fits(size) {
			return true
		}
	}
	return false
}

// add records that the size fits on no server. Larger known sizes become redundant.
func (f *unplaceableSizes) add(size capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(known capacity.Size) bool { return size.Fits(known) })
	if len(f.sizes) < maxUnplaceableSizes {
		f.sizes = append(f.sizes, size)
	}
}

// removeFitting removes the sizes that fit into the capacity that became free.
func (f *unplaceableSizes) removeFitting(free capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(s capacity.Size) bool { return s.Fits(free) })
}
