package cell

import (
	"slices"

	"gypsumreel/internal/domain/capacity"
)

// sizeCounts counts waiting units by size, so that the planner can skip a team of which no
// unit fits without scanning its queue.
type sizeCounts struct {
	sizes  []capacity.Size
	counts []int
}

func (t *sizeCounts) add(s capacity.Size) {
	if i := slices.Index(t.sizes, s); i >= 0 {
		t.counts[i]++
		return
	}
	t.sizes = append(t.sizes, s)
	t.counts = append(t.counts, 1)
}

func (t *sizeCounts) remove(s capacity.Size) {
	i := slices.Index(t.sizes, s)
	if t.counts[i]--; t.counts[i] > 0 {
		return
	}
	t.sizes = slices.Delete(t.sizes, i, i+1)
	t.counts = slices.Delete(t.counts, i, i+1)
}

// anyPlaceable reports whether f does not cover some waiting size, so that tasks of that size
// may fit on a server.
func (t *sizeCounts) anyPlaceable(f *unplaceableSizes) bool {
	for _, s := range t.sizes {
		if !f.covers(s) {
			return true
		}
	}
	return false
}
