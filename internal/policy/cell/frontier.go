package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// maxUnplaceableSizes bounds a frontier.
const maxUnplaceableSizes = 32

// unplaceableSizes holds sizes that were found to fit nowhere, so that a full cell is
// not searched again for each waiting task of the same or a larger size.
type unplaceableSizes struct{ sizes []capacity.Size }

// covers tells whether the size is known to fit nowhere.
func (f *unplaceableSizes) covers(size capacity.Size) bool {
	for _, known := range f.sizes {
		if known.Fits(size) {
			return true
		}
	}
	return false
}

// add notes that the size fits nowhere.
func (f *unplaceableSizes) add(size capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(known capacity.Size) bool { return size.Fits(known) })
	if len(f.sizes) < maxUnplaceableSizes {
		f.sizes = append(f.sizes, size)
	}
}

// removeFitting forgets what may fit into room that became free.
func (f *unplaceableSizes) removeFitting(free capacity.Size) {
	f.sizes = slices.DeleteFunc(f.sizes, func(s capacity.Size) bool { return s.Fits(free) })
}
