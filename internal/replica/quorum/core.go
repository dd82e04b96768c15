package quorum

import (
	"math/rand/v2"
	"time"
)

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// heldMessage is a message that may leave once the write seq is synced.
type heldMessage struct {
	writeSeq uint64
	message  Message
}

// Core is the consensus state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	effects Effects

	// What the disk holds, or will.
	hardState   HardState
	log         entryLog
	memberships membershipHistory
	snapshot    Snapshot

	journal      journalState
	heldMessages []heldMessage

	role     role
	leaderID string
	// unknownSender is a sender that the membership known here does not name.
	unknownSender Member
	// leaderHeardAt is when the leader was last heard; it counts while leader is set.
	leaderHeardAt time.Duration
	timeouts      timeoutEstimator
	// started tells that the clock is known. Until a replica has seen how long the
	// silences of its leaders are, it waits for half of the longest.
	started          bool
	electionDeadline time.Duration
	votes            map[string]bool

	commitIndex uint64
	// reportedIndex is how far entries were reported.
	reportedIndex uint64
	// reportedMembersIndex is the index of the membership reported last.
	reportedMembersIndex uint64
	lastReport           leadershipReport
	// matchedIndex is how far the log is known to match that of the leader.
	matchedIndex uint64
	// ackedIndex is the last index acknowledged to the leader; ackDue asks for one more.
	ackedIndex uint64
	ackDue     bool

	savingSnapshot *Snapshot
	// pendingCompact is a snapshot of the control thread that waits to be saved.
	pendingCompact *Compact
	incoming       *incomingSnapshot

	leaderState leaderState
}

// New makes a core from what the disk holds.
func New(cfg Config, state PersistedState) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		hardState:     state.HardState,
		snapshot:      state.Snapshot,
		log:           entryLog{base: state.Snapshot.Index, baseTerm: state.Snapshot.Term},
		commitIndex:   state.Snapshot.Index,
		reportedIndex: state.Snapshot.Index,
	}
	if state.Snapshot.Index > 0 {
		c.memberships = membershipHistory{{index: state.Snapshot.Index, members: state.Snapshot.Members}}
	}
	for _, e := range entriesAfterSnapshot(state) {
		c.appendEntry(e)
	}
	// A snapshot may be saved before the term that it came with is synced. No vote
	// of that term has left then, and none of an earlier one may any more.
	if c.log.lastTerm() > c.hardState.Term {
		c.hardState = HardState{Term: c.log.lastTerm()}
	}
	c.journal.syncedIndex, c.journal.writtenIndex = c.log.lastIndex(), c.log.lastIndex()
	// Without entries behind the snapshot the journal may hold stale ones, or
	// none near it; the anchor makes it go on from the snapshot.
	if c.log.base > 0 && len(c.log.entries) == 0 {
		c.journal.resetToSnapshot(&c.snapshot)
	}
	if c.isBlank() && len(cfg.InitialMembers) > 0 {
		c.writeInitialMembers()
	}
	// Nobody is missed yet: when all start at once, the first to ask should not
	// wait for a leader that there is not. Where there is one, the question before
	// an election is refused and disturbs nobody.
	c.setPreVoteDeadline()
	if c.isOnlyVoter() {
		c.electionDeadline = 0
	}
	return c
}

// entriesAfterSnapshot gives the saved entries that go on after the snapshot.
func entriesAfterSnapshot(state PersistedState) []Entry {
	nextIndex := state.Snapshot.Index + 1
	var entries []Entry
	for _, e := range state.Entries {
		// A crash between the save of a snapshot from the leader and the write
		// that anchors it leaves entries behind the snapshot that the leader
		// never had. Their forerunner has another term than the snapshot.
		if e.Index == state.Snapshot.Index && e.Term != state.Snapshot.Term {
			return nil
		}
		if e.Index == nextIndex {
			entries = append(entries, e)
			nextIndex++
		}
	}
	return entries
}

func (c *Core) isBlank() bool {
	return c.hardState == (HardState{}) && c.log.lastIndex() == 0
}

// writeInitialMembers seeds the log with the first membership, which every replica that
// is given it writes alike, as if a leader of term 1 had.
func (c *Core) writeInitialMembers() {
	c.hardState, c.journal.hardStateDirty = HardState{Term: 1}, true
	initial := membership{}
	for _, m := range c.cfg.InitialMembers {
		initial.members = initial.with(m)
	}
	c.appendEntry(Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: EncodeMembers(initial.members)})
}

// appendEntry adds an entry to the log and takes over the membership that it carries.
func (c *Core) appendEntry(e Entry) {
	c.log.append(e)
	if e.Kind != EntryMembership {
		return
	}
	if members, err := DecodeMembers(e.Data); err == nil {
		c.memberships = append(c.memberships, membership{index: e.Index, members: members})
	}
}

// currentMembership is the membership in force.
func (c *Core) currentMembership() membership { return c.memberships.latest() }

