package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/replica/quorum"
)

// diskResult is the result of a disk operation for the event loop. It has either
// an event for the core or an error that stops the group.
type diskResult struct {
	event quorum.Event
	err   error
}

// diskStopTimeout is how long a stop waits for the disk. Slow disks end a write within it, and a
// planned stop has to end before its supervisor kills the process.
const diskStopTimeout = 5 * time.Second

// ErrDiskStands is returned by Run when the disk did not end a write in time. What was not acknowledged
// may or may not be stored, and the journal is not closed: the process must end before another one
// opens it.
var ErrDiskStands = errors.New("the disk did not end a write before the stop")

// Run runs the replica until ctx ends or a journal write fails. It closes the
// journal before it returns, unless it returns ErrDiskStands.
func (g *Group) Run(ctx context.Context) error {
	g.initialize()
	ctx, cancel := context.WithCancel(ctx)
	var wg, diskWriters sync.WaitGroup
	defer close(g.done)
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { g.notifications.run(ctx) })
	j := journalWriter{Group: g, lastIndex: lastEntryIndex(g.Recovered.Entries)}
	diskWriters.Go(func() { j.run(ctx) })
	diskWriters.Go(func() { g.saveSnapshots(ctx) })
	g.core = quorum.New(g.Config, g.Recovered)
	g.Recovered = quorum.PersistedState{}
	g.step(quorum.ReloadState{})
	err := g.runEventLoop(ctx)
	cancel()
	if waitAtMost(diskStopTimeout, &diskWriters) {
		return err
	}
	if err == nil {
		return ErrDiskStands
	}
	return errors.Mark(err, ErrDiskStands)
}

// waitAtMost reports whether all goroutines of wg ended within a time.
func waitAtMost(limit time.Duration, wg *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// runEventLoop handles events one at a time until ctx ends or a disk operation fails.
func (g *Group) runEventLoop(ctx context.Context) error {
	interval := g.TickInterval
	if interval == 0 {
		interval = DefaultTickInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case dueAt := <-ticker.C:
			g.latencies.tickDelay.Update(time.Since(dueAt).Seconds())
			g.step(quorum.Tick{})
			g.continueTransfer()
		case received := <-g.inbox:
			g.latencies.recordReceived(received, g.Now())
			g.step(quorum.Receive{Message: received.Message})
		case p := <-g.acceptableProposals():
			g.propose(p)
		case result := <-g.diskResults:
			if result.err != nil {
				return result.err
			}
			g.step(result.event)
		case <-g.confirmRequests:
			g.step(quorum.ConfirmLeadership{})
		case on := <-g.abstentions:
			g.step(quorum.Abstain{On: on})
		case full := <-g.diskFull:
			g.notifications.put(JournalDiskFull{Full: full})
		case r := <-g.requests:
			g.handleRequest(r)
		}
	}
}

// acceptableProposals returns the queue of proposals. It returns nil while
// proposals have to wait: during a leadership transfer, and while the uncommitted
// entries exceed maxUncommittedBytes.
func (g *Group) acceptableProposals() <-chan Proposal {
	if g.core.Transferring() || g.core.UncommittedBytes() > maxUncommittedBytes {
		return nil
	}
	return g.proposals
}

// propose passes a proposal to the core. Queued proposals of the same term that
// continue it without a gap are merged into the same event.
func (g *Group) propose(p Proposal) {
	if p.Member != nil {
		g.step(quorum.ChangeMembership{Term: p.Term, Index: p.FirstIndex, Member: *p.Member, Remove: p.RemoveMember})
		return
	}
	proposal := quorum.Propose{Term: p.Term, FirstIndex: p.FirstIndex, Commands: p.Commands}
	for range maxMergedProposals {
		next, ok := g.nextProposal()
		if !ok {
			break
		}
		if next.Member != nil || next.Term != proposal.Term || next.FirstIndex != proposal.FirstIndex+uint64(len(proposal.Commands)) {
			g.step(proposal)
			g.propose(next)
			return
		}
		proposal.Commands = append(proposal.Commands[:len(proposal.Commands):len(proposal.Commands)], next.Commands...)
	}
	g.step(proposal)
}

