package quorum

// log holds the entries after base in memory.
type log struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// size is the bytes of all entries, committed those of the committed ones.
	size      int
	committed int
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term gives the term of the entry at index, if the log still knows it.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice gives the entries after lo up to hi.
func (l *log) slice(lo, hi uint64) []Entry {
	if hi <= lo {
		return nil
	}
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

// page gives entries after lo of at most size bytes, but at least one.
func (l *log) page(lo uint64, size int) []Entry {
	rest := l.slice(lo, l.last())
	bytes := 0
	for i, e := range rest {
		bytes += e.size()
		if bytes > size && i > 0 {
			return rest[:i:i]
		}
	}
	return rest
}

func (l *log) append(e Entry) {
	l.entries = append(l.entries, e)
	l.size += e.size()
}

// truncate removes the entry at index and all after it. The capacity goes too:
// writes and messages on their way still hold the old entries.
func (l *log) truncate(index uint64) {
	n := index - l.base - 1
	l.size -= size(l.entries[n:])
	l.entries = l.entries[:n:n]
}

// compact forgets entries up to index, which the log holds.
func (l *log) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	gone := size(l.entries[:index-l.base])
	l.size -= gone
	l.committed -= gone
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// conflict gives the last index up to index whose term is not above term: no
// entry after it can match one of that term.
func (l *log) conflict(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.base, l.baseTerm
}

// entryOverhead is what an entry costs besides its data, in bytes.
const entryOverhead = 32

func size(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += e.size()
	}
	return n
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }
