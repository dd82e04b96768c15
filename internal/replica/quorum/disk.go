package quorum

// disk tracks which part of the log and of the hard state is synced. One write
// is on its way while the next gathers.
type disk struct {
	// seq is the number of the last write, synced of the last one synced.
	seq    uint64
	synced uint64
	// hardDirty tells that the hard state waits for a write.
	hardDirty bool
	// saved is the last index given to a write, stable the last synced.
	saved  uint64
	stable uint64
	// flying is the last index of the write on its way.
	flying uint64
	// anchor is an entry at the index of a snapshot that replaced the log: it
	// truncates what the journal holds of the replaced log.
	anchor    *Entry
	anchorSeq uint64
	// drop is what the journal may forget once the anchor is synced.
	drop uint64
}

func (d *disk) busy() bool { return d.seq > d.synced }

// covering is the write after which everything decided so far is synced.
func (d *disk) covering() uint64 {
	if d.hardDirty {
		return d.seq + 1
	}
	return d.seq
}

// truncate takes back the entry at index and all after it.
func (d *disk) truncate(index uint64) {
	d.saved = min(d.saved, index-1)
	d.stable = min(d.stable, index-1)
	d.flying = min(d.flying, index-1)
}

// replace starts anew behind a synced snapshot.
func (d *disk) replace(s *Snapshot) {
	d.saved, d.stable, d.flying = s.Index, s.Index, 0
	d.anchor = &Entry{Index: s.Index, Term: s.Term, Kind: EntryNoOp}
}

// write starts the next write when none is on its way.
func (c *Core) write() {
	d := &c.disk
	c.dropJournal()
	if d.busy() {
		return
	}
	entries := c.log.slice(d.saved, c.log.last())
	if !d.hardDirty && len(entries) == 0 && d.anchor == nil {
		return
	}
	d.seq++
	w := &JournalWrite{Seq: d.seq, Entries: entries}
	if d.hardDirty {
		hard := c.hard
		w.HardState, d.hardDirty = &hard, false
	}
	if d.anchor != nil {
		w.Entries = append([]Entry{*d.anchor}, entries...)
		d.anchor, d.anchorSeq = nil, d.seq
	}
	d.saved, d.flying = c.log.last(), c.log.last()
	c.fx.Write = w
}

// dropJournal lets the journal forget what a snapshot covers. It waits for the
// anchor: a journal that forgot the entry at the snapshot's index could not show
// after a crash that what it holds behind it is stale.
func (c *Core) dropJournal() {
	d := &c.disk
	if d.anchor != nil || d.anchorSeq > d.synced {
		return
	}
	c.fx.DropJournalUpTo, d.drop = d.drop, 0
}

func (c *Core) synced(seq uint64) {
	d := &c.disk
	if seq != d.seq || !d.busy() {
		return
	}
	d.synced = seq
	d.stable = max(d.stable, d.flying)
	d.flying = 0
	c.release()
}
