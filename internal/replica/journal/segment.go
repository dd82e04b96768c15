package journal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// segmentSuffix ends the name of each segment; before it stands the number in hex.
const segmentSuffix = ".journal"

// segment is one file of the journal.
type segment struct {
	number uint64
	// firstIndex is the index of its first entry that is in force; 0 when there is none.
	firstIndex uint64
	// lastIndex is the highest index that is still in force in this segment or one
	// before it; 0 when there is none.
	lastIndex uint64
}

// segments are the files of a journal, oldest first, numbered without gaps.
type segments []segment

// withSegment adds a segment that has no entry yet.
func (s segments) withSegment(number uint64) segments {
	next := segment{number: number}
	if len(s) > 0 {
		next.lastIndex = s[len(s)-1].lastIndex
	}
	return append(s, next)
}

// recordEntry takes down that the newest segment got an entry, which ends those in
// force from its index on.
func (s segments) recordEntry(index uint64) {
	for i := range s {
		s[i].lastIndex = min(s[i].lastIndex, index-1)
		if s[i].firstIndex >= index {
			s[i].firstIndex = 0
		}
	}
	newest := &s[len(s)-1]
	newest.lastIndex = index
	if newest.firstIndex == 0 {
		newest.firstIndex = index
	}
}

// empty tells whether no entry is in force.
func (s segments) empty() bool {
	return !slices.ContainsFunc(s, func(sg segment) bool { return sg.firstIndex > 0 })
}

// newest returns the segment that is appended to.
func (s segments) newest() segment { return s[len(s)-1] }

// segmentPath returns the path of a segment.
func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// segmentNumbers picks the segments out of the sorted names of a folder.
func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		hex, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok || len(hex) != 16 {
			continue
		}
		if n, err := strconv.ParseUint(hex, 16, 64); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
