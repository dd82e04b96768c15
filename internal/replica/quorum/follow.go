package quorum

// handleAppendEntries takes entries of the leader.
func (c *Core) handleAppendEntries(m Message) {
	// Everything committed here is in the leader's log too.
	if m.Index < c.commitIndex {
		m = c.skipCommitted(m)
	}
	if term, ok := c.log.termAt(m.Index); !ok || term != m.LogTerm {
		conflictIndex, conflictTerm := c.log.lastNotAboveTerm(m.Index, m.LogTerm)
		c.send(Message{
			Kind: AppendEntriesReply, To: m.From, Term: c.hardState.Term, Reject: true,
			Index: m.Index, ConflictIndex: conflictIndex, LogTerm: conflictTerm,
		})
		return
	}
	c.mergeEntries(m.Entries)
	c.matchedIndex = max(c.matchedIndex, m.Index+uint64(len(m.Entries)))
	c.ackDue = true
	c.commitMatched(m.CommitIndex)
}

// skipCommitted drops what is committed from the front of an append.
func (c *Core) skipCommitted(m Message) Message {
	n := min(uint64(len(m.Entries)), c.commitIndex-m.Index)
	m.Entries = m.Entries[n:]
	m.Index = c.commitIndex
	m.LogTerm, _ = c.log.termAt(c.commitIndex)
	return m
}

// mergeEntries appends what the log lacks and replaces what differs. Entries that it
// has already stay: a late copy of an older append must not cut off later ones.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.truncateLog(e.Index)
		}
		for _, e := range entries[i:] {
			c.appendEntry(e)
		}
		return
	}
}

func (c *Core) truncateLog(index uint64) {
	if index <= c.commitIndex {
		panic("quorum: a leader replaces a committed entry")
	}
	c.log.truncate(index)
	c.memberships = c.memberships.truncate(index)
	c.journal.truncate(index)
}

// commitMatched takes the leader's commit index as far as the logs are known to match.
func (c *Core) commitMatched(index uint64) {
	c.commitUpTo(min(index, c.matchedIndex))
}

// commitUpTo commits entries that the log holds.
func (c *Core) commitUpTo(index uint64) {
	if index <= c.commitIndex {
		return
	}
	c.log.committedBytes += entriesBytes(c.log.entriesBetween(c.commitIndex, index))
	c.commitIndex = index
}

func (c *Core) handleHeartbeat(m Message) {
	c.commitMatched(m.CommitIndex)
	c.send(Message{
		Kind: HeartbeatReply, To: m.From, Term: c.hardState.Term,
		Round: m.Round, Index: c.durableIndex(),
	})
}

// durableIndex is how far the log is synced and known to match the leader's: what is
// only in memory would be acknowledged, committed and then lost in a crash. The
// term of the leader is synced with its first entry or before, and without one
// of its own entries the leader commits nothing.
func (c *Core) durableIndex() uint64 { return min(c.journal.syncedIndex, c.matchedIndex) }

// acknowledgeSynced tells the leader what is synced, once for all that one sync covers.
func (c *Core) acknowledgeSynced() {
	if c.role != roleFollower || c.leaderID == "" {
		return
	}
	n := c.durableIndex()
	if n <= c.ackedIndex && !(c.ackDue && c.journal.syncedIndex >= c.matchedIndex) {
		return
	}
	c.ackedIndex, c.ackDue = n, false
	c.send(Message{Kind: AppendEntriesReply, To: c.leaderID, Term: c.hardState.Term, Index: n})
}
