package quorum

// LogEntries returns the entries in memory.
func (c *Core) LogEntries() []Entry { return c.log.entries }

// LastEntry returns the index and term of the last entry.
func (c *Core) LastEntry() [2]uint64 { return [2]uint64{c.log.lastIndex(), c.log.lastTerm()} }

// TermAndLeading returns the current term and whether this replica is its leader.
func (c *Core) TermAndLeading() (uint64, bool) { return c.hardState.Term, c.role == roleLeader }

// LogBase returns the index and term of the entry before the first entry in memory.
func (c *Core) LogBase() (uint64, uint64) { return c.log.base, c.log.baseTerm }
