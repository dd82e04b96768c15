package quorum

import "github.com/cespare/xxhash/v2"

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	index, term          uint64
	checksum, totalBytes uint64
	members              []Member
	data                 []byte
}

// startCompaction starts to save the pending snapshot of the control thread. It waits until
// the journal contains the entry at the snapshot's index, so that later entries in the
// journal follow the snapshot without a gap.
func (c *Core) startCompaction() {
	request := c.pendingCompact
	if request == nil || c.savingSnapshot != nil || request.Index > min(c.reportedIndex, c.journal.syncedIndex) {
		return
	}
	c.pendingCompact = nil
	term, ok := c.log.termAt(request.Index)
	if !ok || request.Index <= c.snapshot.Index {
		return
	}
	c.startSnapshotSave(&Snapshot{
		Index: request.Index, Term: term,
		Members: c.memberships.atIndex(request.Index).members, State: request.State,
	})
}

func (c *Core) startSnapshotSave(snapshot *Snapshot) {
	c.savingSnapshot = snapshot
	c.effects.SaveSnapshot = snapshot
}

// handleSnapshotSaved adopts a snapshot after it was saved to disk, and compacts the log.
func (c *Core) handleSnapshotSaved(index uint64) {
	if c.savingSnapshot == nil || c.savingSnapshot.Index != index {
		return
	}
	snapshot := *c.savingSnapshot
	c.savingSnapshot = nil
	if snapshot.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snapshot
	c.journal.dropIndex = snapshot.Index
	c.installSnapshot(snapshot)
	// If the snapshot came from the leader, the entries that compactLog removes may not
	// have been reported yet.
	c.reportCommitted()
	c.compactLog()
}

// installSnapshot replaces the log with a snapshot from the leader if the snapshot is ahead
// of this replica's commit index.
func (c *Core) installSnapshot(snapshot Snapshot) {
	if snapshot.Index <= c.commitIndex {
		return
	}
	if term, ok := c.log.termAt(snapshot.Index); ok && term == snapshot.Term {
		// The log contains the last entry of the snapshot, so its entries are committed and
		// the log stays.
		c.commitUpTo(snapshot.Index)
		return
	}
	c.log = entryLog{base: snapshot.Index, baseTerm: snapshot.Term}
	c.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	c.journal.resetToSnapshot(&snapshot)
	c.commitIndex, c.reportedIndex = snapshot.Index, snapshot.Index
	c.matchedIndex, c.ackDue = max(c.matchedIndex, snapshot.Index), true
	c.addReport(StateRestored{Index: snapshot.Index, State: snapshot.State})
}

// compactLog removes entries covered by the snapshot, except for a tail of limited size.
// The tail allows a replica that was briefly unreachable to catch up without the snapshot.
func (c *Core) compactLog() {
	dropIndex, tailBytes := c.snapshot.Index, 0
	for dropIndex > c.log.base && tailBytes < c.cfg.LogTailBytes {
		tailBytes += c.log.entries[dropIndex-c.log.base-1].bytes()
		dropIndex--
	}
	c.log.dropUpTo(dropIndex)
	c.memberships = c.memberships.dropBefore(c.log.base)
}

// sendSnapshotChunk sends the part of the snapshot that the replica needs next.
func (c *Core) sendSnapshotChunk(id string, progress *replicaProgress) {
	isSilent := c.now-max(progress.heardAt, c.leaderState.electedAt) > c.cfg.MaxElectionTimeout
	if progress.awaitingReply || isSilent {
		return
	}
	progress.awaitingReply, progress.requestSentAt = true, c.now
	snapshot := progress.snapshot
	end := min(uint64(len(snapshot.State)), progress.snapshotOffset+uint64(c.cfg.MaxMessageBytes))
	c.send(Message{
		Kind: SnapshotChunk, To: id, Term: c.hardState.Term, Index: snapshot.Index, LogTerm: snapshot.Term,
		Offset: progress.snapshotOffset, TotalBytes: uint64(len(snapshot.State)), Checksum: progress.snapshotChecksum,
		Data: snapshot.State[progress.snapshotOffset:end], Members: snapshot.Members,
	})
}

// Checksum returns the xxhash checksum of the state.
func (s *Snapshot) Checksum() uint64 { return xxhash.Sum64(s.State) }

// handleSnapshotChunk adds a chunk to the snapshot that is being received. After a change
// of the connection or the leader, the transfer resumes if the snapshot is the same.
func (c *Core) handleSnapshotChunk(m Message) {
	if m.Index <= c.commitIndex {
		c.matchedIndex = max(c.matchedIndex, c.commitIndex)
		c.ackDue = true
		return
	}
	if m.TotalBytes > uint64(c.cfg.MaxSnapshotBytes) {
		return
	}
	if c.savingSnapshot != nil && c.savingSnapshot.Index == m.Index {
		c.sendSnapshotChunkReply(m, m.TotalBytes)
		return
	}
	incoming := c.incoming
	if incoming == nil || incoming.index != m.Index || incoming.term != m.LogTerm || incoming.checksum != m.Checksum || incoming.totalBytes != m.TotalBytes {
		incoming = &incomingSnapshot{index: m.Index, term: m.LogTerm, checksum: m.Checksum, totalBytes: m.TotalBytes, members: m.Members}
		c.incoming = incoming
	}
	if m.Offset == uint64(len(incoming.data)) && m.Offset+uint64(len(m.Data)) <= incoming.totalBytes {
		incoming.data = append(incoming.data, m.Data...)
	}
	if uint64(len(incoming.data)) == incoming.totalBytes {
		c.completeSnapshot(incoming)
	}
	c.sendSnapshotChunkReply(m, uint64(len(incoming.data)))
}

// sendSnapshotChunkReply informs the leader at which offset to continue.
func (c *Core) sendSnapshotChunkReply(chunk Message, offset uint64) {
	c.send(Message{
		Kind: SnapshotChunkReply, To: chunk.From, Term: c.hardState.Term, Index: chunk.Index, Offset: offset, Checksum: chunk.Checksum,
	})
}

// completeSnapshot saves a completely received snapshot. If the checksum does not match,
// the transfer starts again from offset 0.
func (c *Core) completeSnapshot(incoming *incomingSnapshot) {
	if c.savingSnapshot != nil {
		return
	}
	snapshot := &Snapshot{Index: incoming.index, Term: incoming.term, Members: incoming.members, State: incoming.data}
	if snapshot.Checksum() != incoming.checksum {
		incoming.data = nil
		return
	}
	c.incoming = nil
	c.startSnapshotSave(snapshot)
}

func (c *Core) handleSnapshotChunkReply(progress *replicaProgress, m Message) {
	if progress.state != progressSnapshot || m.Index != progress.snapshot.Index || m.Offset > uint64(len(progress.snapshot.State)) {
		return
	}
	progress.snapshotOffset = m.Offset
	progress.furthestOffset = max(progress.furthestOffset, m.Offset)
	// After the last chunk, no further chunk is sent. The replica acknowledges the snapshot
	// once it is saved.
	progress.awaitingReply = m.Offset == uint64(len(progress.snapshot.State))
}
