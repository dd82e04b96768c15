package dispatch

import (
	"math"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// Bounds of orders.
const (
	// maxStartAttempts is how often a start is sent before its run is given up: the
	// first answer may be lost.
	maxStartAttempts = 3
	// orderRetryPause is the pause before an order without an answer is sent again.
	orderRetryPause = 30 * time.Millisecond
	// minAvoidTime and lastAvoid bound how long a server that said it is unwell
	// gets nothing new; the time doubles with each refusal in a row.
	minAvoidTime = 250 * time.Millisecond
	// gangRetryDivisor is the part of the time for which the members of a gang wait for
	// each other in which one may still be asked to start: one more try and the
	// stops of the others have to fit into the rest.
	gangRetryDivisor = 3
	maxAvoidTime     = 4 * time.Second
)

// run is what this leader knows of one run at a server.
type run struct {
	flow.RunID
	allocation *flows.Held
	// placedAt is when it was decided, on our clock; 0 when another leader did.
	placedAt time.Duration
	// startSentAt is when its start first left; 0 for never, by this leader.
	startSentAt time.Duration
	permit      string
	// urgent tells that somebody waits for it and that it is over soon.
	urgent bool
	// pendingOrders counts the orders under way.
	pendingOrders int
	// startAttempts counts the starts sent, stops the stops.
	startAttempts int
	stopAttempts  int
	// startUnconfirmed tells that a start may have arrived without an answer, ghost that
	// it may be carried out by another life of the server.
	startUnconfirmed        bool
	mayReachNextIncarnation bool
	// nextIncarnationStoppedAt is when a ghost was stopped; 0 for never.
	nextIncarnationStoppedAt time.Duration
	// orderAnsweredAt is when the server answered a start or a stop: a list made later
	// that does not show the run proves that it does not run. 0 before that.
	orderAnsweredAt time.Duration
	// lastListNumber is the latest list of its server that shows it, running or ended.
	lastListNumber uint64
	// reportedByServer tells that the server listed it or confirmed its start.
	reportedByServer bool
	// stopping tells that it is to be stopped, and next when that is asked again.
	stopping    bool
	nextOrderAt time.Duration
	// checkpoint is its latest checkpoint, percent its progress and load its use, at
	// looked on our clock.
	checkpoint         string
	progressPercent    float64
	load               float64
	progressReportedAt time.Duration
	// sentPacePlusOne is the pace that it was told, in percent and one more; 0 for none.
	sentPacePlusOne int
	// progressChangedAt is when its progress last changed.
	progressChangedAt time.Duration
}

// applyListEntry takes what a list tells of the run.
func (r *run) applyListEntry(entry *inner.RunningRun, now time.Duration) {
	if entry.GetCheckpoint() != "" {
		r.checkpoint = entry.GetCheckpoint()
	}
	percent := math.Floor(entry.GetPercent())
	switch {
	case r.progressChangedAt == 0 && percent == 0 && r.orderAnsweredAt > 0:
		r.progressChangedAt = r.orderAnsweredAt // it had made no progress when its start was answered
	case r.progressChangedAt == 0 || percent != math.Floor(r.progressPercent):
		r.progressChangedAt = now
	}
	r.reportedByServer, r.startUnconfirmed, r.mayReachNextIncarnation = true, false, false
	r.progressPercent, r.load, r.progressReportedAt = entry.GetPercent(), entry.GetLoad(), now
}

// sendStart sends the start of a run whose placement is committed.
func (d *Dispatcher) sendStart(s *session, r *run) {
	f, ok := d.Host.Flows().Flow(r.Flow)
	step, stepKnown := d.Host.Flows().Step(r.StepID)
	if !ok || !stepKnown || f.Final() || r.stopping || r.reportedByServer {
		return // what became unwanted meanwhile is stopped, or never sent
	}
	if s.closeReason != "" {
		d.disbandGang(r) // its life is over, and its end recorded once that is settled
		return
	}
	if b, ok := d.Host.Flows().Server(s.id); s.unresponsive || ok && (d.Host.Flows().Drained(b.Zone) || !b.Used.Fits(b.Capacity)) {
		d.withdrawRun(s, r)
		return
	}
	r.pendingOrders++
	r.startAttempts++
	if r.startSentAt == 0 {
		r.startSentAt = d.Now()
		d.startProbation(s, r, r.startSentAt)
	}
	start := &inner.StartRun{Run: r.Message(), Input: f.Spec.GetInput(), Checkpoint: step.Tasks[r.Index].Checkpoint, Permit: r.permit}
	// A server that does not answer may hear all the same: trying again must not
	// lengthen the lease of what cannot be placed elsewhere before it is over.
	renew := r.startAttempts == 1
	d.callServer(s, &inner.ServerCall{What: &inner.ServerCall_Start{Start: start}}, 0, r.startAttempts-1, renew, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		r.pendingOrders--
		switch a.GetVerdict() {
		case inner.Verdict_VERDICT_DONE, inner.Verdict_VERDICT_SILENT:
			// One that did not come in time would have taken longer yet. Left out, a
			// leader whose answers all come late would never wait for them.
			d.observeLatency(receivedAt - sentAt)
		}
		d.flowMetrics.observeCall("start", a.GetVerdict(), receivedAt-sentAt)
		if d.leader.sessions[s.id] == s && s.runs[r.TaskID] == r {
			d.handleStartAnswer(s, r, a, receivedAt)
		}
	})
}

