package quorum

import (
	"math/rand/v2"
	"time"
)

type role uint8

const (
	follower role = iota
	precandidate
	candidate
	leader
)

// held is a message that may leave once the write seq is synced.
type held struct {
	seq uint64
	m   Message
}

// Core is the consensus state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	fx  Effects

	// What the disk holds, or will.
	hard     HardState
	log      log
	history  history
	snapshot Snapshot

	disk disk
	held []held

	role   role
	leader string
	// stranger is a sender that the membership known here does not name.
	stranger Member
	// heard is when the leader was last heard; it counts while leader is set.
	heard    time.Duration
	patience patience
	// begun tells that the clock is known. Until a replica has seen how long the
	// silences of its leaders are, it waits for half of the longest.
	begun    bool
	deadline time.Duration
	votes    map[string]bool

	commit uint64
	// applied is how far entries were reported.
	applied uint64
	// announced is the index of the membership reported last.
	announced uint64
	report    standing
	// verified is how far the log is known to match that of the leader.
	verified uint64
	// acked is the last index acknowledged to the leader; ackDue asks for one more.
	acked  uint64
	ackDue bool

	saving *Snapshot
	// later is a snapshot of the control thread that waits to be saved.
	later    *Compact
	incoming *incoming

	lead leadership
}

// New makes a core from what the disk holds.
func New(cfg Config, saved PersistedState) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		hard:     saved.HardState,
		snapshot: saved.Snapshot,
		log:      log{base: saved.Snapshot.Index, baseTerm: saved.Snapshot.Term},
		commit:   saved.Snapshot.Index,
		applied:  saved.Snapshot.Index,
	}
	if saved.Snapshot.Index > 0 {
		c.history = history{{index: saved.Snapshot.Index, members: saved.Snapshot.Members}}
	}
	for _, e := range tail(saved) {
		c.append(e)
	}
	// A snapshot may be saved before the term that it came with is synced. No vote
	// of that term has left then, and none of an earlier one may any more.
	if c.log.lastTerm() > c.hard.Term {
		c.hard = HardState{Term: c.log.lastTerm()}
	}
	c.disk.stable, c.disk.saved = c.log.last(), c.log.last()
	// Without entries behind the snapshot the journal may hold stale ones, or
	// none near it; the anchor makes it go on from the snapshot.
	if c.log.base > 0 && len(c.log.entries) == 0 {
		c.disk.replace(&c.snapshot)
	}
	if c.blank() && len(cfg.InitialMembers) > 0 {
		c.bootstrap()
	}
	// Nobody is missed yet: when all start at once, the first to ask should not
	// wait for a leader that there is not. Where there is one, the question before
	// an election is refused and disturbs nobody.
	c.retryDeadline()
	if c.alone() {
		c.deadline = 0
	}
	return c
}

// tail gives the saved entries that go on after the snapshot.
func tail(saved PersistedState) []Entry {
	next := saved.Snapshot.Index + 1
	var entries []Entry
	for _, e := range saved.Entries {
		// A crash between the save of a snapshot from the leader and the write
		// that anchors it leaves entries behind the snapshot that the leader
		// never had. Their forerunner has another term than the snapshot.
		if e.Index == saved.Snapshot.Index && e.Term != saved.Snapshot.Term {
			return nil
		}
		if e.Index == next {
			entries = append(entries, e)
			next++
		}
	}
	return entries
}

func (c *Core) blank() bool {
	return c.hard == (HardState{}) && c.log.last() == 0
}

// bootstrap seeds the log with the first membership, which every replica that
// is given it writes alike, as if a leader of term 1 had.
func (c *Core) bootstrap() {
	c.hard, c.disk.hardDirty = HardState{Term: 1}, true
	members := membership{}
	for _, m := range c.cfg.InitialMembers {
		members.members = members.with(m)
	}
	c.append(Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: EncodeMembers(members.members)})
}

// append adds an entry to the log and takes over the membership that it carries.
func (c *Core) append(e Entry) {
	c.log.append(e)
	if e.Kind != EntryMembership {
		return
	}
	if members, err := DecodeMembers(e.Data); err == nil {
		c.history = append(c.history, membership{index: e.Index, members: members})
	}
}

