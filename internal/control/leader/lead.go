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

// lead is what a replica has only while it leads; it is dropped whole when deposed.
type lead struct {
	term uint64
	// elected is when this replica began to lead, begun the ledger's time then.
	elected time.Duration
	begun   time.Duration
	// last is the index of the latest command applied to the working ledger.
	last      uint64
	committed uint64
	// confirmed is the start of the latest heartbeat round that a quorum confirmed.
	confirmed time.Duration
	proved    bool
	planner   plan.Planner
	book      *lease.Book
	// pending are the commands that the group has not taken yet.
	pending [][]byte
	// gathered is when the last proposal left, waking tells that a turn is set
	// for the next.
	gathered time.Duration
	waking   bool
	held     []heldReply
	effects  []effect
	reads    []heldRead
	waits    map[state.RequestID][]*waiter
	servers  map[string]*session
	updated  map[string]bool
	due      dueHeap
	checked  time.Duration
	swept    time.Duration
	looked   time.Duration
	promoted time.Duration
	dirty    bool
	// proposed are the commands under way, to measure their commits.
	proposed []proposed
	// tabled is an index at which the table's current revision is in the log.
	tabled  uint64
	seen    seen
	answers answers
}

// heldReply is a reply whose cause is not committed yet.
type heldReply struct {
	index uint64
	to    ReplyTarget
	reply *inner.Reply
}

// heldRead is a read that waits for proof that this replica still leads.
type heldRead struct {
	received time.Duration
	run      func()
}

// due is something that happens at a time unless it was settled before.
type due struct {
	at  time.Duration
	run func()
}

type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element for container/heap.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop removes the last element for container/heap.
func (h *dueHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n] = due{}
	*h = old[:n]
	return x
}

// elected starts to lead: a planner and a lease book are built from the ledger.
func (l *Leader) elected(n group.Leading) {
	l.lead = &lead{
		term:      n.Term,
		elected:   n.ElectedAt,
		begun:     l.st.Now(),
		last:      n.LastIndex,
		committed: n.LastIndex,
		planner:   l.NewPlanner(),
		book:      lease.NewBook(l.LeaseTerms, n.ElectedAt),
		waits:     map[state.RequestID][]*waiter{},
		servers:   map[string]*session{},
		updated:   map[string]bool{},
		checked:   n.ElectedAt,
		dirty:     true,
		tabled:    n.LastIndex,
		answers:   newAnswers(),
		seen:      seen{servers: map[string]seenServer{}, over: map[string]bool{}, faults: l.st.InvalidTransitions()},
	}
	l.applied = n.LastIndex
	l.st.Observer = watch{l}
	l.replay()
	if l.RootKey != nil && len(l.st.Keys()) == 0 {
		l.do(&record.Command{What: &record.Command_Change{Change: &record.Change{
			By:      "settings",
			Request: &v1.ChangeRequest{Id: "settings", Change: &v1.ChangeRequest_Grant{Grant: l.RootKey}},
		}}})
	}
	l.status.Store(&Status{Leads: true, Term: n.Term})
	event.Log(l.Log, event.LeaderElected, "term", n.Term, "index", n.LastIndex)
	if l.Extension != nil {
		l.Extension.OnElected(n.Term, n.ElectedAt)
	}
	if l.lead.seen.running > 0 {
		event.Log(l.Log, event.RecoveryWait, "wait", l.LeaseTerms.Wait().String(), "tasks", l.lead.seen.running)
	}
}

// replay tells a new planner everything that the ledger holds.
func (l *Leader) replay() {
	l.lead.seen.replaying = true
	defer func() { l.lead.seen.replaying = false }()
	p := l.lead.planner
	p.SetTable(l.st.Table())
	for _, b := range l.st.Servers() {
		watch{l}.ServerChanged(b)
		if b.Server.State != backend.Gone {
			l.session(b).heard = l.Now()
		}
	}
	for _, j := range l.st.Jobs("") {
		if j.Final() {
			continue
		}
		l.st.EachTask(j, func(t *state.Task) {
			switch {
			case t.Phase.HoldsCapacity():
				watch{l}.TaskPlaced(j, t)
			case t.Phase == state.Queued:
				watch{l}.TaskQueued(j, t)
			}
		})
	}
}

// follow stops to lead. What the working ledger had ahead of the committed log
// is dropped, and with it every held effect: nobody was told of them.
func (l *Leader) follow(n group.Following) {
	if ld := l.lead; ld != nil {
		event.Log(l.Log, event.LeaderLost, "term", ld.term, "next", n.Leader)
		if n.Leader == "" && n.Term == ld.term {
			// The same term and nobody else: this replica gave up by itself.
			event.Log(l.Log, event.QuorumLost, "term", ld.term)
		}
		l.lead = nil
		l.st.Observer = nil
		if l.Extension != nil {
			l.Extension.OnDeposed()
		}
		if l.applied > ld.committed {
			l.abandon()
			l.Group.Reload()
		}
	}
	if l.OnDeposed != nil {
		defer l.OnDeposed()
	}
	l.status.Store(&Status{Term: n.Term, Leader: n.Leader, Address: n.LeaderAddress, Revision: l.st.Table().Revision(), Full: l.full})
}

// clock returns the ledger's time: the time of day, never going back.
func (l *Leader) clock() time.Duration { return max(l.st.Now(), l.timeOfDay()) }

// agreeTime is how long a new leader waits for the word of others on the time of
// day: they make themselves known several times in it.
const agreeTime = 3 * time.Second

