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

// leadership is what a replica has only while it leads; it is dropped whole when deposed.
type leadership struct {
	term uint64
	// electedAt is when this replica began to lead, begun the ledger's time then.
	electedAt         time.Duration
	initialLedgerTime time.Duration
	// lastIndex is the index of the latest command applied to the working ledger.
	lastIndex   uint64
	commitIndex uint64
	// confirmedAt is the start of the latest heartbeat round that a quorum confirmed.
	confirmedAt         time.Duration
	leadershipConfirmed bool
	planner             plan.Planner
	leases              *lease.Book
	// pendingCommands are the commands that the group has not taken yet.
	pendingCommands [][]byte
	// lastProposedAt is when the last proposal left, waking tells that a turn is set
	// for the next.
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
	// inFlightProposals are the commands under way, to measure their commits.
	inFlightProposals []inFlightProposal
	// tableIndex is an index at which the table's current revision is in the log.
	tableIndex  uint64
	reported    reportedState
	answerCache answerState
}

// heldReply is a reply whose cause is not committed yet.
type heldReply struct {
	index  uint64
	target ReplyTarget
	reply  *inner.Reply
}

// pendingRead is a read that waits for proof that this replica still leads.
type pendingRead struct {
	receivedAt time.Duration
	run        func()
}

// timer is something that happens at a time unless it was settled before.
type timer struct {
	at  time.Duration
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last element for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n] = timer{}
	*h = old[:n]
	return x
}

// becomeLeader starts to lead: a planner and a lease book are built from the ledger.
func (l *Leader) becomeLeader(n group.Lead) {
	l.leadership = &leadership{
		term:              n.Term,
		electedAt:         n.Elected,
		initialLedgerTime: l.ledger.At(),
		lastIndex:         n.Last,
		commitIndex:       n.Last,
		planner:           l.NewPlanner(),
		leases:            lease.NewBook(l.LeaseTerms, n.Elected),
		parkedWaits:       map[state.RequestID][]*parkedWait{},
		sessions:          map[string]*session{},
		updatedServers:    map[string]bool{},
		digestCheckedAt:   n.Elected,
		planNeeded:        true,
		tableIndex:        n.Last,
		answerCache:       newAnswerState(),
		reported:          reportedState{servers: map[string]reportedServer{}, teamsOverLimit: map[string]bool{}, chartFaults: l.ledger.Faults()},
	}
	l.appliedIndex = n.Last
	l.ledger.Watch = ledgerWatcher{l}
	l.replayLedger()
	if l.RootKey != nil && len(l.ledger.Keys()) == 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Change{Change: &record.Change{
			By:      "settings",
			Request: &v1.ChangeRequest{Id: "settings", Change: &v1.ChangeRequest_Grant{Grant: l.RootKey}},
		}}})
	}
	l.status.Store(&Status{Leads: true, Term: n.Term})
	event.Log(l.Log, event.LeaderElected, "term", n.Term, "index", n.Last)
	if l.Extension != nil {
		l.Extension.OnElected(n.Term, n.Elected)
	}
	if l.leadership.reported.runningTasks > 0 {
		event.Log(l.Log, event.RecoveryWait, "wait", l.LeaseTerms.Wait().String(), "tasks", l.leadership.reported.runningTasks)
	}
}

// replayLedger tells a new planner everything that the ledger holds.
func (l *Leader) replayLedger() {
	l.leadership.reported.replaying = true
	defer func() { l.leadership.reported.replaying = false }()
	p := l.leadership.planner
	p.SetTable(l.ledger.Table())
	for _, b := range l.ledger.Servers() {
		ledgerWatcher{l}.Server(b)
		if b.Server.State != backend.Gone {
			l.sessionFor(b).lastSyncAt = l.Now()
		}
	}
	for _, j := range l.ledger.Jobs("") {
		if j.Final() {
			continue
		}
		l.ledger.Tasks(j, func(t *state.Task) {
			switch {
			case t.Phase.Holds():
				ledgerWatcher{l}.Hold(j, t)
			case t.Phase == state.Queued:
				ledgerWatcher{l}.Queue(j, t)
			}
		})
	}
}

// becomeFollower stops to lead. What the working ledger had ahead of the committed log
// is dropped, and with it every held effect: nobody was told of them.
func (l *Leader) becomeFollower(n group.Follow) {
	if lead := l.leadership; lead != nil {
		event.Log(l.Log, event.LeaderLost, "term", lead.term, "next", n.Leader)
		if n.Leader == "" && n.Term == lead.term {
			// The same term and nobody else: this replica gave up by itself.
			event.Log(l.Log, event.QuorumLost, "term", lead.term)
		}
		l.leadership = nil
		l.ledger.Watch = nil
		if l.Extension != nil {
			l.Extension.OnDeposed()
		}
		if l.appliedIndex > lead.commitIndex {
			l.abandonSnapshot()
			l.Group.Reload()
		}
	}
	if l.OnDeposed != nil {
		defer l.OnDeposed()
	}
	l.status.Store(&Status{Term: n.Term, Leader: n.Leader, Address: n.Address, Revision: l.ledger.Table().Revision(), Full: l.diskFull})
}

// ledgerTime returns the ledger's time: the time of day, never going back.
func (l *Leader) ledgerTime() time.Duration { return max(l.ledger.At(), l.timeOfDay()) }

// timeAgreementWait is how long a new leader waits for the word of others on the time of
// day: they make themselves known several times in it.
const timeAgreementWait = 3 * time.Second

