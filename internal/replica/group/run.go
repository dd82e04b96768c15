package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/quorum"
)

// outcome is what a disk goroutine answers.
type outcome struct {
	ev  quorum.Event
	err error
}

// Run drives the replica until ctx ends or its disk fails. It closes the journal.
func (g *Group) Run(ctx context.Context) error {
	g.init()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer close(g.done)
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { g.notes.run(ctx) })
	j := journalist{Group: g, last: last(g.Recovered.Entries)}
	wg.Go(func() { j.run(ctx) })
	wg.Go(func() { g.snapshot(ctx) })
	g.core = quorum.New(g.Config, g.Recovered)
	g.Recovered = quorum.PersistedState{}
	g.step(quorum.ReloadState{})
	return g.loop(ctx)
}

func (g *Group) loop(ctx context.Context) error {
	tick := g.TickInterval
	if tick == 0 {
		tick = DefaultTickInterval
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-ticker.C:
			g.meter.tick.Update(time.Since(due).Seconds())
			g.step(quorum.Tick{})
			g.transfer()
		case m := <-g.inbox:
			g.meter.received(m, g.Now())
			g.step(quorum.Receive{Message: m.Message})
		case p := <-g.acceptable():
			g.propose(p)
		case o := <-g.synced:
			if o.err != nil {
				return o.err
			}
			g.step(o.ev)
		case <-g.confirms:
			g.step(quorum.ConfirmLeadership{})
		case full := <-g.full:
			g.notes.put(JournalDiskFull{Full: full})
		case a := <-g.asks:
			g.answer(a)
		}
	}
}

// acceptable is the queue of proposals, or nil while they have to wait: during a
// transfer, and when too much waits for a quorum.
func (g *Group) acceptable() <-chan Proposal {
	if g.core.Transferring() || g.core.UncommittedBytes() > maxUncommitted {
		return nil
	}
	return g.proposals
}

// propose hands on a proposal together with those that follow it without a gap.
func (g *Group) propose(p Proposal) {
	if p.Member != nil {
		g.step(quorum.ChangeMembership{Term: p.Term, Index: p.FirstIndex, Member: *p.Member, Remove: p.RemoveMember})
		return
	}
	ev := quorum.Propose{Term: p.Term, FirstIndex: p.FirstIndex, Commands: p.Commands}
	for range maxBatch {
		next, ok := g.next()
		if !ok {
			break
		}
		if next.Member != nil || next.Term != ev.Term || next.FirstIndex != ev.FirstIndex+uint64(len(ev.Commands)) {
			g.step(ev)
			g.propose(next)
			return
		}
		ev.Commands = append(ev.Commands[:len(ev.Commands):len(ev.Commands)], next.Commands...)
	}
	g.step(ev)
}

func (g *Group) next() (Proposal, bool) {
	select {
	case p := <-g.proposals:
		return p, true
	default:
		return Proposal{}, false
	}
}

func (g *Group) answer(a ask) {
	switch a := a.(type) {
	case compactAsk:
		g.step(a.ev)
	case reloadAsk:
		g.notes.forget()
		defer close(a.done)
		g.step(quorum.ReloadState{})
	case transferAsk:
		g.transfers = append(g.transfers, a.done)
		g.transfer()
	case dumpAsk:
		a.reply <- Dump{Status: g.core.Status(), Queued: g.notes.len()}
	}
}

// transfer goes on with a transfer until this replica does not lead any more.
func (g *Group) transfer() {
	if len(g.transfers) == 0 {
		return
	}
	s := g.core.Status()
	switch {
	case !s.Leading:
		g.transferred(nil)
	case s.Voters == 1:
		g.transferred(ErrNoOtherVoter)
	case !g.core.Transferring():
		g.step(quorum.TransferLeadership{})
	}
}

func (g *Group) transferred(err error) {
	for _, done := range g.transfers {
		done <- err
	}
	g.transfers = nil
}

// step lets the core take one event and carries out the effects.
func (g *Group) step(ev quorum.Event) {
	fx := g.core.Step(g.Now(), ev)
	if fx.Write != nil {
		g.writes <- *fx.Write
	}
	if fx.SaveSnapshot != nil {
		g.saves <- *fx.SaveSnapshot
	}
	if fx.DropJournalUpTo > 0 {
		g.drop(fx.DropJournalUpTo)
	}
	g.send(fx.Messages)
	for _, r := range fx.Reports {
		g.notes.put(g.note(r))
	}
}

// drop leaves the newest index for the journal's goroutine.
func (g *Group) drop(index uint64) {
	select {
	case <-g.drops:
	default:
	}
	g.drops <- index
}

// send hands the messages to the peers, those for one replica together.
func (g *Group) send(out []quorum.OutgoingMessage) {
	for len(out) > 0 {
		to, address := out[0].Message.To, out[0].Address
		var data [][]byte
		n := 0
		for _, o := range out {
			if o.Message.To != to {
				out[n] = o
				n++
				continue
			}
			if b, err := quorum.EncodeMessage(o.Message); err == nil {
				data = append(data, b)
			}
		}
		out = out[:n]
		if address != "" {
			g.Transport.Send(to, address, data)
		}
	}
}

func (g *Group) note(r quorum.Report) Notification {
	switch r := r.(type) {
	case quorum.BecameLeader:
		return Leading{Term: r.Term, LastIndex: r.LastIndex, ElectedAt: r.ElectedAt}
	case quorum.BecameFollower:
		return Following{Term: r.Term, Leader: r.Leader, LeaderAddress: r.LeaderAddress}
	case quorum.EntriesCommitted:
		return ApplyEntries{Entries: r.Entries}
	case quorum.CommitAdvanced:
		return CommitAdvanced{Index: r.Index}
	case quorum.LeadershipConfirmed:
		g.confirmed(r.RoundStartedAt)
		return LeadershipConfirmed{Term: r.Term, StartedAt: r.RoundStartedAt}
	case quorum.StateRestored:
		return RestoreSnapshot{Index: r.Index, State: r.State}
	case quorum.MembershipChanged:
		return MembershipChanged{Members: r.Members, Self: g.Config.ID}
	}
	panic(errors.Newf("group: report %T", r))
}