// timeOfDay returns the time of day that is agreed on; before others were heard, as
// much after the last time in the ledger as this replica leads. Its own time of day
// counts only where nobody else tells.
func (l *Leader) timeOfDay() time.Duration {
	if l.AgreedTime == nil || l.lead == nil {
		return time.Duration(l.WallClock().UnixNano())
	}
	now := l.Now()
	if at, ok := l.AgreedTime(now); ok {
		return at
	}
	if led := now - l.lead.elected; l.lead.begun > 0 && led < agreeTime {
		return l.lead.begun + led
	}
	return time.Duration(l.WallClock().UnixNano())
}

// do applies a command to the working ledger and queues it for the log.
func (l *Leader) do(c *record.Command) state.Result {
	c.At = int64(l.clock())
	r := l.st.Apply(c)
	l.queue(c)
	return r
}

// queue puts an applied command at the end of what is to be proposed.
func (l *Leader) queue(c *record.Command) {
	l.lead.pending = append(l.lead.pending, command.Encode(c))
	l.lead.last++
	l.applied = l.lead.last
}

// resolve is do for a decision of this replica alone: what the ledger refuses
// changed nothing and is not worth a place in the log.
func (l *Leader) resolve(c *record.Command) state.Result {
	c.At = int64(l.clock())
	r := l.st.Apply(c)
	if r.Code == code.OK {
		l.queue(c)
	}
	return r
}

// propose hands pending commands to the group; what it has no room for stays.
func (l *Leader) propose() {
	ld := l.lead
	if len(ld.pending) == 0 || l.gathers() {
		return
	}
	first := ld.last + 1 - uint64(len(ld.pending))
	if l.Group.Propose(group.Proposal{Term: ld.term, FirstIndex: first, Commands: ld.pending}) {
		ld.pending = nil
		ld.proposed = append(ld.proposed, proposed{ld.last, l.Now()})
	}
}

// gathers tells that the next proposal has to wait for more, and sees to it that
// it leaves when its time has come.
func (l *Leader) gathers() bool {
	if l.ProposalInterval == 0 {
		return false
	}
	ld := l.lead
	now := l.Now()
	wait := ld.gathered + l.ProposalInterval - now
	if wait <= 0 {
		ld.gathered = now
		return false
	}
	if !ld.waking {
		ld.waking = true
		time.AfterFunc(wait, func() { l.Post(func() { ld.waking = false }) })
	}
	return true
}

// reply answers an item once everything that the answer rests on is committed.
func (l *Leader) reply(to ReplyTarget, r *inner.Reply) {
	r.Seq = to.Seq
	l.lead.held = append(l.lead.held, heldReply{index: l.lead.last, to: to, reply: r})
}

// refuse answers an item with a code alone.
func (l *Leader) refuse(to ReplyTarget, err *code.Error) {
	l.reply(to, &inner.Reply{Status: status(err)})
}

func status(err *code.Error) *v1.Status {
	if err == nil {
		return &v1.Status{}
	}
	return &v1.Status{Code: uint32(err.Code), Text: err.Error()}
}

// deliver lets the replies go whose cause is committed.
func (l *Leader) deliver() {
	ld := l.lead
	n := 0
	for n < len(ld.held) && ld.held[n].index <= ld.committed {
		h := ld.held[n]
		h.to.Mailbox.Put(h.reply)
		n++
	}
	if n > 0 {
		clear(ld.held[:n])
		ld.held = ld.held[n:]
	}
}

// read runs fn once a heartbeat round that began after the read came in is
// confirmed. A leader that was deposed without noticing would otherwise tell
// of a state that is no longer the current one.
func (l *Leader) read(to ReplyTarget, fn func()) {
	l.lead.reads = append(l.lead.reads, heldRead{received: to.ReceivedAt, run: fn})
}

func (l *Leader) serveReads() {
	ld := l.lead
	n := 0
	for n < len(ld.reads) && ld.proved && ld.reads[n].received <= ld.confirmed {
		ld.reads[n].run()
		n++
	}
	ld.reads = ld.reads[n:]
	if len(ld.reads) > 0 {
		l.Group.ConfirmLeadership()
	}
}

// at runs fn at a time on the clock of Now, while this replica still leads.
func (l *Leader) at(when time.Duration, fn func()) {
	heap.Push(&l.lead.due, due{at: when, run: fn})
}

// timers runs what is due.
func (l *Leader) timers() {
	ld := l.lead
	now := l.Now()
	if now-l.measured >= measureEvery {
		l.measured = now
		l.measure()
	}
	if ld == nil {
		l.alone(now)
		return
	}
	for len(ld.due) > 0 && ld.due[0].at <= now {
		heap.Pop(&ld.due).(due).run()
	}
	ld.dirty = true
	if l.Extension != nil {
		l.Extension.Tick(now)
	}
	l.promote(now)
	if now-ld.looked >= lookEvery {
		ld.looked = now
		l.watchServers(now)
	}
	if now-ld.checked >= checkEvery {
		ld.checked = now
		l.do(&record.Command{What: &record.Command_Check{Check: &record.Check{Digest: l.st.Digest()}}})
	}
	if now-ld.swept >= time.Second {
		ld.swept = now
		l.sweep()
		l.look(now)
		l.yield()
	}
}

// sweep forgets what retention lets go.
func (l *Leader) sweep() {
	const most = 1000
	f := l.st.ExpiredRecords(l.clock()-l.Retention, most)
	if len(f.Jobs)+len(f.Changes)+len(f.Servers) > 0 {
		l.do(&record.Command{What: &record.Command_Forget{Forget: f}})
	}
}

// yield hands the lead over while this replica's disk is full: it would refuse
// all new work, although most others can store it.
func (l *Leader) yield() {
	if l.full && l.TransferLeadership != nil {
		l.TransferLeadership()
	}
}