// Step lets ev happen at now, which never goes back.
func (c *Core) Step(now time.Duration, ev Event) Effects {
	if !c.started {
		c.started = true
		c.timeouts.recordSilence(c.cfg.MaxElectionTimeout/startSilenceDivisor, now)
	}
	c.now = max(c.now, now)
	c.stepDownIfUnconfirmed()
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.handleMessage(ev.Message)
	case Propose:
		c.handlePropose(ev)
	case ChangeMembership:
		c.handleChangeMembership(ev)
	case WriteSynced:
		c.handleWriteSynced(ev.Seq)
	case SnapshotSaved:
		c.handleSnapshotSaved(ev.Index)
	case SnapshotSaveFailed:
		c.savingSnapshot = nil
	case Compact:
		c.pendingCompact = &ev
	case ConfirmLeadership:
		c.requestRound()
	case TransferLeadership:
		c.startTransfer()
	case ReloadState:
		c.reloadState()
	}
	c.collectEffects()
	fx := c.effects
	c.effects = Effects{}
	return fx
}

func (c *Core) tick() {
	switch {
	case c.role == roleLeader:
		c.tickLeader()
	case c.now >= c.electionDeadline:
		c.startPreVote()
	}
}

// collectEffects gives out what the step made due.
func (c *Core) collectEffects() {
	c.reportFollower()
	c.advanceCommitIndex()
	c.startCompaction()
	c.reportCommitted()
	c.reportMembership()
	c.reportLeader()
	c.acknowledgeSynced()
	c.replicate()
	c.startWrite()
}

func (c *Core) addReport(report Report) { c.effects.Reports = append(c.effects.Reports, report) }

// send lets a message leave now.
func (c *Core) send(message Message) {
	message.From = c.cfg.ID
	if c.receiverMayNotKnowSender(message) {
		message.SenderAddress = c.cfg.Address
	}
	c.effects.Messages = append(c.effects.Messages, OutgoingMessage{Address: c.addressOf(message.To), Message: message})
}

// receiverMayNotKnowSender tells that the receiver may know no membership with this
// replica, and so no way back: it is new, or was away while all others changed.
func (c *Core) receiverMayNotKnowSender(message Message) bool {
	switch message.Kind {
	case PreVoteRequest, VoteRequest:
		return true
	case AppendEntries, Heartbeat, SnapshotChunk:
		return c.role == roleLeader && c.progressOf(message.To).matchIndex < c.currentMembership().index
	}
	return false
}

// sendAfterSync lets a message leave when everything that this replica decided so far is synced.
func (c *Core) sendAfterSync(message Message) {
	message.From = c.cfg.ID
	c.heldMessages = append(c.heldMessages, heldMessage{writeSeq: c.journal.coveringWriteSeq(), message: message})
	c.sendHeldMessages()
}

// sendHeldMessages sends the held messages whose write is synced. One to this replica
// itself is its own vote.
func (c *Core) sendHeldMessages() {
	for len(c.heldMessages) > 0 && c.heldMessages[0].writeSeq <= c.journal.syncedWriteSeq {
		message := c.heldMessages[0].message
		c.heldMessages = c.heldMessages[1:]
		if message.To == c.cfg.ID {
			c.handleMessage(message)
			continue
		}
		c.send(message)
	}
}

func (c *Core) addressOf(id string) string {
	if member, ok := c.currentMembership().find(id); ok {
		return member.Address
	}
	if id == c.unknownSender.ID {
		return c.unknownSender.Address
	}
	return ""
}

// resetElectionDeadline draws a new election timeout.
func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.randomizedTimeout(c.electionTimeout())
}

// electionTimeout is how long a silent leader is waited for.
func (c *Core) electionTimeout() time.Duration {
	return c.timeouts.timeout(c.cfg.ElectionTimeout, c.cfg.MaxElectionTimeout, c.now)
}

// setPreVoteDeadline draws the time to the next question before an election: shorter than a
// timeout, as no leader can be missed meanwhile, and the question disturbs nobody.
func (c *Core) setPreVoteDeadline() {
	c.electionDeadline = c.now + c.randomizedTimeout(c.cfg.ElectionTimeout/preVoteRetryDivisor)
}

// setVoteDeadline draws the time to the next try of an election that was not won.
func (c *Core) setVoteDeadline() {
	c.electionDeadline = c.now + c.randomizedTimeout(max(c.cfg.ElectionTimeout/preVoteRetryDivisor, c.cfg.MaxElectionTimeout/voteRetryDivisor))
}

const (
	// preVoteRetryDivisor is the part of the shortest election timeout after which a replica asks
	// again whether it could win: a few round trips.
	preVoteRetryDivisor = 4
	// voteRetryDivisor is the part of the longest one after which a candidate tries again; it
	// leaves time for a round trip between regions and two syncs.
	voteRetryDivisor = 8
)

// randomizedTimeout draws a time of d to twice that.
func (c *Core) randomizedTimeout(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)))
}