// handleStartAnswer takes the answer to a start.
func (d *Dispatcher) handleStartAnswer(s *session, r *run, a *inner.ServerAnswer, receivedAt time.Duration) {
	verdict := a.GetVerdict()
	if verdict != inner.Verdict_VERDICT_DONE {
		event.Log(d.Log, event.StartRefused, "flow", r.Flow, "run", r.String(), "server", s.id, "verdict", verdict.String(), "detail", a.GetDetail(), "try", r.startAttempts)
	}
	if r.reportedByServer && verdict != inner.Verdict_VERDICT_DONE && verdict != inner.Verdict_VERDICT_OLD {
		// An earlier try was carried out, as a list has shown. Taken for the run's
		// end, the refusal of a later one would let the task run elsewhere as well.
		return
	}
	switch verdict {
	case inner.Verdict_VERDICT_DONE:
		r.reportedByServer, r.orderAnsweredAt, r.mayReachNextIncarnation = true, receivedAt, s.closeReason != ""
		s.refusalsInARow = 0
		return
	case inner.Verdict_VERDICT_OLD:
		r.orderAnsweredAt = receivedAt
		return
	case inner.Verdict_VERDICT_SILENT:
		// It may have gone; more work there would wait for its lease as well.
		s.avoidUntil = max(s.avoidUntil, receivedAt+minAvoidTime)
		r.startUnconfirmed, r.mayReachNextIncarnation = true, true
		d.retryStart(s, r)
		return
	case inner.Verdict_VERDICT_FENCED:
		// Another leader gives orders here; this one is about to learn of it.
		r.startUnconfirmed = true
		return
	}
	d.handleRefusal(s, r, verdict, receivedAt)
	d.withdrawRun(s, r)
}

// withdrawRun ends a run that did not start. When an earlier try may still be
// carried out, only a stop rules that out.
func (d *Dispatcher) withdrawRun(s *session, r *run) {
	if r.startUnconfirmed {
		d.stopRun(s, r)
		return
	}
	end := &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST}
	d.recordEnds(s, &record.FlowEnds{Server: s.id, Born: s.incarnation, Ends: []*record.FlowEnd{end}}, d.Now())
}

// handleRefusal learns from a refusal what not to try again at once.
func (d *Dispatcher) handleRefusal(s *session, r *run, verdict inner.Verdict, now time.Duration) {
	switch verdict {
	case inner.Verdict_VERDICT_UNWELL, inner.Verdict_VERDICT_ROOM, inner.Verdict_VERDICT_MALFORMED, inner.Verdict_VERDICT_LATE:
		s.avoidUntil = now + min(minAvoidTime<<min(s.refusalsInARow, 6), maxAvoidTime)
		s.refusalsInARow++
	case inner.Verdict_VERDICT_PERMIT:
		if advice := d.leader.adviceByStep[r.StepID]; advice != nil {
			delete(advice.permits, s.id)
		}
	case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER, inner.Verdict_VERDICT_UNSENT:
		s.avoidUntil = now + minAvoidTime
	}
}

// retryStart sends a start without an answer once more: the same run is started only
// once. A second silence gives the run up.
func (d *Dispatcher) retryStart(s *session, r *run) {
	b, ok := d.Host.Flows().Server(s.id)
	pastGangLimit := r.placedAt > 0 && d.Now()-r.placedAt > d.GangTimeout/gangRetryDivisor && d.gangStep(r) != nil
	if r.startAttempts >= maxStartAttempts || pastGangLimit || !ok || !d.Host.Flows().Takes(b) || s.closeReason != "" {
		d.stopRun(s, r)
		return
	}
	r.nextOrderAt = d.Now() + orderRetryPause
	term := d.leader.term
	time.AfterFunc(orderRetryPause, func() { d.postInTerm(term, func() { d.sendStart(s, r) }) })
}

