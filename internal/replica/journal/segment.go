package journal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// segmentSuffix is the file name suffix of segments. It follows the segment number
// in hexadecimal.
const segmentSuffix = ".journal"

// segment describes one file of the journal. An entry is live until a later entry
// with the same or a lower index replaces it.
type segment struct {
	number uint64
	// firstIndex is the index of the first live entry in this segment, 0 if it has none.
	firstIndex uint64
	// lastIndex is the highest index of a live entry in this segment or an earlier
	// one, 0 if there is none.
	lastIndex uint64
}

// segments are the files of a journal, oldest first. Their numbers are consecutive.
type segments []segment

// withSegment returns the segments with a new one appended that has no entries.
func (s segments) withSegment(number uint64) segments {
	added := segment{number: number}
	if len(s) > 0 {
		added.lastIndex = s[len(s)-1].lastIndex
	}
	return append(s, added)
}

// recordEntry records that an entry was appended to the newest segment. The entry
// replaces all live entries from its index on.
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

// empty reports whether there are no live entries.
func (s segments) empty() bool {
	return !slices.ContainsFunc(s, func(sg segment) bool { return sg.firstIndex > 0 })
}

// newest returns the segment that new entries are appended to.
func (s segments) newest() segment { return s[len(s)-1] }

// segmentPath returns the file path of the segment with the given number.
func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// segmentNumbers returns the numbers of the segments among the sorted file names of
// a folder and skips all other files.
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
