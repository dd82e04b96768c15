package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// applyRunList processes a server's list of running and ended runs. A run that is missing in a
// partial list may have ended all the same.
func (d *Dispatcher) applyRunList(s *session, a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
	s.listCount++
	s.strayRuns = 0
	for _, entry := range a.GetRunning() {
		id := flow.RunIDFromMessage(entry.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			s.strayRuns++
			d.stopStrayRun(s, id)
			continue
		}
		d.recordBegun(r.Flow)
		r.applyListEntry(entry, receivedAt)
		r.lastListNumber = s.listCount
	}
	ends := &record.FlowEnds{Server: s.id, Born: s.incarnation}
	for _, entry := range a.GetEnded() {
		id := flow.RunIDFromMessage(entry.GetRun())
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number {
			d.recordBegun(r.Flow)
			r.lastListNumber = s.listCount
		}
		if entry.GetNumber() <= s.lastEndReceived {
			continue
		}
		s.lastEndReceived = entry.GetNumber()
		ends.Ends = append(ends.Ends, &record.FlowEnd{Run: entry.GetRun(), How: entry.GetHow(), Checkpoint: entry.GetCheckpoint()})
	}
	if !a.GetPartial() {
		ends.Ends = append(ends.Ends, d.settleMissingRuns(s, sentAt)...)
	}
	if len(ends.Ends) == 0 {
		return
	}
	ends.Cursor = s.lastEndReceived
	d.recordEnds(s, ends, receivedAt)
}

// settleMissingRuns handles the runs that the latest run list, a complete one, does not contain.
// It returns the ends of those that do not exist and cannot start any more. The list was made after
// sentAt.
func (d *Dispatcher) settleMissingRuns(s *session, sentAt time.Duration) (ends []*record.FlowEnd) {
	for _, r := range s.runs {
		if r.lastListNumber == s.listCount {
			continue
		}
		if r.startUnconfirmed && r.startAttempts == 0 && !r.stopping {
			// The previous leader placed the run and the server does not list it. Its start
			// may still be in transit. A stop prevents a later execution.
			d.stopRun(s, r)
			continue
		}
		// The server answered the start or the stop before it made this list, and does not
		// list the run. The run does not exist and cannot start any more.
		if r.orderAnsweredAt > 0 && r.orderAnsweredAt < sentAt {
			ends = append(ends, &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST, Checkpoint: r.checkpoint})
		}
	}
	return ends
}

// recordEnds records run ends in the ledger and removes the runs from the session.
func (d *Dispatcher) recordEnds(s *session, ends *record.FlowEnds, now time.Duration) {
	suspected := d.suspectedBy(s, ends)
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Ends{Ends: ends}}) {
		return
	}
	for _, end := range ends.GetEnds() {
		id := flow.RunIDFromMessage(end.GetRun())
		r := s.runs[id.TaskID]
		if r == nil || r.Number != id.Number {
			continue
		}
		delete(s.runs, id.TaskID)
		d.handleRunEnd(s, r, end, suspected[r], now)
	}
}

// suspectedBy returns the failed runs among run ends that count against the server. It is called
// before the ends are recorded.
func (d *Dispatcher) suspectedBy(s *session, ends *record.FlowEnds) map[*run]bool {
	var suspected map[*run]bool
	for _, end := range ends.GetEnds() {
		id := flow.RunIDFromMessage(end.GetRun())
		r := s.runs[id.TaskID]
		if end.GetHow() != inner.RunEnd_RUN_END_FAILED || r == nil || r.Number != id.Number {
			continue
		}
		if d.Host.Flows().FailureSuspectsServer(d.Host.LedgerTime(), r.allocation) {
			if suspected == nil {
				suspected = map[*run]bool{}
			}
			suspected[r] = true
		}
	}
	return suspected
}

// handleRunEnd logs a run's end and updates the statistics of its server. isSuspect reports whether
// its failure counts against the server.
func (d *Dispatcher) handleRunEnd(s *session, r *run, end *record.FlowEnd, isSuspect bool, now time.Duration) {
	state := "gone"
	if f, ok := d.Host.Flows().Flow(r.Flow); ok {
		state = f.State.String()
	}
	elapsed := "unknown, placed by a previous leader"
	if r.placedAt > 0 {
		elapsed = (now - r.placedAt).String()
	}
	d.flowMetrics.countRunEnd(end.GetHow())
	d.countLastAttemptEnd(r, end.GetHow())
	event.Log(d.Log, event.RunEnded, "flow", r.Flow, "run", r.String(), "server", s.id, "how", end.GetHow().String(), "suspect", isSuspect, "took", elapsed, "state", state)
	d.learnSpeed(s, r, end.GetHow(), now)
	d.observeMachineSpeed(r, end.GetHow(), now)
	d.judgeRunEnd(s, r, end.GetHow(), isSuspect, now)
}
