package quorum

// LogEntries gives the log in memory, for the invariants.
func (c *Core) LogEntries() []Entry { return c.log.entries }

// LastEntry gives the index and the term of the last entry.
func (c *Core) LastEntry() [2]uint64 { return [2]uint64{c.log.last(), c.log.lastTerm()} }

// TermAndLeading gives the term, and whether this replica leads in it.
func (c *Core) TermAndLeading() (uint64, bool) { return c.hard.Term, c.role == leader }

// LogBase gives the index and the term before the first of Entries.
func (c *Core) LogBase() (uint64, uint64) { return c.log.base, c.log.baseTerm }
