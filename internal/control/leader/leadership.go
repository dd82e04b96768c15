package leader

import (
	"container/heap"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/lease"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// leadership is the state that a replica has only while it leads. It is discarded
// when the replica is deposed.
type leadership struct {
	term uint64
	// electedAt is when this replica was elected, on the clock of Leader.Now, and
	// initialLedgerTime is the ledger's time at that moment.
	electedAt         time.Duration
	initialLedgerTime time.Duration
	// lastIndex is the log index of the latest command applied to the working
	// ledger.
	lastIndex   uint64
	commitIndex uint64
	// confirmedAt is the start of the latest heartbeat round that a quorum
	// confirmed.
	confirmedAt         time.Duration
	leadershipConfirmed bool
	planner             plan.Planner
	leases              *lease.Tracker
	// pendingCommands are the encoded commands that are not yet handed to the
	// group.
	pendingCommands [][]byte
	// lastProposedAt is when the last proposal was sent. proposalTimerSet reports whether
	// a timer will wake the control thread for the next one.
	lastProposedAt   time.Duration
	proposalTimerSet bool
	heldReplies      []heldReply
	pendingEffects   []effect
	pendingReads     []pendingRead
	parkedWaits      map[state.RequestID][]*parkedWait
	sessions         map[string]*session
	updatedServers   map[string]bool
	timers           timerHeap
	digestCheckedAt  time.Duration
	sweptAt          time.Duration
	silenceCheckedAt time.Duration
	promotionTriedAt time.Duration
	planNeeded       bool
	// extensionDeposed is true once the extension was told that the lead was given up.
	extensionDeposed bool
	// inFlightProposals are the proposals whose commit latency is still to be
	// measured.
	inFlightProposals []inFlightProposal
	// proposalRefusedAt is when the group first had no room for the pending commands; 0 if it
	// has room.
	proposalRefusedAt time.Duration
	// tableIndex is a log index at or after the command that made the current table
	// revision.
	tableIndex  uint64
	reported    reportedState
	answerCache answerState
}

// heldReply is a reply that is sent once the log is committed up to index.
type heldReply struct {
	index  uint64
	target ReplyTarget
	reply  *inner.Reply
}

// pendingRead is a read that waits for confirmation that this replica still led
// after receivedAt.
type pendingRead struct {
	receivedAt time.Duration
	run        func()
}

// timer is a function that runs at a given time on the clock of Leader.Now.
type timer struct {
	fireAt time.Duration
	run    func()
}

// timerHeap is a min-heap of timers, ordered by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].fireAt < h[j].fireAt }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an element; it implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last element; it implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n] = timer{}
	*h = old[:n]
	return x
}

// becomeLeader starts leading. It builds a planner and the lease records from the
// ledger.
func (l *Leader) becomeLeader(n group.Leading) {
	l.leadTerm.Store(n.Term)
	l.leadership = &leadership{
		term:              n.Term,
		electedAt:         n.ElectedAt,
		initialLedgerTime: l.ledger.Now(),
		lastIndex:         n.LastIndex,
		commitIndex:       n.LastIndex,
		planner:           l.NewPlanner(),
		leases:            lease.NewTracker(l.LeaseTerms, n.ElectedAt),
		parkedWaits:       map[state.RequestID][]*parkedWait{},
		sessions:          map[string]*session{},
		updatedServers:    map[string]bool{},
		digestCheckedAt:   n.ElectedAt,
		planNeeded:        true,
		tableIndex:        n.LastIndex,
		answerCache:       newAnswerState(),
		reported:          reportedState{servers: map[string]reportedServer{}, teamsOverLimit: map[string]bool{}, chartFaults: l.ledger.InvalidTransitions()},
	}
	l.appliedIndex = n.LastIndex
	l.ledger.Observer = ledgerWatcher{l}
	l.replayLedger()
	if l.RootKey != nil && len(l.ledger.Keys()) == 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Change{Change: &record.Change{
			By:      "settings",
			Request: &v1.ChangeRequest{Id: "settings", Change: &v1.ChangeRequest_Grant{Grant: l.RootKey}},
		}}})
	}
	if !l.serving() {
		return // the takeover took too long
	}
	l.status.Store(&Status{Leads: true, Term: n.Term})
	event.Log(l.Log, event.LeaderElected, "term", n.Term, "index", n.LastIndex)
	if l.Extension != nil {
		l.Extension.OnElected(n.Term, n.ElectedAt)
	}
	if l.leadership.reported.runningTasks > 0 {
		event.Log(l.Log, event.RecoveryWait, "wait", l.LeaseTerms.ExpiryWait().String(), "tasks", l.leadership.reported.runningTasks)
	}
}

