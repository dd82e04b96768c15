package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// applyRunList takes what a server says it runs and what ended there.
func (d *Dispatcher) applyRunList(s *session, a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
	s.listCount++
	for _, entry := range a.GetRunning() {
		id := flow.RunOf(entry.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			d.stopStrayRun(s, id)
			continue
		}
		r.applyListEntry(entry, receivedAt)
		r.lastListNumber = s.listCount
	}
	ends := &record.FlowEnds{Server: s.id, Born: s.incarnation}
	for _, entry := range a.GetEnded() {
		id := flow.RunOf(entry.GetRun())
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number {
			r.lastListNumber = s.listCount
		}
		if entry.GetNumber() <= s.lastEndTaken {
			continue
		}
		s.lastEndTaken = entry.GetNumber()
		ends.Ends = append(ends.Ends, &record.FlowEnd{Run: entry.GetRun(), How: entry.GetHow(), Checkpoint: entry.GetCheckpoint()})
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
		if r.orderAnsweredAt > 0 && r.orderAnsweredAt < sentAt {
			ends.Ends = append(ends.Ends, &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST, Checkpoint: r.checkpoint})
		}
	}
	if len(ends.Ends) == 0 {
		return
	}
	ends.Cursor = s.lastEndTaken
	d.recordEnds(s, ends, receivedAt)
}

// recordEnds records ends and lets go of their runs.
func (d *Dispatcher) recordEnds(s *session, ends *record.FlowEnds, now time.Duration) {
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Ends{Ends: ends}}) {
		return
	}
	for _, end := range ends.GetEnds() {
		id := flow.RunOf(end.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			continue
		}
		delete(s.runs, id.TaskID)
		d.handleRunEnd(s, r, end, now)
	}
}

// handleRunEnd logs an end and learns from it.
func (d *Dispatcher) handleRunEnd(s *session, r *run, end *record.FlowEnd, now time.Duration) {
	state := "gone"
	if f, ok := d.Host.Flows().Flow(r.Flow); ok {
		state = f.State.String()
	}
	elapsed := "since before this leader"
	if r.placedAt > 0 {
		elapsed = (now - r.placedAt).String()
	}
	d.flowMetrics.countRunEnd(end.GetHow())
	event.Log(d.Log, event.RunEnded, "flow", r.Flow, "run", r.String(), "server", s.id, "how", end.GetHow().String(), "took", elapsed, "state", state)
	d.learnSpeed(s, r, end.GetHow(), now)
	d.judgeRunEnd(s, r, end.GetHow(), now)
}
