package quorum

// entryLog holds the entries after base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// bytes is the bytes of all entries, committed those of the committed ones.
	bytes          int
	committedBytes int
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt gives the term of the entry at index, if the log still knows it.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesBetween gives the entries after lo up to hi.
func (l *entryLog) entriesBetween(after, last uint64) []Entry {
	if last <= after {
		return nil
	}
	return l.entries[after-l.base : last-l.base : last-l.base]
}

// batchAfter gives entries after lo of at most size bytes, but at least one.
func (l *entryLog) batchAfter(after uint64, maxBytes int) []Entry {
	remaining := l.entriesBetween(after, l.lastIndex())
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

// truncate removes the entry at index and all after it. The capacity goes too:
// writes and messages on their way still hold the old entries.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base - 1
	l.bytes -= entriesBytes(l.entries[kept:])
	l.entries = l.entries[:kept:kept]
}

// dropUpTo forgets entries up to index, which the log holds.
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

// lastNotAboveTerm gives the last index up to index whose term is not above term: no
// entry after it can match one of that term.
func (l *entryLog) lastNotAboveTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.base {
		indexTerm, _ := l.termAt(index)
		if indexTerm <= term {
			return index, indexTerm
		}
		index--
	}
	return l.base, l.baseTerm
}

// entryOverhead is what an entry costs besides its data, in bytes.
const entryOverhead = 32

func entriesBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += e.bytes()
	}
	return total
}

func (e Entry) bytes() int { return len(e.Data) + entryOverhead }