// members is the membership in force.
func (c *Core) members() membership { return c.history.latest() }

// Step lets ev happen at now, which never goes back.
func (c *Core) Step(now time.Duration, ev Event) Effects {
	if !c.begun {
		c.begun = true
		c.patience.silent(c.cfg.MaxElectionTimeout/startPart, now)
	}
	c.now = max(c.now, now)
	c.expire()
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(ev.Message)
	case Propose:
		c.propose(ev)
	case ChangeMembership:
		c.alter(ev)
	case WriteSynced:
		c.synced(ev.Seq)
	case SnapshotSaved:
		c.snapshotSaved(ev.Index)
	case SnapshotSaveFailed:
		c.saving = nil
	case Compact:
		c.later = &ev
	case ConfirmLeadership:
		c.confirm()
	case TransferLeadership:
		c.transfer()
	case ReloadState:
		c.reload()
	}
	c.finish()
	fx := c.fx
	c.fx = Effects{}
	return fx
}

func (c *Core) tick() {
	switch {
	case c.role == leader:
		c.leaderTick()
	case c.now >= c.deadline:
		c.campaign()
	}
}

// finish gives out what the step made due.
func (c *Core) finish() {
	c.reportFollowed()
	c.advance()
	c.compact()
	c.apply()
	c.announce()
	c.reportLed()
	c.acknowledge()
	c.replicate()
	c.write()
}

func (c *Core) say(r Report) { c.fx.Reports = append(c.fx.Reports, r) }

// send lets a message leave now.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if c.maybeStranger(m) {
		m.SenderAddress = c.cfg.Address
	}
	c.fx.Messages = append(c.fx.Messages, OutgoingMessage{Address: c.addressOf(m.To), Message: m})
}

// maybeStranger tells that the receiver may know no membership with this
// replica, and so no way back: it is new, or was away while all others changed.
func (c *Core) maybeStranger(m Message) bool {
	switch m.Kind {
	case PreVoteRequest, VoteRequest:
		return true
	case AppendEntries, Heartbeat, SnapshotChunk:
		return c.role == leader && c.peer(m.To).match < c.members().index
	}
	return false
}

// hold lets a message leave when everything that this replica decided so far is synced.
func (c *Core) hold(m Message) {
	m.From = c.cfg.ID
	c.held = append(c.held, held{seq: c.disk.covering(), m: m})
	c.release()
}

// release sends the held messages whose write is synced. One to this replica
// itself is its own vote.
func (c *Core) release() {
	for len(c.held) > 0 && c.held[0].seq <= c.disk.synced {
		m := c.held[0].m
		c.held = c.held[1:]
		if m.To == c.cfg.ID {
			c.receive(m)
			continue
		}
		c.send(m)
	}
}

func (c *Core) addressOf(id string) string {
	if m, ok := c.members().find(id); ok {
		return m.Address
	}
	if id == c.stranger.ID {
		return c.stranger.Address
	}
	return ""
}

// resetDeadline draws a new election timeout.
func (c *Core) resetDeadline() { c.deadline = c.now + c.between(c.timeout()) }

// timeout is how long a silent leader is waited for.
func (c *Core) timeout() time.Duration {
	return c.patience.timeout(c.cfg.ElectionTimeout, c.cfg.MaxElectionTimeout, c.now)
}

// retryDeadline draws the time to the next question before an election: shorter than a
// timeout, as no leader can be missed meanwhile, and the question disturbs nobody.
func (c *Core) retryDeadline() { c.deadline = c.now + c.between(c.cfg.ElectionTimeout/askPart) }

// voteDeadline draws the time to the next try of an election that was not won.
func (c *Core) voteDeadline() {
	c.deadline = c.now + c.between(max(c.cfg.ElectionTimeout/askPart, c.cfg.MaxElectionTimeout/votePart))
}

const (
	// askPart is the part of the shortest election timeout after which a replica asks
	// again whether it could win: a few round trips.
	askPart = 4
	// votePart is the part of the longest one after which a candidate tries again; it
	// leaves time for a round trip between regions and two syncs.
	votePart = 8
)

// between draws a time of d to twice that.
func (c *Core) between(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)))
}
