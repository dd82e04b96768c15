package quorum

// takeAppend takes entries of the leader.
func (c *Core) takeAppend(m Message) {
	// Everything committed here is in the leader's log too.
	if m.Index < c.commit {
		m = c.skip(m)
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		hint, hintTerm := c.log.conflict(m.Index, m.LogTerm)
		c.send(Message{
			Kind: AppendEntriesReply, To: m.From, Term: c.hard.Term, Reject: true,
			Index: m.Index, ConflictIndex: hint, LogTerm: hintTerm,
		})
		return
	}
	c.merge(m.Entries)
	c.verified = max(c.verified, m.Index+uint64(len(m.Entries)))
	c.ackDue = true
	c.commitTo(m.CommitIndex)
}

// skip drops what is committed from the front of an append.
func (c *Core) skip(m Message) Message {
	n := min(uint64(len(m.Entries)), c.commit-m.Index)
	m.Entries = m.Entries[n:]
	m.Index = c.commit
	m.LogTerm, _ = c.log.term(c.commit)
	return m
}

// merge appends what the log lacks and replaces what differs. Entries that it
// has already stay: a late copy of an older append must not cut off later ones.
func (c *Core) merge(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.truncate(e.Index)
		}
		for _, e := range entries[i:] {
			c.append(e)
		}
		return
	}
}

func (c *Core) truncate(index uint64) {
	if index <= c.commit {
		panic("quorum: a leader replaces a committed entry")
	}
	c.log.truncate(index)
	c.history = c.history.truncate(index)
	c.disk.truncate(index)
}

// commitTo takes the leader's commit index as far as the logs are known to match.
func (c *Core) commitTo(index uint64) {
	c.commitUpTo(min(index, c.verified))
}

// commitUpTo commits entries that the log holds.
func (c *Core) commitUpTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.log.committed += size(c.log.slice(c.commit, index))
	c.commit = index
}

func (c *Core) takeHeartbeat(m Message) {
	c.commitTo(m.CommitIndex)
	c.send(Message{
		Kind: HeartbeatReply, To: m.From, Term: c.hard.Term,
		Round: m.Round, Index: c.durable(),
	})
}

// durable is how far the log is synced and known to match the leader's: what is
// only in memory would be acknowledged, committed and then lost in a crash. The
// term of the leader is synced with its first entry or before, and without one
// of its own entries the leader commits nothing.
func (c *Core) durable() uint64 { return min(c.disk.stable, c.verified) }

// acknowledge tells the leader what is synced, once for all that one sync covers.
func (c *Core) acknowledge() {
	if c.role != follower || c.leader == "" {
		return
	}
	n := c.durable()
	if n <= c.acked && !(c.ackDue && c.disk.stable >= c.verified) {
		return
	}
	c.acked, c.ackDue = n, false
	c.send(Message{Kind: AppendEntriesReply, To: c.leader, Term: c.hard.Term, Index: n})
}
