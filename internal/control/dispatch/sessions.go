package dispatch

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/intake"
	"gypsumreel/internal/policy/pace"
)

// openSession begins a session with a server as the ledger has it.
func (d *Dispatcher) openSession(b *flows.Server) *session {
	s := &session{
		id: b.ID, incarnation: b.Born, address: b.Address, lastEndCommitted: b.Cursor, lastEndTaken: b.Cursor,
		lastAnswerAt: d.Now(), runs: map[flow.TaskID]*run{}, pacePercent: pace.Full,
	}
	for id, h := range b.Held {
		// Whether the start ever arrived is not known to this leader.
		step, ok := d.Host.Flows().Step(h.StepID)
		s.runs[id] = &run{RunID: h.RunID, allocation: h, startUnconfirmed: true, urgent: ok && d.isUrgentStep(step)}
	}
	s.speed = d.leader.serverSpeeds[s.id]
	d.leader.sessions[b.ID] = s
	at, _ := slices.BinarySearchFunc(d.leader.sortedSessions, s.id, compareSessionID)
	d.leader.sortedSessions = slices.Insert(d.leader.sortedSessions, at, s)
	d.leader.firstHoldQueue.Add(s, s.firstHoldPriority())
	return s
}

// removeSession ends a session.
func (d *Dispatcher) removeSession(s *session) {
	if s.relayAddress != "" {
		d.leader.relayedSessions--
	}
	delete(d.leader.sessions, s.id)
	if at, ok := slices.BinarySearchFunc(d.leader.sortedSessions, s.id, compareSessionID); ok {
		d.leader.sortedSessions = slices.Delete(d.leader.sortedSessions, at, at+1)
	}
}

func compareSessionID(s *session, id string) int { return cmp.Compare(s.id, id) }

// firstHoldPriority is how soon a server is asked what it holds.
func (s *session) firstHoldPriority() intake.Class {
	c := intake.Idle
	for _, r := range s.runs {
		if r.urgent {
			return intake.Urgent
		}
		c = intake.Busy
	}
	return c
}

// sendFirstHolds asks servers for the first time, as many as may be asked now.
func (d *Dispatcher) sendFirstHolds() {
	for s, ok := d.leader.firstHoldQueue.Next(d.Now()); ok; s, ok = d.leader.firstHoldQueue.Next(d.Now()) {
		if d.leader.sessions[s.id] != s {
			d.leader.firstHoldQueue.Done(s)
			continue
		}
		d.sendHold(s)
	}
}