// replayLedger passes the contents of the ledger to a new planner.
func (l *Leader) replayLedger() {
	l.leadership.reported.replaying = true
	defer func() { l.leadership.reported.replaying = false }()
	p := l.leadership.planner
	p.SetTable(l.ledger.Table())
	for _, b := range l.ledger.Servers() {
		l.YieldProcessor()
		ledgerWatcher{l}.ServerChanged(b)
		if b.Server.State != backend.Gone {
			l.sessionFor(b).lastSyncAt = l.Now()
		}
	}
	for _, j := range l.ledger.Jobs("") {
		if j.Final() {
			continue
		}
		l.YieldProcessor()
		l.ledger.EachTask(j, func(t *state.Task) {
			switch {
			case t.Phase.HoldsCapacity():
				ledgerWatcher{l}.TaskPlaced(j, t)
			case t.Phase == state.Queued:
				ledgerWatcher{l}.WaitingAdded(j, t)
			}
		})
	}
}

// becomeFollower stops leading. Commands in the working ledger that are not
// committed are discarded, together with all held replies and effects. No caller
// has seen any of them.
func (l *Leader) becomeFollower(n group.Following) {
	if lead := l.leadership; lead != nil {
		event.Log(l.Log, event.LeaderLost, "term", lead.term, "next", n.Leader)
		if n.Leader == "" && n.Term == lead.term && !l.hasGivenUp(lead.term) {
			// The term is the same and there is no other leader, so this replica
			// stepped down because it lost its quorum.
			event.Log(l.Log, event.QuorumLost, "term", lead.term)
		}
		l.leadership = nil
		l.leadTerm.Store(0)
		l.ledger.Observer = nil
		if l.Extension != nil && !lead.extensionDeposed {
			l.Extension.OnDeposed()
		}
		if l.appliedIndex > lead.commitIndex {
			l.abandonSnapshot()
			l.reloading = true
			l.Group.Reload()
		}
	}
	if l.OnDeposed != nil {
		defer l.OnDeposed()
	}
	l.status.Store(&Status{Term: n.Term, Leader: n.Leader, Address: n.LeaderAddress, Revision: l.ledger.Table().Revision(), Full: l.diskFull})
}

// ledgerTime returns the ledger's time, which follows the time of day and never
// goes back.
func (l *Leader) ledgerTime() time.Duration { return max(l.ledger.Now(), l.timeOfDay()) }

// timeAgreementWait is how long a new leader waits for other processes to report
// their time of day. Each process reports several times within it.
const timeAgreementWait = 3 * time.Second

// timeOfDay returns the agreed time of day. Until enough processes have reported,
// it extrapolates from the ledger's time at the election for at most
// timeAgreementWait. After that, and on a replica that does not lead, it returns
// this process's own time of day.
func (l *Leader) timeOfDay() time.Duration {
	if l.AgreedTime == nil || l.leadership == nil {
		return time.Duration(l.WallClock().UnixNano())
	}
	now := l.Now()
	if agreed, ok := l.AgreedTime(now); ok {
		return agreed
	}
	if sinceElection := now - l.leadership.electedAt; l.leadership.initialLedgerTime > 0 && sinceElection < timeAgreementWait {
		return l.leadership.initialLedgerTime + sinceElection
	}
	return time.Duration(l.WallClock().UnixNano())
}

// applyAndQueue applies a command to the working ledger and queues it for the log. A command that
// cannot be encoded is refused and changes nothing.
func (l *Leader) applyAndQueue(c *record.Command) state.Result {
	encoded, refusal := l.encode(c)
	if refusal != nil {
		return *refusal
	}
	r := l.ledger.Apply(c)
	l.queueCommand(encoded)
	return r
}

// encode stamps a command with the ledger's time and encodes it. It returns a refusal if that fails:
// a follower could not read the command either.
func (l *Leader) encode(c *record.Command) ([]byte, *state.Result) {
	c.At = int64(l.ledgerTime())
	encoded, err := command.Encode(c)
	if err != nil {
		event.LogError(l.Log, event.CommandRefused, err, "term", l.leadership.term)
		return nil, &state.Result{Code: code.Malformed, Detail: err.Error()}
	}
	return encoded, nil
}

// queueCommand appends an applied command to the commands to be proposed.
func (l *Leader) queueCommand(encoded []byte) {
	l.leadership.pendingCommands = append(l.leadership.pendingCommands, encoded)
	l.leadership.lastIndex++
	l.appliedIndex = l.leadership.lastIndex
}

// applyIfAccepted applies a command that this leader decided on its own, and queues
// it only if the ledger accepts it. A refused command changes nothing and need not
// be logged.
func (l *Leader) applyIfAccepted(c *record.Command) state.Result {
	encoded, refusal := l.encode(c)
	if refusal != nil {
		return *refusal
	}
	r := l.ledger.Apply(c)
	if r.Code == code.OK {
		l.queueCommand(encoded)
	}
	return r
}

// proposePending hands pending commands to the group. They stay pending when the
// group has no room for them.
func (l *Leader) proposePending() {
	lead := l.leadership
	if len(lead.pendingCommands) == 0 || l.hasGivenUp(lead.term) || l.delayProposal() {
		return
	}
	first := lead.lastIndex + 1 - uint64(len(lead.pendingCommands))
	if !l.Group.Propose(group.Proposal{Term: lead.term, FirstIndex: first, Commands: lead.pendingCommands}) {
		if lead.proposalRefusedAt == 0 {
			lead.proposalRefusedAt = l.Now()
		}
	} else {
		lead.pendingCommands, lead.proposalRefusedAt = nil, 0
		lead.inFlightProposals = append(lead.inFlightProposals, inFlightProposal{lead.lastIndex, l.Now()})
	}
}