// timeOfDay returns the time of day that is agreed on; before others were heard, as
// much after the last time in the ledger as this replica leads. Its own time of day
// counts only where nobody else tells.
func (l *Leader) timeOfDay() time.Duration {
	if l.AgreedTime == nil || l.leadership == nil {
		return time.Duration(l.WallClock().UnixNano())
	}
	now := l.Now()
	if at, ok := l.AgreedTime(now); ok {
		return at
	}
	if leadTime := now - l.leadership.electedAt; l.leadership.initialLedgerTime > 0 && leadTime < timeAgreementWait {
		return l.leadership.initialLedgerTime + leadTime
	}
	return time.Duration(l.WallClock().UnixNano())
}

// applyAndQueue applies a command to the working ledger and queues it for the log.
func (l *Leader) applyAndQueue(c *record.Command) state.Result {
	c.At = int64(l.ledgerTime())
	r := l.ledger.Apply(c)
	l.queueCommand(c)
	return r
}

// queueCommand puts an applied command at the end of what is to be proposed.
func (l *Leader) queueCommand(c *record.Command) {
	l.leadership.pendingCommands = append(l.leadership.pendingCommands, command.Encode(c))
	l.leadership.lastIndex++
	l.appliedIndex = l.leadership.lastIndex
}

// applyIfAccepted is do for a decision of this replica alone: what the ledger refuses
// changed nothing and is not worth a place in the log.
func (l *Leader) applyIfAccepted(c *record.Command) state.Result {
	c.At = int64(l.ledgerTime())
	r := l.ledger.Apply(c)
	if r.Code == code.OK {
		l.queueCommand(c)
	}
	return r
}

// proposePending hands pending commands to the group; what it has no room for stays.
func (l *Leader) proposePending() {
	lead := l.leadership
	if len(lead.pendingCommands) == 0 || l.delayProposal() {
		return
	}
	first := lead.lastIndex + 1 - uint64(len(lead.pendingCommands))
	if l.Group.Propose(group.Proposal{Term: lead.term, First: first, Commands: lead.pendingCommands}) {
		lead.pendingCommands = nil
		lead.inFlightProposals = append(lead.inFlightProposals, inFlightProposal{lead.lastIndex, l.Now()})
	}
}

// delayProposal tells that the next proposal has to wait for more, and sees to it that
// it leaves when its time has come.
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

// replyWhenCommitted answers an item once everything that the answer rests on is committed.
func (l *Leader) replyWhenCommitted(to ReplyTarget, r *inner.Reply) {
	r.Seq = to.Seq
	l.leadership.heldReplies = append(l.leadership.heldReplies, heldReply{index: l.leadership.lastIndex, target: to, reply: r})
}

// refuse answers an item with a code alone.
func (l *Leader) refuse(to ReplyTarget, err *code.Error) {
	l.replyWhenCommitted(to, &inner.Reply{Status: statusOf(err)})
}

func statusOf(err *code.Error) *v1.Status {
	if err == nil {
		return &v1.Status{}
	}
	return &v1.Status{Code: uint32(err.Code), Text: err.Error()}
}

// deliverCommittedReplies lets the replies go whose cause is committed.
func (l *Leader) deliverCommittedReplies() {
	lead := l.leadership
	n := 0
	for n < len(lead.heldReplies) && lead.heldReplies[n].index <= lead.commitIndex {
		h := lead.heldReplies[n]
		h.target.Mailbox.Put(h.reply)
		n++
	}
	if n > 0 {
		clear(lead.heldReplies[:n])
		lead.heldReplies = lead.heldReplies[n:]
	}
}

// runWhenConfirmed runs fn once a heartbeat round that began after the read came in is
// confirmed. A leader that was deposed without noticing would otherwise tell
// of a state that is no longer the current one.
func (l *Leader) runWhenConfirmed(to ReplyTarget, fn func()) {
	l.leadership.pendingReads = append(l.leadership.pendingReads, pendingRead{receivedAt: to.ReceivedAt, run: fn})
}

func (l *Leader) runConfirmedReads() {
	lead := l.leadership
	n := 0
	for n < len(lead.pendingReads) && lead.leadershipConfirmed && lead.pendingReads[n].receivedAt <= lead.confirmedAt {
		lead.pendingReads[n].run()
		n++
	}
	lead.pendingReads = lead.pendingReads[n:]
	if len(lead.pendingReads) > 0 {
		l.Group.ConfirmLeadership()
	}
}

// schedule runs fn at a time on the clock of Now, while this replica still leads.
func (l *Leader) schedule(at time.Duration, fn func()) {
	heap.Push(&l.leadership.timers, timer{at: at, run: fn})
}

// runTimers runs what is due.
func (l *Leader) runTimers() {
	lead := l.leadership
	now := l.Now()
	if now-l.gaugesSetAt >= gaugeInterval {
		l.gaugesSetAt = now
		l.setGauges()
	}
	if lead == nil {
		l.checkLeaderless(now)
		return
	}
	for len(lead.timers) > 0 && lead.timers[0].at <= now {
		heap.Pop(&lead.timers).(timer).run()
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

// forgetExpired forgets what retention lets go.
func (l *Leader) forgetExpired() {
	const maxForgotten = 1000
	f := l.ledger.Expired(l.ledgerTime()-l.Retention, maxForgotten)
	if len(f.Jobs)+len(f.Changes)+len(f.Servers) > 0 {
		l.applyAndQueue(&record.Command{What: &record.Command_Forget{Forget: f}})
	}
}

// offerLeadership hands the lead over while this replica's disk is full: it would refuse
// all new work, although most others can store it.
func (l *Leader) offerLeadership() {
	if l.diskFull && l.TransferLeadership != nil {
		l.TransferLeadership()
	}
}
