package quorum

import "time"

type progressState uint8

const (
	// progressProbing sends one append at a time until the logs match.
	progressProbing progressState = iota
	// progressReplicating sends several ahead of their answers.
	progressReplicating
	// progressSnapshot sends a snapshot.
	progressSnapshot
)

// inflightAppend is an append on its way.
type inflightAppend struct {
	lastIndex uint64
	sentAt    time.Duration
	bytes     int
}

// replicaProgress is what a leader knows of another replica.
type replicaProgress struct {
	state progressState
	// matchIndex is the highest index that the replica has synced alike.
	matchIndex uint64
	nextIndex  uint64
	// answeredRound is the last heartbeat round that it answered, heard when it last spoke.
	answeredRound uint64
	heardAt       time.Duration
	// awaitingReply tells that a probe or a chunk, sent at asked, has no answer yet.
	awaitingReply bool
	requestSentAt time.Duration
	// inflight are the appends on their way, window their bytes.
	inflight      []inflightAppend
	inflightBytes int
	// snapshot is the snapshot that it is being sent, and offset how far.
	snapshot         *Snapshot
	snapshotChecksum uint64
	snapshotOffset   uint64
}

// resendAfterHeartbeats is after how many heartbeats an unanswered message is sent again.
const resendAfterHeartbeats = 3

func (c *Core) progressOf(id string) *replicaProgress {
	progress, ok := c.leaderState.peers[id]
	if !ok {
		progress = &replicaProgress{nextIndex: c.log.lastIndex() + 1}
		c.leaderState.peers[id] = progress
	}
	return progress
}

// startProbing starts over from the first entry that is not known to match.
func (p *replicaProgress) startProbing(next uint64) {
	p.state, p.awaitingReply, p.snapshot = progressProbing, false, nil
	p.inflight, p.inflightBytes = nil, 0
	p.nextIndex = max(next, p.matchIndex+1)
}

// recordMatch takes an acknowledgement of synced entries.
func (p *replicaProgress) recordMatch(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= p.matchIndex {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	if p.state == progressSnapshot && p.matchIndex >= p.snapshot.Index || p.state == progressProbing {
		p.startProbing(p.matchIndex + 1)
		p.state = progressReplicating
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
}

// recordHeartbeatMatch takes what a replica has synced and knows to match. One that came back
// knows less than it had acknowledged, and would not commit the end of its log
// before the next entry comes: an empty append lets it know.
func (p *replicaProgress) recordHeartbeatMatch(index uint64) {
	switch {
	case index > p.matchIndex:
		p.recordMatch(index)
	case index < p.matchIndex && p.state == progressReplicating && len(p.inflight) == 0:
		p.startProbing(p.matchIndex + 1)
	}
}

// resendUnanswered starts over with replicas that left messages unanswered.
func (c *Core) resendUnanswered() {
	replyTimeout := resendAfterHeartbeats * c.cfg.HeartbeatInterval
	for _, m := range c.currentMembership().members {
		progress := c.progressOf(m.ID)
		if progress.awaitingReply && c.now-progress.requestSentAt >= replyTimeout {
			progress.awaitingReply = false
		}
		if len(progress.inflight) > 0 && c.now-progress.inflight[0].sentAt >= replyTimeout {
			progress.startProbing(progress.matchIndex + 1)
		}
	}
}

// replicate sends every member what it lacks, within the bounds.
func (c *Core) replicate() {
	if c.role != roleLeader {
		return
	}
	for _, m := range c.currentMembership().members {
		if m.ID != c.cfg.ID {
			c.replicateTo(m.ID, c.progressOf(m.ID))
		}
	}
	c.sendTimeoutNow()
	c.reportConfirmedRound()
}

func (c *Core) replicateTo(id string, progress *replicaProgress) {
	if progress.nextIndex <= c.log.base && progress.state != progressSnapshot {
		progress.startProbing(progress.nextIndex)
		progress.state = progressSnapshot
		snapshot := c.snapshot
		progress.snapshot, progress.snapshotChecksum, progress.snapshotOffset = &snapshot, snapshot.Checksum(), 0
	}
	switch progress.state {
	case progressSnapshot:
		c.sendSnapshotChunk(id, progress)
	case progressProbing:
		c.sendProbe(id, progress)
	case progressReplicating:
		for progress.nextIndex <= c.log.lastIndex() && len(progress.inflight) < c.cfg.MaxInflightAppends && progress.inflightBytes < c.cfg.MaxInflightBytes {
			entries := c.sendAppend(id, progress)
			progress.nextIndex += uint64(len(entries))
			entryBytes := entriesBytes(entries)
			progress.inflight = append(progress.inflight, inflightAppend{lastIndex: progress.nextIndex - 1, sentAt: c.now, bytes: entryBytes})
			progress.inflightBytes += entryBytes
		}
	}
}

// sendProbe sends nothing to a replica that is silent: entries would pile up in
// front of one that is away for an hour. Its answer to a heartbeat comes first.
func (c *Core) sendProbe(id string, progress *replicaProgress) {
	isSilent := c.now-max(progress.heardAt, c.leaderState.electedAt) > c.cfg.MaxElectionTimeout
	if progress.awaitingReply || isSilent {
		return
	}
	progress.awaitingReply, progress.requestSentAt = true, c.now
	c.sendAppend(id, progress)
}

func (c *Core) sendAppend(id string, progress *replicaProgress) []Entry {
	prevIndex := progress.nextIndex - 1
	prevTerm, _ := c.log.termAt(prevIndex)
	entries := c.log.batchAfter(prevIndex, c.cfg.MaxMessageBytes)
	c.send(Message{
		Kind: AppendEntries, To: id, Term: c.hardState.Term, Index: prevIndex, LogTerm: prevTerm,
		CommitIndex: c.commitIndex, Entries: entries,
	})
	return entries
}

// handleFollowerReply takes an answer from a replica that follows.
func (c *Core) handleFollowerReply(m Message) {
	if c.role != roleLeader || !c.currentMembership().contains(m.From) {
		return
	}
	progress := c.progressOf(m.From)
	progress.heardAt = c.now
	switch m.Kind {
	case HeartbeatReply:
		progress.answeredRound = max(progress.answeredRound, m.Round)
		progress.recordHeartbeatMatch(m.Index)
		c.confirmRounds()
	case AppendEntriesReply:
		c.handleAppendEntriesReply(progress, m)
	case SnapshotChunkReply:
		c.handleSnapshotChunkReply(progress, m)
	}
}

func (c *Core) handleAppendEntriesReply(progress *replicaProgress, m Message) {
	if !m.Reject {
		progress.recordMatch(m.Index)
		return
	}
	// A rejection of what was acknowledged is an old one; answered by a probe, it
	// would only bring the next.
	if m.Index <= progress.matchIndex || progress.state == progressSnapshot || progress.state == progressProbing && m.Index != progress.nextIndex-1 {
		return
	}
	matchCandidate, _ := c.log.lastNotAboveTerm(m.ConflictIndex, m.LogTerm)
	progress.startProbing(matchCandidate + 1)
	if matchCandidate == c.log.base && c.log.base > 0 {
		c.probeLogBase(progress, m)
	}
}

// probeLogBase falls back to a snapshot when the replica's log ends before this one
// begins, or differs there.
func (c *Core) probeLogBase(progress *replicaProgress, m Message) {
	if m.ConflictIndex < c.log.base || m.Index == c.log.base {
		progress.nextIndex = max(progress.matchIndex+1, c.log.base)
	}
}
