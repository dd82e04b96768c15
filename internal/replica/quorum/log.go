package quorum

// entryLog holds the log entries after index base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// bytes is the size of all entries in memory, and committedBytes the size of the
	// committed ones.
	bytes          int
	committedBytes int
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index. The result is false if the log does not
// contain the entry.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesBetween returns the entries from afterIndex+1 to lastIndex.
func (l *entryLog) entriesBetween(afterIndex, lastIndex uint64) []Entry {
	if lastIndex <= afterIndex {
		return nil
	}
	return l.entries[afterIndex-l.base : lastIndex-l.base : lastIndex-l.base]
}

// batchAfter returns the entries that follow afterIndex, up to a total size of maxBytes. If
// the first entry is larger, it is returned alone.
func (l *entryLog) batchAfter(afterIndex uint64, maxBytes int) []Entry {
	remaining := l.entriesBetween(afterIndex, l.lastIndex())
	batchBytes := 0
	for i, e := range remaining {
		batchBytes += e.bytes()
		if batchBytes > maxBytes && i > 0 {
			return remaining[:i:i]
		}
	}
	return remaining
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += e.bytes()
}

// truncate removes the entry at index and all later entries. It limits the capacity of the
// slice, because pending writes and messages still share the old entries.
func (l *entryLog) truncate(index uint64) {
	keptCount := index - l.base - 1
	l.bytes -= entriesBytes(l.entries[keptCount:])
	l.entries = l.entries[:keptCount:keptCount]
}

// dropUpTo removes the entries up to and including index, which the log must contain.
func (l *entryLog) dropUpTo(index uint64) {
	term, ok := l.termAt(index)
	if !ok || index <= l.base {
		return
	}
	droppedBytes := entriesBytes(l.entries[:index-l.base])
	l.bytes -= droppedBytes
	l.committedBytes -= droppedBytes
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// lastNotAboveTerm returns the index and term of the last entry up to index whose term does
// not exceed maxTerm. No later entry can match an entry of term maxTerm in another log.
func (l *entryLog) lastNotAboveTerm(index, maxTerm uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.base {
		indexTerm, _ := l.termAt(index)
		if indexTerm <= maxTerm {
			return index, indexTerm
		}
		index--
	}
	return l.base, l.baseTerm
}

// entryOverhead is the size of an entry without its data, in bytes.
const entryOverhead = 32

func entriesBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += e.bytes()
	}
	return total
}

func (e Entry) bytes() int { return len(e.Data) + entryOverhead }
