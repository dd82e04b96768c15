package journal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// suffix ends the name of each segment; before it stands the number in hex.
const suffix = ".journal"

// segment is one file of the journal.
type segment struct {
	number uint64
	// first is the index of its first entry that is in force; 0 when there is none.
	first uint64
	// last is the highest index that is still in force in this segment or one
	// before it; 0 when there is none.
	last uint64
}

// segments are the files of a journal, oldest first, numbered without gaps.
type segments []segment

// with adds a segment that has no entry yet.
func (s segments) with(number uint64) segments {
	next := segment{number: number}
	if len(s) > 0 {
		next.last = s[len(s)-1].last
	}
	return append(s, next)
}

// note takes down that the newest segment got an entry, which ends those in
// force from its index on.
func (s segments) note(index uint64) {
	for i := range s {
		s[i].last = min(s[i].last, index-1)
		if s[i].first >= index {
			s[i].first = 0
		}
	}
	newest := &s[len(s)-1]
	newest.last = index
	if newest.first == 0 {
		newest.first = index
	}
}

// empty tells whether no entry is in force.
func (s segments) empty() bool {
	return !slices.ContainsFunc(s, func(one segment) bool { return one.first > 0 })
}

// newest returns the segment that is appended to.
func (s segments) newest() segment { return s[len(s)-1] }

// segmentName returns the path of a segment.
func segmentName(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", number, suffix))
}

// segmentNumbers picks the segments out of the sorted names of a folder.
func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		hex, ok := strings.CutSuffix(name, suffix)
		if !ok || len(hex) != 16 {
			continue
		}
		if n, err := strconv.ParseUint(hex, 16, 64); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
