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

// heldMessage is a message that is sent once the journal write with number writeSeq is synced.
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

	// State that is on the disk or is about to be written.
	hardState   HardState
	log         entryLog
	memberships membershipHistory
	snapshot    Snapshot

	journal      journalState
	heldMessages []heldMessage

	role     role
	leaderID string
	// unknownSender is the last sender that stated its address. It allows a reply to a
	// sender that is missing from the membership known to this replica.
	unknownSender Member
	// leaderHeardAt is the time of the last message from the leader. It is valid while
	// leaderID is set.
	leaderHeardAt    time.Duration
	timeoutEstimator timeoutEstimator
	// started is set by the first Step, which provides the current time. Until a replica
	// has measured the silences of its leaders, its election timeout is half of
	// MaxElectionTimeout.
	started          bool
	electionDeadline time.Duration
	// abstaining is true while this replica must not lead.
	abstaining bool
	votes      map[string]bool

	commitIndex uint64
	// reportedIndex is the index of the last committed entry reported to the control thread.
	reportedIndex uint64
	// reportedMembersIndex is the index of the entry with the last reported membership.
	reportedMembersIndex uint64
	lastReport           leadershipReport
	// matchedIndex is the highest index up to which the log is known to match the leader's log.
	matchedIndex uint64
	// ackedIndex is the last index acknowledged to the leader. ackDue requests another
	// acknowledgment even if the index is unchanged.
	ackedIndex uint64
	ackDue     bool

	savingSnapshot *Snapshot
	// pendingCompact is a snapshot from the control thread that waits to be saved.
	pendingCompact *Compact
	incoming       *incomingSnapshot

	leaderState leaderState
}

// New creates a core from the state on the disk.
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
	// A snapshot from a leader can be saved before the leader's term is synced. In that
	// case this replica has sent no vote in that term, and it must not vote in earlier
	// terms.
	if c.log.lastTerm() > c.hardState.Term {
		c.hardState = HardState{Term: c.log.lastTerm()}
	}
	c.journal.syncedIndex, c.journal.writtenIndex = c.log.lastIndex(), c.log.lastIndex()
	// If no entry follows the snapshot, the journal may contain stale entries or may end
	// before the snapshot. The anchor entry makes the journal continue at the snapshot.
	if c.log.base > 0 && len(c.log.entries) == 0 {
		c.journal.resetToSnapshot(&c.snapshot)
	}
	if c.isBlank() && len(cfg.InitialMembers) > 0 {
		c.writeInitialMembers()
	}
	// The first pre-vote does not wait for a full election timeout: when all replicas
	// start at once, there is no leader to wait for. If there is a leader, the other
	// replicas reject the pre-vote and the leader is not disturbed.
	c.setPreVoteDeadline()
	if c.isOnlyVoter() {
		c.electionDeadline = 0
	}
	return c
}

// entriesAfterSnapshot returns the persisted entries that follow the snapshot without a gap.
func entriesAfterSnapshot(state PersistedState) []Entry {
	nextIndex := state.Snapshot.Index + 1
	var entries []Entry
	for _, e := range state.Entries {
		// If the process crashes after a snapshot from the leader is saved and before its
		// anchor entry is written, the journal contains entries that the leader never had.
		// In that case the entry at the snapshot's index has a different term.
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

// writeInitialMembers appends the initial membership as entry 1 of term 1. Every replica
// that has initial members appends the same entry, as if a leader had replicated it.
func (c *Core) writeInitialMembers() {
	c.hardState, c.journal.hardStateDirty = HardState{Term: 1}, true
	initial := membership{}
	for _, m := range c.cfg.InitialMembers {
		initial.members = initial.withMember(m)
	}
	c.appendEntry(Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: EncodeMembers(initial.members)})
}

// appendEntry appends an entry to the log. The membership in a membership entry takes
// effect immediately.
func (c *Core) appendEntry(e Entry) {
	c.log.append(e)
	if e.Kind != EntryMembership {
		return
	}
	if members, err := DecodeMembers(e.Data); err == nil {
		c.memberships = append(c.memberships, membership{index: e.Index, members: members})
	}
}

// currentMembership returns the membership of the last membership entry in the log.
func (c *Core) currentMembership() membership { return c.memberships.latest() }

// Step processes an event at time now and returns the resulting effects. The time must
// not decrease from call to call.
func (c *Core) Step(now time.Duration, event Event) Effects {
	if !c.started {
		c.started = true
		c.timeoutEstimator.recordSilence(c.cfg.MaxElectionTimeout/startSilenceDivisor, now)
	}
	c.now = max(c.now, now)
	c.stepDownIfUnconfirmed()
	c.stepDownIfFirstEntryStalls()
	switch ev := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.handleMessage(ev.Message)
	case Propose:
		c.handleProposal(ev)
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
	case Abstain:
		c.setAbstaining(ev.On)
	case ReloadState:
		c.reloadState()
	}
	c.collectEffects()
	effects := c.effects
	c.effects = Effects{}
	return effects
}

