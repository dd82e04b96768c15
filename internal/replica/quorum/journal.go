package quorum

// journalState tracks which entries and which hard state are synced to the journal. At
// most one write is in progress. Later changes are collected for the next write.
type journalState struct {
	// lastWriteSeq is the number of the last write that was started, and syncedWriteSeq the
	// number of the last write that was synced.
	lastWriteSeq   uint64
	syncedWriteSeq uint64
	// hardStateDirty is set while the hard state contains changes that are in no write.
	hardStateDirty bool
	// writtenIndex is the last index included in a write, and syncedIndex the last index
	// that is synced.
	writtenIndex uint64
	syncedIndex  uint64
	// inflightIndex is the last index of the write in progress.
	inflightIndex uint64
	// anchor is a no-op entry at the index of a snapshot that replaced the log. Writing it
	// truncates the entries of the replaced log in the journal.
	anchor    *Entry
	anchorSeq uint64
	// dropIndex is the index up to which the journal may drop entries once the anchor is
	// synced.
	dropIndex uint64
}

func (j *journalState) writeInflight() bool { return j.lastWriteSeq > j.syncedWriteSeq }

// coveringWriteSeq returns the number of the write whose sync makes the current hard state
// durable.
func (j *journalState) coveringWriteSeq() uint64 {
	if j.hardStateDirty {
		return j.lastWriteSeq + 1
	}
	return j.lastWriteSeq
}

// truncate marks the entry at index and all later entries as not written.
func (j *journalState) truncate(index uint64) {
	j.writtenIndex = min(j.writtenIndex, index-1)
	j.syncedIndex = min(j.syncedIndex, index-1)
	j.inflightIndex = min(j.inflightIndex, index-1)
}

// resetToSnapshot makes the journal continue after a synced snapshot.
func (j *journalState) resetToSnapshot(s *Snapshot) {
	j.writtenIndex, j.syncedIndex, j.inflightIndex = s.Index, s.Index, 0
	j.anchor = &Entry{Index: s.Index, Term: s.Term, Kind: EntryNoOp}
}

// startWrite starts the next write unless one is in progress.
func (c *Core) startWrite() {
	journal := &c.journal
	c.dropJournalEntries()
	if journal.writeInflight() {
		return
	}
	entries := c.log.entriesBetween(journal.writtenIndex, c.log.lastIndex())
	if !journal.hardStateDirty && len(entries) == 0 && journal.anchor == nil {
		return
	}
	journal.lastWriteSeq++
	write := &JournalWrite{Seq: journal.lastWriteSeq, Entries: entries}
	if journal.hardStateDirty {
		hardState := c.hardState
		write.HardState, journal.hardStateDirty = &hardState, false
	}
	if journal.anchor != nil {
		write.Entries = append([]Entry{*journal.anchor}, entries...)
		journal.anchor, journal.anchorSeq = nil, journal.lastWriteSeq
	}
	journal.writtenIndex, journal.inflightIndex = c.log.lastIndex(), c.log.lastIndex()
	c.effects.Write = write
}

// dropJournalEntries requests that the journal drop the entries covered by a snapshot. It
// waits until the anchor is synced. Without the entry at the snapshot's index, a replica that
// restarts after a crash could not detect that later journal entries are stale.
func (c *Core) dropJournalEntries() {
	journal := &c.journal
	if journal.anchor != nil || journal.anchorSeq > journal.syncedWriteSeq {
		return
	}
	c.effects.DropJournalUpTo, journal.dropIndex = journal.dropIndex, 0
}

func (c *Core) handleWriteSynced(seq uint64) {
	journal := &c.journal
	if seq != journal.lastWriteSeq || !journal.writeInflight() {
		return
	}
	journal.syncedWriteSeq = seq
	if journal.inflightIndex > journal.syncedIndex {
		journal.syncedIndex, c.leaderState.syncProgressAt = journal.inflightIndex, c.now
	}
	journal.inflightIndex = 0
	c.sendHeldMessages()
}