// nextProposal returns the next queued proposal, if there is one.
func (g *Group) nextProposal() (Proposal, bool) {
	select {
	case p := <-g.proposals:
		return p, true
	default:
		return Proposal{}, false
	}
}

func (g *Group) handleRequest(r request) {
	switch r := r.(type) {
	case compactRequest:
		g.step(r.event)
	case reloadRequest:
		g.notifications.discardLogNotifications()
		defer close(r.done)
		g.step(quorum.ReloadState{})
	case transferRequest:
		g.transferWaiters = append(g.transferWaiters, r.done)
		g.continueTransfer()
	case dumpRequest:
		r.reply <- Dump{Status: g.core.Status(), Queued: g.notifications.length()}
	}
}

// continueTransfer starts or restarts a requested leadership transfer. It answers
// the waiting callers once this replica no longer leads or no transfer is possible.
func (g *Group) continueTransfer() {
	if len(g.transferWaiters) == 0 {
		return
	}
	status := g.core.Status()
	switch {
	case !status.Leading:
		g.finishTransfers(nil)
	case status.Voters == 1:
		g.finishTransfers(ErrNoOtherVoter)
	case !g.core.Transferring():
		g.step(quorum.TransferLeadership{})
	}
}

// finishTransfers sends the result to all callers of TransferLeadership.
func (g *Group) finishTransfers(err error) {
	for _, done := range g.transferWaiters {
		done <- err
	}
	g.transferWaiters = nil
}

// step passes one event to the core and carries out the effects that the core
// returns.
func (g *Group) step(e quorum.Event) {
	effects := g.core.Step(g.Now(), e)
	if effects.Write != nil {
		g.journalWrites <- *effects.Write
	}
	if effects.SaveSnapshot != nil {
		g.snapshotsToSave <- *effects.SaveSnapshot
	}
	if effects.DropJournalUpTo > 0 {
		g.scheduleJournalCompaction(effects.DropJournalUpTo)
	}
	if effects.StalledTerm > 0 {
		event.Log(g.Log, event.FirstCommitLate, "term", effects.StalledTerm)
	}
	g.send(effects.Messages)
	for _, r := range effects.Reports {
		g.notifications.put(g.notificationFor(r))
	}
}

// scheduleJournalCompaction requests a compaction of the journal up to index. It
// replaces a request that the journal writer has not taken yet.
func (g *Group) scheduleJournalCompaction(index uint64) {
	select {
	case <-g.journalCompactions:
	default:
	}
	g.journalCompactions <- index
}

// send passes the messages to the transport, grouped by receiving replica.
func (g *Group) send(out []quorum.OutgoingMessage) {
	for len(out) > 0 {
		to, address := out[0].Message.To, out[0].Address
		var data [][]byte
		remaining := 0
		for _, outgoing := range out {
			if outgoing.Message.To != to {
				out[remaining] = outgoing
				remaining++
				continue
			}
			if b, err := quorum.EncodeMessage(outgoing.Message); err == nil {
				data = append(data, b)
			}
		}
		out = out[:remaining]
		if address != "" {
			g.Transport.Send(to, address, data)
		}
	}
}

// notificationFor translates a report of the core into a notification for the
// control thread.
func (g *Group) notificationFor(r quorum.Report) Notification {
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
		g.recordConfirmedRound(r.RoundStartedAt)
		return LeadershipConfirmed{Term: r.Term, StartedAt: r.RoundStartedAt}
	case quorum.StateRestored:
		return RestoreSnapshot{Index: r.Index, State: r.State}
	case quorum.MembershipChanged:
		return MembershipChanged{Members: r.Members, Self: g.Config.ID}
	}
	panic(errors.Newf("group: the core returned a report of unknown type %T", r))
}
