package quorum

import "time"

type progressState uint8

const (
	// probing sends one append at a time until the logs match.
	probing progressState = iota
	// replicating sends several ahead of their answers.
	replicating
	// installing sends a snapshot.
	installing
)

// sent is an append on its way.
type sent struct {
	last uint64
	at   time.Duration
	size int
}

// progress is what a leader knows of another replica.
type progress struct {
	state progressState
	// match is the highest index that the replica has synced alike.
	match uint64
	next  uint64
	// round is the last heartbeat round that it answered, heard when it last spoke.
	round uint64
	heard time.Duration
	// waiting tells that a probe or a chunk, sent at asked, has no answer yet.
	waiting bool
	asked   time.Duration
	// flight are the appends on their way, window their bytes.
	flight []sent
	window int
	// image is the snapshot that it is being sent, and offset how far.
	image  *Snapshot
	sum    uint64
	offset uint64
}

// resendHeartbeats is after how many heartbeats an unanswered message is sent again.
const resendHeartbeats = 3

func (c *Core) peer(id string) *progress {
	p, ok := c.lead.peers[id]
	if !ok {
		p = &progress{next: c.log.last() + 1}
		c.lead.peers[id] = p
	}
	return p
}

// probe starts over from the first entry that is not known to match.
func (p *progress) probe(next uint64) {
	p.state, p.waiting, p.image = probing, false, nil
	p.flight, p.window = nil, 0
	p.next = max(next, p.match+1)
}

// matched takes an acknowledgement of synced entries.
func (p *progress) matched(index uint64) {
	p.match = max(p.match, index)
	for len(p.flight) > 0 && p.flight[0].last <= p.match {
		p.window -= p.flight[0].size
		p.flight = p.flight[1:]
	}
	if p.state == installing && p.match >= p.image.Index || p.state == probing {
		p.probe(p.match + 1)
		p.state = replicating
	}
	p.next = max(p.next, p.match+1)
}

// beat takes what a replica has synced and knows to match. One that came back
// knows less than it had acknowledged, and would not commit the end of its log
// before the next entry comes: an empty append lets it know.
func (p *progress) beat(index uint64) {
	switch {
	case index > p.match:
		p.matched(index)
	case index < p.match && p.state == replicating && len(p.flight) == 0:
		p.probe(p.match + 1)
	}
}

// resend starts over with replicas that left messages unanswered.
func (c *Core) resend() {
	patience := resendHeartbeats * c.cfg.HeartbeatInterval
	for _, m := range c.members().members {
		p := c.peer(m.ID)
		if p.waiting && c.now-p.asked >= patience {
			p.waiting = false
		}
		if len(p.flight) > 0 && c.now-p.flight[0].at >= patience {
			p.probe(p.match + 1)
		}
	}
}

// replicate sends every member what it lacks, within the bounds.
func (c *Core) replicate() {
	if c.role != leader {
		return
	}
	for _, m := range c.members().members {
		if m.ID != c.cfg.ID {
			c.sendTo(m.ID, c.peer(m.ID))
		}
	}
	c.handOver()
	c.reportRound()
}

func (c *Core) sendTo(id string, p *progress) {
	if p.next <= c.log.base && p.state != installing {
		p.probe(p.next)
		p.state = installing
		image := c.snapshot
		p.image, p.sum, p.offset = &image, image.Checksum(), 0
	}
	switch p.state {
	case installing:
		c.sendChunk(id, p)
	case probing:
		c.sendProbe(id, p)
	case replicating:
		for p.next <= c.log.last() && len(p.flight) < c.cfg.MaxInflightAppends && p.window < c.cfg.MaxInflightBytes {
			entries := c.sendAppend(id, p)
			p.next += uint64(len(entries))
			n := size(entries)
			p.flight = append(p.flight, sent{last: p.next - 1, at: c.now, size: n})
			p.window += n
		}
	}
}

// sendProbe sends nothing to a replica that is silent: entries would pile up in
// front of one that is away for an hour. Its answer to a heartbeat comes first.
func (c *Core) sendProbe(id string, p *progress) {
	silent := c.now-max(p.heard, c.lead.elected) > c.cfg.MaxElectionTimeout
	if p.waiting || silent {
		return
	}
	p.waiting, p.asked = true, c.now
	c.sendAppend(id, p)
}

func (c *Core) sendAppend(id string, p *progress) []Entry {
	prev := p.next - 1
	term, _ := c.log.term(prev)
	entries := c.log.page(prev, c.cfg.MaxMessageBytes)
	c.send(Message{
		Kind: AppendEntries, To: id, Term: c.hard.Term, Index: prev, LogTerm: term,
		CommitIndex: c.commit, Entries: entries,
	})
	return entries
}

// takeReply takes an answer from a replica that follows.
func (c *Core) takeReply(m Message) {
	if c.role != leader || !c.members().contains(m.From) {
		return
	}
	p := c.peer(m.From)
	p.heard = c.now
	switch m.Kind {
	case HeartbeatReply:
		p.round = max(p.round, m.Round)
		p.beat(m.Index)
		c.checkRounds()
	case AppendEntriesReply:
		c.takeAppendReply(p, m)
	case SnapshotChunkReply:
		c.takeChunkReply(p, m)
	}
}

func (c *Core) takeAppendReply(p *progress, m Message) {
	if !m.Reject {
		p.matched(m.Index)
		return
	}
	// A rejection of what was acknowledged is an old one; answered by a probe, it
	// would only bring the next.
	if m.Index <= p.match || p.state == installing || p.state == probing && m.Index != p.next-1 {
		return
	}
	next, _ := c.log.conflict(m.ConflictIndex, m.LogTerm)
	p.probe(next + 1)
	if next == c.log.base && c.log.base > 0 {
		c.probeBase(p, m)
	}
}

// probeBase falls back to a snapshot when the replica's log ends before this one
// begins, or differs there.
func (c *Core) probeBase(p *progress, m Message) {
	if m.ConflictIndex < c.log.base || m.Index == c.log.base {
		p.next = max(p.match+1, c.log.base)
	}
}
