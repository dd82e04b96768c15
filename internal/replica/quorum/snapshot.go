package quorum

import "github.com/cespare/xxhash/v2"

// incoming is a snapshot that is being received.
type incoming struct {
	index, term uint64
	sum, total  uint64
	members     []Member
	data        []byte
}

// compact starts to save a snapshot of the state after a committed entry, once
// the journal holds that entry: entries behind the snapshot follow it there.
func (c *Core) compact() {
	ev := c.later
	if ev == nil || c.saving != nil || ev.Index > min(c.applied, c.disk.stable) {
		return
	}
	c.later = nil
	term, ok := c.log.term(ev.Index)
	if !ok || ev.Index <= c.snapshot.Index {
		return
	}
	c.save(&Snapshot{
		Index: ev.Index, Term: term,
		Members: c.history.at(ev.Index).members, State: ev.State,
	})
}

func (c *Core) save(s *Snapshot) {
	c.saving = s
	c.fx.SaveSnapshot = s
}

// snapshotSaved goes on with a snapshot that is on the disk.
func (c *Core) snapshotSaved(index uint64) {
	if c.saving == nil || c.saving.Index != index {
		return
	}
	s := *c.saving
	c.saving = nil
	if s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	c.disk.drop = s.Index
	c.install(s)
	// What the log is about to forget was not reported yet if the snapshot came
	// from the leader.
	c.apply()
	c.compactLog()
}

// install takes over a snapshot from the leader that is ahead of this replica.
func (c *Core) install(s Snapshot) {
	if s.Index <= c.commit {
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		// The log goes on from here: it only has to be applied.
		c.commitUpTo(s.Index)
		return
	}
	c.log = log{base: s.Index, baseTerm: s.Term}
	c.history = history{{index: s.Index, members: s.Members}}
	c.disk.replace(&s)
	c.commit, c.applied = s.Index, s.Index
	c.verified, c.ackDue = max(c.verified, s.Index), true
	c.say(StateRestored{Index: s.Index, State: s.State})
}

// compactLog forgets entries behind the snapshot but for a bounded tail, from
// which a replica that was away for a moment is served without the snapshot.
func (c *Core) compactLog() {
	keep, bytes := c.snapshot.Index, 0
	for keep > c.log.base && bytes < c.cfg.LogTailBytes {
		bytes += c.log.entries[keep-c.log.base-1].size()
		keep--
	}
	c.log.compact(keep)
	c.history = c.history.compact(c.log.base)
}

// sendChunk sends the part of the snapshot that the replica asks for next.
func (c *Core) sendChunk(id string, p *progress) {
	silent := c.now-max(p.heard, c.lead.elected) > c.cfg.MaxElectionTimeout
	if p.waiting || silent {
		return
	}
	p.waiting, p.asked = true, c.now
	s := p.image
	end := min(uint64(len(s.State)), p.offset+uint64(c.cfg.MaxMessageBytes))
	c.send(Message{
		Kind: SnapshotChunk, To: id, Term: c.hard.Term, Index: s.Index, LogTerm: s.Term,
		Offset: p.offset, TotalBytes: uint64(len(s.State)), Checksum: p.sum,
		Data: s.State[p.offset:end], Members: s.Members,
	})
}

// Checksum is the checksum of the state.
func (s *Snapshot) Checksum() uint64 { return xxhash.Sum64(s.State) }

// takeChunk adds a part to the snapshot that is being received. It goes on where
// it was when the connection or the leader changed, if the snapshot is the same.
func (c *Core) takeChunk(m Message) {
	if m.Index <= c.commit {
		c.verified = max(c.verified, c.commit)
		c.ackDue = true
		return
	}
	if m.TotalBytes > uint64(c.cfg.MaxSnapshotBytes) {
		return
	}
	if c.saving != nil && c.saving.Index == m.Index {
		c.answerChunk(m, m.TotalBytes)
		return
	}
	in := c.incoming
	if in == nil || in.index != m.Index || in.term != m.LogTerm || in.sum != m.Checksum || in.total != m.TotalBytes {
		in = &incoming{index: m.Index, term: m.LogTerm, sum: m.Checksum, total: m.TotalBytes, members: m.Members}
		c.incoming = in
	}
	if m.Offset == uint64(len(in.data)) && m.Offset+uint64(len(m.Data)) <= in.total {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.total {
		c.received(in)
	}
	c.answerChunk(m, uint64(len(in.data)))
}

// answerChunk tells the leader from where to go on.
func (c *Core) answerChunk(m Message, offset uint64) {
	c.send(Message{
		Kind: SnapshotChunkReply, To: m.From, Term: c.hard.Term, Index: m.Index, Offset: offset, Checksum: m.Checksum,
	})
}

// received saves a whole snapshot. One that arrived damaged starts over.
func (c *Core) received(in *incoming) {
	if c.saving != nil {
		return
	}
	s := &Snapshot{Index: in.index, Term: in.term, Members: in.members, State: in.data}
	if s.Checksum() != in.sum {
		in.data = nil
		return
	}
	c.incoming = nil
	c.save(s)
}

func (c *Core) takeChunkReply(p *progress, m Message) {
	if p.state != installing || m.Index != p.image.Index || m.Offset > uint64(len(p.image.State)) {
		return
	}
	p.offset = m.Offset
	// The whole snapshot is there: its save is answered by an acknowledgement.
	p.waiting = m.Offset == uint64(len(p.image.State))
}