func (c *Core) tick() {
	switch {
	case c.role == roleLeader:
		c.tickLeader()
	case c.now >= c.electionDeadline:
		c.startPreVote()
	}
}

// collectEffects adds the reports, messages and writes that result from the current event.
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

// send adds a message to the effects, to be sent immediately.
func (c *Core) send(message Message) {
	message.From = c.cfg.ID
	if c.receiverMayNotKnowSender(message) {
		message.SenderAddress = c.cfg.Address
	}
	c.effects.Messages = append(c.effects.Messages, OutgoingMessage{Address: c.addressOf(message.To), Message: message})
}

// receiverMayNotKnowSender reports whether the receiver may know no membership with this
// replica, and therefore no address for a reply. Such a receiver is new, or was
// unreachable while all other members were replaced.
func (c *Core) receiverMayNotKnowSender(message Message) bool {
	switch message.Kind {
	case PreVoteRequest, VoteRequest:
		return true
	case AppendEntries, Heartbeat, SnapshotChunk:
		return c.role == roleLeader && c.progressOf(message.To).matchIndex < c.currentMembership().index
	}
	return false
}

// sendAfterSync sends a message once the current hard state and all writes so far are synced.
func (c *Core) sendAfterSync(message Message) {
	message.From = c.cfg.ID
	c.heldMessages = append(c.heldMessages, heldMessage{writeSeq: c.journal.coveringWriteSeq(), message: message})
	c.sendHeldMessages()
}

// sendHeldMessages sends the held messages whose journal write is synced. A message to
// this replica itself is the candidate's vote for itself and is handled directly.
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

// resetElectionDeadline restarts the election timeout with a new random duration.
func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.randomizedTimeout(c.electionTimeout())
}

// electionTimeout returns the time without a message from the leader after which the
// leader is considered failed.
func (c *Core) electionTimeout() time.Duration {
	return c.timeoutEstimator.timeout(c.cfg.ElectionTimeout, c.cfg.MaxElectionTimeout, c.now)
}

// setPreVoteDeadline schedules the next pre-vote. The delay is shorter than an election
// timeout, because no leader is known meanwhile and a pre-vote does not disturb a leader.
func (c *Core) setPreVoteDeadline() {
	c.electionDeadline = c.now + c.randomizedTimeout(c.cfg.ElectionTimeout/preVoteRetryDivisor)
}

// setVoteDeadline schedules the retry of an election that does not succeed. The delay doubles with
// each election that comes soon after others: on slow disks, the votes take longer to be synced.
func (c *Core) setVoteDeadline() {
	timeout := max(c.cfg.ElectionTimeout/preVoteRetryDivisor, c.cfg.MaxElectionTimeout/voteRetryDivisor)
	c.electionDeadline = c.now + c.randomizedTimeout(c.timeoutEstimator.voteTimeout(timeout, c.cfg.MaxElectionTimeout))
}

const (
	// preVoteRetryDivisor divides ElectionTimeout to give the shortest delay between two
	// pre-votes. The delay allows for a few round trips.
	preVoteRetryDivisor = 4
	// voteRetryDivisor divides MaxElectionTimeout to give the shortest delay before a
	// candidate retries. The delay allows for a round trip between regions and two disk
	// syncs.
	voteRetryDivisor = 8
)

// randomizedTimeout returns a random duration between d and 2d.
func (c *Core) randomizedTimeout(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)))
}
