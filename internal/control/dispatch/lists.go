package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// applyRunList takes what a server says it runs and what ended there.
func (d *Dispatcher) applyRunList(s *session, a *inner.ServerAnswer, sent, came time.Duration) {
	s.listCount++
	for _, m := range a.GetRunning() {
		id := flow.RunOf(m.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			d.stopStrayRun(s, id)
			continue
		}
		r.applyListEntry(m, came)
		r.lastListNumber = s.listCount
	}
	e := &record.FlowEnds{Server: s.id, Born: s.incarnation}
	for _, m := range a.GetEnded() {
		id := flow.RunOf(m.GetRun())
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number {
			r.lastListNumber = s.listCount
		}
		if m.GetNumber() <= s.lastEndTaken {
			continue
		}
		s.lastEndTaken = m.GetNumber()
		e.Ends = append(e.Ends, &record.FlowEnd{Run: m.GetRun(), How: m.GetHow(), Checkpoint: m.GetCheckpoint()})
	}
	for _, r := range s.runs {
		if r.lastListNumber == s.listCount {
			continue
		}
		if r.startUnconfirmed && r.startAttempts == 0 && !r.stopping {
			// Placed by the leader before this one, and not there. Its start may
			// still arrive, or never left; a stop rules it out for good.
			d.stopRun(s, r)
			continue
		}
		// Not listed although its start or its stop was answered before the
		// list was made: it does not run, and never will.
		if r.orderAnsweredAt > 0 && r.orderAnsweredAt < sent {
			e.Ends = append(e.Ends, &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST, Checkpoint: r.checkpoint})
		}
	}
	if len(e.Ends) == 0 {
		return
	}
	e.Cursor = s.lastEndTaken
	d.recordEnds(s, e, came)
}

// recordEnds records ends and lets go of their runs.
func (d *Dispatcher) recordEnds(s *session, e *record.FlowEnds, now time.Duration) {
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Ends{Ends: e}}) {
		return
	}
	for _, one := range e.GetEnds() {
		id := flow.RunOf(one.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			continue
		}
		delete(s.runs, id.TaskID)
		d.handleRunEnd(s, r, one, now)
	}
}

// handleRunEnd logs an end and learns from it.
func (d *Dispatcher) handleRunEnd(s *session, r *run, e *record.FlowEnd, now time.Duration) {
	state := "gone"
	if f, ok := d.Host.Flows().Flow(r.Flow); ok {
		state = f.State.String()
	}
	took := "since before this leader"
	if r.placedAt > 0 {
		took = (now - r.placedAt).String()
	}
	d.flowMetrics.countRunEnd(e.GetHow())
	event.Log(d.Log, event.RunEnded, "flow", r.Flow, "run", r.String(), "server", s.id, "how", e.GetHow().String(), "took", took, "state", state)
	d.learnSpeed(s, r, e.GetHow(), now)
	d.judgeRunEnd(s, r, e.GetHow(), now)
}
