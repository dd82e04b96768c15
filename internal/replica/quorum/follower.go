package quorum

import "fmt"

// handleAppendEntries merges entries from the leader into the log, or rejects them if the
// log does not contain the entry before them.
func (c *Core) handleAppendEntries(m Message) {
	// All entries committed on this replica are also in the leader's log.
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

// skipCommitted removes the entries that are already committed from an append message.
func (c *Core) skipCommitted(m Message) Message {
	n := min(uint64(len(m.Entries)), c.commitIndex-m.Index)
	m.Entries = m.Entries[n:]
	m.Index = c.commitIndex
	m.LogTerm, _ = c.log.termAt(c.commitIndex)
	return m
}

// mergeEntries appends missing entries and replaces entries of a different term. Entries
// that match stay, because a delayed duplicate of an append message must not remove the
// entries of later append messages.
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
		panic(fmt.Sprintf("quorum: leader replaces committed entry %d (commit index %d)", index, c.commitIndex))
	}
	c.log.truncate(index)
	c.memberships = c.memberships.truncate(index)
	c.journal.truncate(index)
}

// commitMatched adopts the leader's commit index, limited to the entries that are known to
// match the leader's log.
func (c *Core) commitMatched(index uint64) {
	c.commitUpTo(min(index, c.matchedIndex))
}

// commitUpTo raises the commit index to index, which the log must contain.
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

// durableIndex returns the highest index that is synced and known to match the leader's
// log. If entries were acknowledged before the sync, they could be committed and then lost
// in a crash. The leader's term is synced no later than the first entry of that term, and
// a leader commits nothing before it commits an entry of its own term.
func (c *Core) durableIndex() uint64 { return min(c.journal.syncedIndex, c.matchedIndex) }

// acknowledgeSynced sends the durable index to the leader, with one message for all
// entries covered by the same sync.
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
