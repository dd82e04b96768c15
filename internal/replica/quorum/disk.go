package quorum

// journalState tracks which part of the log and of the hard state is synced. One write
// is on its way while the next gathers.
type journalState struct {
	// lastWriteSeq is the number of the last write, synced of the last one synced.
	lastWriteSeq   uint64
	syncedWriteSeq uint64
	// hardStateDirty tells that the hard state waits for a write.
	hardStateDirty bool
	// writtenIndex is the last index given to a write, stable the last synced.
	writtenIndex uint64
	syncedIndex  uint64
	// inflightIndex is the last index of the write on its way.
	inflightIndex uint64
	// anchor is an entry at the index of a snapshot that replaced the log: it
	// truncates what the journal holds of the replaced log.
	anchor    *Entry
	anchorSeq uint64
	// dropIndex is what the journal may forget once the anchor is synced.
	dropIndex uint64
}

func (d *journalState) writeInflight() bool { return d.lastWriteSeq > d.syncedWriteSeq }

// coveringWriteSeq is the write after which everything decided so far is synced.
func (d *journalState) coveringWriteSeq() uint64 {
	if d.hardStateDirty {
		return d.lastWriteSeq + 1
	}
	return d.lastWriteSeq
}

// truncate takes back the entry at index and all after it.
func (d *journalState) truncate(index uint64) {
	d.writtenIndex = min(d.writtenIndex, index-1)
	d.syncedIndex = min(d.syncedIndex, index-1)
	d.inflightIndex = min(d.inflightIndex, index-1)
}

// resetToSnapshot starts anew behind a synced snapshot.
func (d *journalState) resetToSnapshot(s *Snapshot) {
	d.writtenIndex, d.syncedIndex, d.inflightIndex = s.Index, s.Index, 0
	d.anchor = &Entry{Index: s.Index, Term: s.Term, Kind: EntryNoOp}
}

// startWrite starts the next write when none is on its way.
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

// dropJournalEntries lets the journal forget what a snapshot covers. It waits for the
// anchor: a journal that forgot the entry at the snapshot's index could not show
// after a crash that what it holds behind it is stale.
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
	journal.syncedIndex = max(journal.syncedIndex, journal.inflightIndex)
	journal.inflightIndex = 0
	c.sendHeldMessages()
}
