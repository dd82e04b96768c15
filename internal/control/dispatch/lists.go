package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// lists takes what a server says it runs and what ended there.
func (d *Dispatcher) lists(s *session, a *inner.ServerAnswer, sent, came time.Duration) {
	s.lists++
	for _, m := range a.GetRunning() {
		id := flow.RunOf(m.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			d.stopStray(s, id)
			continue
		}
		r.look(m, came)
		r.listed = s.lists
	}
	e := &record.FlowEnds{Server: s.id, Born: s.born}
	for _, m := range a.GetEnded() {
		id := flow.RunOf(m.GetRun())
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number {
			r.listed = s.lists
		}
		if m.GetNumber() <= s.taken {
			continue
		}
		s.taken = m.GetNumber()
		e.Ends = append(e.Ends, &record.FlowEnd{Run: m.GetRun(), How: m.GetHow(), Checkpoint: m.GetCheckpoint()})
	}
	for _, r := range s.runs {
		if r.listed == s.lists {
			continue
		}
		if r.maybe && r.tries == 0 && !r.stopping {
			// Placed by the leader before this one, and not there. Its start may
			// still arrive, or never left; a stop rules it out for good.
			d.unwant(s, r)
			continue
		}
		// Not listed although its start or its stop was answered before the
		// list was made: it does not run, and never will.
		if r.settled > 0 && r.settled < sent {
			e.Ends = append(e.Ends, &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST, Checkpoint: r.saved})
		}
	}
	if len(e.Ends) == 0 {
		return
	}
	e.Cursor = s.taken
	d.ends(s, e, came)
}

// ends records ends and lets go of their runs.
func (d *Dispatcher) ends(s *session, e *record.FlowEnds, now time.Duration) {
	if !d.decide(&record.Flow{What: &record.Flow_Ends{Ends: e}}) {
		return
	}
	for _, one := range e.GetEnds() {
		id := flow.RunOf(one.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			continue
		}
		delete(s.runs, id.TaskID)
		d.ended(s, r, one, now)
	}
}

// ended logs an end and learns from it.
func (d *Dispatcher) ended(s *session, r *run, e *record.FlowEnd, now time.Duration) {
	state := "gone"
	if f, ok := d.Host.Flows().Flow(r.Flow); ok {
		state = f.State.String()
	}
	took := "since before this leader"
	if r.placed > 0 {
		took = (now - r.placed).String()
	}
	d.meter.end(e.GetHow())
	event.Log(d.Log, event.RunEnded, "flow", r.Flow, "run", r.String(), "server", s.id, "how", e.GetHow().String(), "took", took, "state", state)
	d.learn(s, r, e.GetHow(), now)
	d.trust(s, r, e.GetHow(), now)
}
