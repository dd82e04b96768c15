package quorum

import "time"

type progressState uint8

const (
	// progressProbing means that the leader sends one append message at a time until the
	// logs match.
	progressProbing progressState = iota
	// progressReplicating means that the leader sends several append messages without
	// waiting for their replies.
	progressReplicating
	// progressSnapshot means that the leader sends a snapshot.
	progressSnapshot
)

// inflightAppend is an append message that is not acknowledged yet.
type inflightAppend struct {
	lastIndex uint64
	sentAt    time.Duration
	bytes     int
}

// replicaProgress is the leader's view of another replica.
type replicaProgress struct {
	state progressState
	// matchIndex is the highest index up to which the replica has synced the leader's log.
	matchIndex uint64
	nextIndex  uint64
	// answeredRound is the last heartbeat round that the replica answered, and heardAt the
	// time of its last message.
	answeredRound uint64
	heardAt       time.Duration
	// awaitingReply is set while a probe or snapshot chunk, sent at requestSentAt, has no
	// reply.
	awaitingReply bool
	requestSentAt time.Duration
	// inflight contains the unacknowledged append messages, and inflightBytes is their total
	// size.
	inflight      []inflightAppend
	inflightBytes int
	// snapshot is the snapshot that is being sent to the replica, and snapshotOffset the
	// position of the next chunk.
	snapshot         *Snapshot
	snapshotChecksum uint64
	snapshotOffset   uint64
	// furthestOffset is the highest snapshotOffset in this term. A transfer that starts again
	// and again does not raise it.
	furthestOffset uint64
}

// resendAfterHeartbeats is the number of heartbeat intervals after which an unanswered
// message is sent again.
const resendAfterHeartbeats = 3

func (c *Core) progressOf(id string) *replicaProgress {
	progress, ok := c.leaderState.peers[id]
	if !ok {
		progress = &replicaProgress{nextIndex: c.log.lastIndex() + 1}
		c.leaderState.peers[id] = progress
	}
	return progress
}

// startProbing discards the pending requests and probes the replica's log at index next,
// or at the first entry that is not known to match.
func (p *replicaProgress) startProbing(nextIndex uint64) {
	p.state, p.awaitingReply, p.snapshot = progressProbing, false, nil
	p.inflight, p.inflightBytes = nil, 0
	p.nextIndex = max(nextIndex, p.matchIndex+1)
}

// recordMatch processes an acknowledgment of synced entries.
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

// recordHeartbeatMatch processes the durable index in a heartbeat reply. A restarted
// replica reports a lower index than it acknowledged before, and would not commit the end
// of its log until the next entry arrives. The probe sends it an empty append message,
// which lets it commit earlier.
func (p *replicaProgress) recordHeartbeatMatch(index uint64) {
	switch {
	case index > p.matchIndex:
		p.recordMatch(index)
	case index < p.matchIndex && p.state == progressReplicating && len(p.inflight) == 0:
		p.startProbing(p.matchIndex + 1)
	}
}

// resendUnanswered repeats the messages that replicas have not answered in time.
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

// replicate sends every other member the entries or snapshot chunks that it lacks, within
// the configured limits.
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

// sendProbe sends one append message unless the replica is silent. Otherwise entries would
// accumulate in the send queue of a replica that is unreachable, for example for an hour.
// A silent replica has to answer a heartbeat first.
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

// handleFollowerReply processes a reply to a message of the leader.
func (c *Core) handleFollowerReply(m Message) {
	if c.role != roleLeader || !c.currentMembership().contains(m.From) {
		return
	}
	progress := c.progressOf(m.From)
	progress.heardAt = c.now
	matchIndex, furthestOffset := progress.matchIndex, progress.furthestOffset
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
	if c.currentMembership().isVoter(m.From) && (progress.matchIndex > matchIndex || progress.furthestOffset > furthestOffset) {
		c.leaderState.syncProgressAt = c.now
	}
}

func (c *Core) handleAppendEntriesReply(progress *replicaProgress, m Message) {
	if !m.Reject {
		progress.recordMatch(m.Index)
		return
	}
	// A rejection at or below the match index is outdated. A probe in response would only
	// cause another rejection.
	if m.Index <= progress.matchIndex || progress.state == progressSnapshot || progress.state == progressProbing && m.Index != progress.nextIndex-1 {
		return
	}
	matchCandidate, _ := c.log.lastNotAboveTerm(m.ConflictIndex, m.LogTerm)
	progress.startProbing(matchCandidate + 1)
	if matchCandidate == c.log.base && c.log.base > 0 {
		c.probeLogBase(progress, m)
	}
}

// probeLogBase selects a snapshot transfer if the replica's log ends before the leader's
// log in memory begins, or differs at its base.
func (c *Core) probeLogBase(progress *replicaProgress, m Message) {
	if m.ConflictIndex < c.log.base || m.Index == c.log.base {
		progress.nextIndex = max(progress.matchIndex+1, c.log.base)
	}
}
