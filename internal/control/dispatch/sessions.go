package dispatch

import (
	"cmp"
	"slices"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/recovery"
)

// open begins a session with a server as the ledger has it.
func (d *Dispatcher) open(b *flows.Server) *session {
	s := &session{
		id: b.ID, born: b.StartedAtMs, address: b.Address, cursor: b.EndCursor, taken: b.EndCursor,
		heard: d.Now(), runs: map[flow.TaskID]*run{}, pace: pace.Full,
	}
	for id, h := range b.HeldRuns {
		// Whether the start ever arrived is not known to this leader.
		step, ok := d.Host.Flows().Step(h.StepID)
		s.runs[id] = &run{RunID: h.RunID, held: h, maybe: true, urgent: ok && d.urgent(step)}
	}
	s.rate = d.lead.speeds[s.id]
	d.lead.sessions[b.ID] = s
	at, _ := slices.BinarySearchFunc(d.lead.sorted, s.id, byID)
	d.lead.sorted = slices.Insert(d.lead.sorted, at, s)
	d.lead.intake.Add(s, s.class())
	return s
}

// forget ends a session.
func (d *Dispatcher) forget(s *session) {
	if s.relay != "" {
		d.lead.relayed--
	}
	delete(d.lead.sessions, s.id)
	if at, ok := slices.BinarySearchFunc(d.lead.sorted, s.id, byID); ok {
		d.lead.sorted = slices.Delete(d.lead.sorted, at, at+1)
	}
}

func byID(s *session, id string) int { return cmp.Compare(s.id, id) }

// class is how soon a server is asked what it holds.
func (s *session) class() recovery.Priority {
	c := recovery.Idle
	for _, r := range s.runs {
		if r.urgent {
			return recovery.Urgent
		}
		c = recovery.Busy
	}
	return c
}

// takeIn asks servers for the first time, as many as may be asked now.
func (d *Dispatcher) takeIn() {
	for s, ok := d.lead.intake.Next(d.Now()); ok; s, ok = d.lead.intake.Next(d.Now()) {
		if d.lead.sessions[s.id] != s {
			d.lead.intake.Done(s)
			continue
		}
		d.hold(s)
	}
}