// stopRun stops a run; a gang is stopped whole, since its others wait for this one.
func (d *Dispatcher) stopRun(s *session, r *run) {
	r.stopping = true
	d.sendStop(s, r)
	d.disbandGang(r)
}

// gangStep returns the step of a run whose tasks work only together, else nil.
func (d *Dispatcher) gangStep(r *run) *flows.Step {
	if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetGang() {
		return step
	}
	return nil
}

// disbandGang stops the other members of a run's gang. Until the end of one is
// recorded the ledger wants the others, and where that takes long, as on a server
// that is gone, they would hold their room and wait for it in vain.
func (d *Dispatcher) disbandGang(r *run) {
	step := d.gangStep(r)
	if step == nil {
		return
	}
	stoppedCount := 0
	for i, t := range step.Tasks {
		s := d.leader.sessions[t.Server]
		if t.Phase != flows.Placed || t.Number != r.Number || s == nil {
			continue
		}
		member := s.runs[flow.TaskID{StepID: r.StepID, Index: uint32(i)}]
		if member != nil && member.Number == r.Number && !member.stopping {
			member.stopping = true
			d.sendStop(s, member)
			stoppedCount++
		}
	}
	if stoppedCount > 0 {
		event.Log(d.Log, event.GangDisbanded, "flow", r.Flow, "run", r.String(), "server", r.allocation.Server, "tries", r.startAttempts, "stopped", stoppedCount)
	}
}

// stopUnwantedRuns orders a stop for every run that the ledger does not want.
func (d *Dispatcher) stopUnwantedRuns() {
	now := d.Now()
	for id, allocation := range d.Host.Flows().Unwanted() {
		s := d.leader.sessions[allocation.Server]
		if s == nil {
			continue
		}
		if r := s.runs[id]; r != nil && r.Number == allocation.Number && !r.stopping {
			r.stopping = true
			d.Host.AfterCommit(func() { d.sendStop(s, r) })
		}
	}
	for r, s := range d.leader.pendingStops {
		switch {
		case s.runs[r.TaskID] != r:
			delete(d.leader.pendingStops, r)
		case r.stopping && r.pendingOrders == 0 && r.nextOrderAt > 0 && now >= r.nextOrderAt:
			d.sendStop(s, r)
		}
	}
}

// sendStop orders the stop of a run, and asks again until it is answered. A server
// refuses a run from then on that it is told to stop and does not know.
func (d *Dispatcher) sendStop(s *session, r *run) {
	if r.pendingOrders > 0 && !r.stopping || s.runs[r.TaskID] != r {
		return
	}
	r.pendingOrders++
	r.nextOrderAt = 0
	d.leader.pendingStops[r] = s
	c := &inner.ServerCall{What: &inner.ServerCall_Stop{Stop: &inner.StopRun{Run: r.Message()}}}
	r.stopAttempts++
	d.callServer(s, c, 0, r.stopAttempts-1, false, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		r.pendingOrders--
		d.flowMetrics.observeCall("stop", a.GetVerdict(), receivedAt-sentAt)
		switch a.GetVerdict() {
		case inner.Verdict_VERDICT_DONE, inner.Verdict_VERDICT_OLD:
			if r.mayReachNextIncarnation {
				r.nextIncarnationStoppedAt = receivedAt
			}
			r.orderAnsweredAt, r.mayReachNextIncarnation = receivedAt, false
			if !s.holdPending {
				d.sendHold(s)
			}
		case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER:
			r.mayReachNextIncarnation = false
			r.nextOrderAt = receivedAt + orderRetryPause
		default:
			r.nextOrderAt = receivedAt + orderRetryPause
		}
	})
}

// stopStrayRun stops a run that a server holds and the ledger does not know there:
// a start that was given up and carried out late.
func (d *Dispatcher) stopStrayRun(s *session, id flow.RunID) {
	event.Log(d.Log, event.RunStray, "flow", id.Flow, "run", id.String(), "server", s.id)
	c := &inner.ServerCall{What: &inner.ServerCall_Stop{Stop: &inner.StopRun{Run: id.Message()}}}
	d.callServer(s, c, 0, 0, false, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		d.flowMetrics.observeCall("stop", a.GetVerdict(), receivedAt-sentAt)
	})
}
