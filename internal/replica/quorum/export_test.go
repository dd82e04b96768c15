package quorum

// Entries gives the log in memory, for the invariants.
func (c *Core) Entries() []Entry { return c.log.entries }

// Mark gives the index and the term of the last entry.
func (c *Core) Mark() [2]uint64 { return [2]uint64{c.log.last(), c.log.lastTerm()} }

// Leads gives the term, and whether this replica leads in it.
func (c *Core) Leads() (uint64, bool) { return c.hard.Term, c.role == leader }

// Base gives the index and the term before the first of Entries.
func (c *Core) Base() (uint64, uint64) { return c.log.base, c.log.baseTerm }
