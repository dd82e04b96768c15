package dispatch

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/recovery"
)

// openSession creates the session of a server from its state in the ledger. hasFormer reports whether
// the server, or an earlier incarnation of it, had a session before.
func (d *Dispatcher) openSession(b *flows.Server, hasFormer bool) *session {
	s := &session{
		id: b.ID, zone: b.Zone, machine: b.Machine, incarnation: b.StartedAtMs, address: b.Address, fence: d.leader.nextFence(), hasFormer: hasFormer, lastEndCommitted: b.EndCursor, lastEndReceived: b.EndCursor,
		lastAnswerAt: d.Now(), runs: map[flow.TaskID]*run{}, pacePercent: pace.Full, paceInherited: len(b.HeldRuns) > 0,
	}
	for id, allocation := range b.HeldRuns {
		// This leader does not know whether the start arrived.
		step, ok := d.Host.Flows().Step(allocation.StepID)
		s.runs[id] = &run{RunID: allocation.RunID, allocation: allocation, startUnconfirmed: true, urgent: ok && d.isUrgentStep(step)}
	}
	if len(b.HeldRuns) > 0 {
		s.lastStartAt = d.Now()
	}
	s.speed = d.leader.serverSpeeds[s.id]
	d.leader.sessions[b.ID] = s
	index, _ := slices.BinarySearchFunc(d.leader.sortedSessions, s.id, compareSessionID)
	d.leader.sortedSessions = slices.Insert(d.leader.sortedSessions, index, s)
	if l := d.preferredLink(s, nil); l != nil {
		d.setLink(s, l)
		return s
	}
	d.leader.firstHoldQueue.Add(s, s.firstHoldPriority())
	return s
}

// removeSession removes a session and updates the sorted sessions and the count of relayed
// sessions.
func (d *Dispatcher) removeSession(s *session) {
	if s.relayAddress != "" {
		d.leader.relayedSessions--
	}
	d.flushWatch(s)
	d.countLink(s.link, -1)
	s.link = nil
	delete(d.leader.sessions, s.id)
	d.leader.sessionsClosedAt[s.id] = d.Now()
	if index, ok := slices.BinarySearchFunc(d.leader.sortedSessions, s.id, compareSessionID); ok {
		d.leader.sortedSessions = slices.Delete(d.leader.sortedSessions, index, index+1)
	}
}

func compareSessionID(s *session, id string) int { return cmp.Compare(s.id, id) }

// firstHoldPriority returns the priority of the server's first hold: servers with urgent
// runs come first, then other busy servers, then idle ones.
func (s *session) firstHoldPriority() recovery.Priority {
	class := recovery.Idle
	for _, r := range s.runs {
		if r.urgent {
			return recovery.Urgent
		}
		class = recovery.Busy
	}
	return class
}

// sendFirstHolds sends the first holds to queued servers, as many as the queue allows now.
func (d *Dispatcher) sendFirstHolds() {
	if d.awaitsHolders() {
		return
	}
	for s, ok := d.leader.firstHoldQueue.Next(d.Now()); ok; s, ok = d.leader.firstHoldQueue.Next(d.Now()) {
		if d.leader.sessions[s.id] != s || s.link != nil && s.holdPending {
			d.leader.firstHoldQueue.Done(s)
			continue
		}
		d.sendHold(s)
	}
}