// delayProposal reports whether the next proposal must wait for ProposalInterval to
// pass. If so, it sets a timer that wakes the control thread when the interval
// ends.
func (l *Leader) delayProposal() bool {
	if l.ProposalInterval == 0 {
		return false
	}
	lead := l.leadership
	now := l.Now()
	wait := lead.lastProposedAt + l.ProposalInterval - now
	if wait <= 0 {
		lead.lastProposedAt = now
		return false
	}
	if !lead.proposalTimerSet {
		lead.proposalTimerSet = true
		time.AfterFunc(wait, func() { l.Post(func() { lead.proposalTimerSet = false }) })
	}
	return true
}

// replyWhenCommitted sends a reply once all commands applied so far are committed.
func (l *Leader) replyWhenCommitted(target ReplyTarget, r *inner.Reply) {
	r.Seq = target.Seq
	l.leadership.heldReplies = append(l.leadership.heldReplies, heldReply{index: l.leadership.lastIndex, target: target, reply: r})
}

// refuse answers an item with an error status only.
func (l *Leader) refuse(target ReplyTarget, err *code.Error) {
	l.replyWhenCommitted(target, &inner.Reply{Status: statusOf(err)})
}

func statusOf(err *code.Error) *v1.Status {
	if err == nil {
		return &v1.Status{}
	}
	return &v1.Status{Code: uint32(err.Code), Text: err.Error()}
}

// deliverCommittedReplies sends the held replies whose commands are committed.
func (l *Leader) deliverCommittedReplies() {
	lead := l.leadership
	n := 0
	for n < len(lead.heldReplies) && lead.heldReplies[n].index <= lead.commitIndex && l.serving() {
		h := lead.heldReplies[n]
		h.target.Mailbox.Put(h.reply)
		n++
	}
	if n > 0 {
		clear(lead.heldReplies[:n])
		lead.heldReplies = lead.heldReplies[n:]
	}
}

// runWhenConfirmed runs fn once a heartbeat round is confirmed that began after the
// read was received. Without it, a leader that was deposed without noticing would
// return stale state.
func (l *Leader) runWhenConfirmed(target ReplyTarget, fn func()) {
	l.leadership.pendingReads = append(l.leadership.pendingReads, pendingRead{receivedAt: target.ReceivedAt, run: fn})
}

func (l *Leader) runConfirmedReads() {
	lead := l.leadership
	n := 0
	for n < len(lead.pendingReads) && lead.leadershipConfirmed && lead.pendingReads[n].receivedAt <= lead.confirmedAt && l.serving() {
		lead.pendingReads[n].run()
		n++
	}
	lead.pendingReads = lead.pendingReads[n:]
	if len(lead.pendingReads) > 0 {
		l.Group.ConfirmLeadership()
	}
}

// schedule runs fn at the given time on the clock of Leader.Now, if this replica
// still leads then.
func (l *Leader) schedule(at time.Duration, fn func()) {
	heap.Push(&l.leadership.timers, timer{fireAt: at, run: fn})
}

// runTimers runs expired timers and periodic work.
func (l *Leader) runTimers() {
	lead := l.leadership
	now := l.Now()
	if now-l.gaugesSetAt >= gaugeInterval {
		l.gaugesSetAt = now
		l.setGauges()
	}
	for l.serving() && len(lead.timers) > 0 && lead.timers[0].fireAt <= now {
		heap.Pop(&lead.timers).(timer).run()
		l.YieldProcessor()
	}
	if !l.serving() {
		l.checkLeaderless(now)
		return
	}
	lead.planNeeded = true
	if l.Extension != nil {
		l.Extension.Tick(now)
	}
	l.promoteLearner(now)
	if now-lead.silenceCheckedAt >= silenceCheckInterval {
		lead.silenceCheckedAt = now
		l.checkSilentServers(now)
	}
	if now-lead.digestCheckedAt >= digestCheckInterval {
		lead.digestCheckedAt = now
		l.applyAndQueue(&record.Command{What: &record.Command_Check{Check: &record.Check{Digest: l.ledger.Digest()}}})
	}
	if now-lead.sweptAt >= time.Second {
		lead.sweptAt = now
		l.forgetExpired()
		l.logLimitsAndFaults(now)
		l.offerLeadership()
	}
}

// forgetExpired removes jobs, change results and servers whose retention has ended.
func (l *Leader) forgetExpired() {
	const maxForgotten = 1000
	expired := l.ledger.ExpiredRecords(l.ledgerTime()-l.Retention, maxForgotten)
	if len(expired.Jobs)+len(expired.Changes)+len(expired.Servers) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Forget{Forget: expired}})
	}
}

// offerLeadership asks to transfer the leadership while this replica's disk is
// full. As leader it would refuse all new work although most other replicas can
// store it.
func (l *Leader) offerLeadership() {
	if l.diskFull && l.TransferLeadership != nil {
		l.TransferLeadership()
	}
}
