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

// Limits of orders to backend servers.
const (
	// maxStartAttempts is how often a start is sent before the run is abandoned. The answer
	// to an attempt may be lost.
	maxStartAttempts = 3
	// orderRetryPause is the pause before an unanswered order is sent again.
	orderRetryPause = 30 * time.Millisecond
	// minAvoidTime and maxAvoidTime are the bounds of the time for which a server that
	// refused a start gets no new tasks. The time doubles with each consecutive refusal.
	minAvoidTime = 250 * time.Millisecond
	// gangRetryDivisor is the divisor of GangTimeout that gives the time within which a
	// member's start may be retried. One more attempt and the stops of the other members
	// have to fit into the remaining time.
	gangRetryDivisor = 3
	maxAvoidTime     = 4 * time.Second
)

// run is the leader's state of one run on a server. Times are on the leader's clock.
type run struct {
	flow.RunID
	allocation *flows.HeldRun
	// placedAt is when the run was placed, or 0 if another leader placed it.
	placedAt time.Duration
	// startSentAt is when this leader first sent the start, or 0 if it has not.
	startSentAt time.Duration
	permit      string
	// serverSpeed is the speed of the server when the run was placed, or 0 if speeds do not
	// decide where work goes.
	serverSpeed float64
	// measurement is nil if the run time tells nothing about the server.
	measurement *measurement
	// urgent reports whether the run is urgent and not lasting.
	urgent bool
	// lastAttempt is the kind of server on which the run was placed as a last attempt; empty if
	// it is none.
	lastAttempt lastAttemptServer
	// pendingOrders is the number of unanswered orders.
	pendingOrders int
	// startAttempts and stopAttempts count the sent orders.
	startAttempts int
	stopAttempts  int
	// startUnconfirmed reports whether a start may have arrived without an answer.
	startUnconfirmed bool
	// unansweredStartAt is when the latest start without an answer was given up, or 0.
	unansweredStartAt time.Duration
	// unprovenStartAt is when a start was answered by an incarnation that is not known to be the
	// session's, or 0.
	unprovenStartAt time.Duration
	// settledInNext reports whether a list of the next incarnation has shown that the run is not
	// there and cannot start there.
	settledInNext bool
	// orderAnsweredAt is when the server answered a start or a stop, or 0. A complete run list made
	// after that time without the run proves that it does not run.
	orderAnsweredAt time.Duration
	// lastListNumber is the number of the latest run list that contains the run as running
	// or ended.
	lastListNumber uint64
	// reportedByServer reports whether the server has listed the run or confirmed its
	// start.
	reportedByServer bool
	// stopping reports whether the run is to be stopped. nextOrderAt is when the stop is
	// sent again.
	stopping    bool
	nextOrderAt time.Duration
	// checkpoint, progressPercent and load are the values of the latest run list, which was
	// received at progressReportedAt.
	checkpoint         string
	progressPercent    float64
	load               float64
	progressReportedAt time.Duration
	// pace is the pace of the run on its server.
	pace knownPace
	// progressChangedAt is when the progress last changed.
	progressChangedAt time.Duration
}

// applyListEntry updates the run from its entry in a run list.
func (r *run) applyListEntry(entry *inner.RunningRun, now time.Duration) {
	if entry.GetCheckpoint() != "" {
		r.checkpoint = entry.GetCheckpoint()
	}
	percent := math.Floor(entry.GetPercent())
	switch {
	case r.progressChangedAt == 0 && percent == 0 && r.orderAnsweredAt > 0:
		r.progressChangedAt = r.orderAnsweredAt // the run had no progress when its start was answered
	case r.progressChangedAt == 0 || percent != math.Floor(r.progressPercent):
		r.progressChangedAt = now
	}
	r.reportedByServer, r.startUnconfirmed, r.unprovenStartAt = true, false, 0
	r.progressPercent, r.load, r.progressReportedAt = entry.GetPercent(), entry.GetLoad(), now
}

// sendStart sends the start of a run whose placement is committed.
func (d *Dispatcher) sendStart(s *session, r *run) {
	f, ok := d.Host.Flows().Flow(r.Flow)
	if s.runs[r.TaskID] != r || r.stopping || r.reportedByServer {
		return
	}
	t, isLatest := d.currentTask(r)
	if !ok || !isLatest || f.Final() || t.Phase != flows.Placed {
		d.withdrawRun(s, r) // it is no longer wanted
		return
	}
	if s.endProof != "" {
		d.disbandGang(r) // the incarnation has ended; the run's end is recorded when the session is closed
		return
	}
	if !d.mayStartOn(s) {
		d.withdrawRun(s, r)
		return
	}
	r.pendingOrders++
	r.startAttempts++
	if r.startSentAt == 0 {
		r.startSentAt = d.Now()
		d.recordStart(s, r, r.startSentAt)
	}
	start := &inner.StartRun{Run: r.Message(), Input: f.Spec.GetInput(), Checkpoint: t.Checkpoint, Permit: r.permit}
	// An unresponsive server may still receive calls. A retry must not extend the lease,
	// because the task cannot be placed on another server before the lease ends.
	renewLease := r.startAttempts == 1
	wanted := func() bool { return s.runs[r.TaskID] == r && !r.stopping && s.endProof == "" && d.mayStartOn(s) }
	fence := s.fence
	d.callServerIf(wanted, s, &inner.ServerCall{What: &inner.ServerCall_Start{Start: start}}, 0, r.startAttempts-1, renewLease, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		r.pendingOrders--
		switch a.GetVerdict() {
		case inner.Verdict_VERDICT_DONE, inner.Verdict_VERDICT_SILENT:
			// A call without an answer has at least this latency. If it were ignored, a
			// leader whose answers all arrive late would never extend its timeouts.
			d.observeLatency(receivedAt - sentAt)
		}
		d.flowMetrics.observeCall("start", a.GetVerdict(), receivedAt-sentAt)
		if d.leader.sessions[s.id] == s && s.runs[r.TaskID] == r {
			d.handleStartAnswer(s, r, a, startAnswer{fence: fence, sentAt: sentAt, receivedAt: receivedAt})
		}
	})
}

// mayStartOn reports whether a start of a committed placement may be sent to a server now.
func (d *Dispatcher) mayStartOn(s *session) bool {
	b, ok := d.Host.Flows().Server(s.id)
	return !s.unresponsive && !(ok && (d.Host.Flows().ZoneDrained(b.Zone) || !b.Used.Fits(b.Capacity)))
}

// startAnswer is when a start was sent and its answer received, and the fencing token that it had.
type startAnswer struct {
	fence              uint64
	sentAt, receivedAt time.Duration
}

// handleStartAnswer processes the answer to a start.
func (d *Dispatcher) handleStartAnswer(s *session, r *run, a *inner.ServerAnswer, at startAnswer) {
	verdict, receivedAt := a.GetVerdict(), at.receivedAt
	if verdict != inner.Verdict_VERDICT_DONE {
		event.Log(d.Log, event.StartRefused, "flow", r.Flow, "run", r.String(), "server", s.id, "verdict", verdict.String(), "detail", a.GetDetail(), "try", r.startAttempts)
	}
	if r.reportedByServer && verdict != inner.Verdict_VERDICT_DONE && verdict != inner.Verdict_VERDICT_OLD {
		// An earlier attempt was executed, as a run list has shown. If this refusal ended
		// the run, the task would be placed on another server while it still runs here.
		return
	}
	switch verdict {
	case inner.Verdict_VERDICT_DONE:
		r.reportedByServer, r.orderAnsweredAt = true, receivedAt
		d.recordBegun(r.Flow)
		if s.endProof != "" || s.answererOf(a, at.sentAt, receivedAt) != sameIncarnation {
			r.unprovenStartAt = receivedAt
		}
		s.refusalsInARow = 0
		return
	case inner.Verdict_VERDICT_OLD:
		r.orderAnsweredAt = receivedAt
		return
	case inner.Verdict_VERDICT_SILENT:
		// The server may be gone. Further tasks placed on it would have to wait for the end
		// of its lease.
		s.avoidUntil = max(s.avoidUntil, receivedAt+minAvoidTime)
		r.startUnconfirmed, r.unansweredStartAt = true, receivedAt
		d.retryStart(s, r)
		return
	case inner.Verdict_VERDICT_FENCED:
		if at.fence < s.fence {
			d.retryStart(s, r) // this leader has raised the session's fencing token meanwhile
			return
		}
		// A later leader sends orders to this server. This replica will notice soon that it
		// is deposed.
		r.startUnconfirmed = true
		return
	}
	d.handleRefusal(s, r, verdict, receivedAt)
	d.withdrawRun(s, r)
}

// withdrawRun ends a run that did not start. If an earlier attempt may still be executed,
// the run has to be stopped instead.
func (d *Dispatcher) withdrawRun(s *session, r *run) {
	if r.startUnconfirmed {
		d.stopRun(s, r)
		return
	}
	end := &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST}
	d.recordEnds(s, &record.FlowEnds{Server: s.id, Born: s.incarnation, Ends: []*record.FlowEnd{end}}, d.Now())
}

// handleRefusal avoids the server or drops the permit according to the verdict of a refused
// start.
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

// retryStart sends an unanswered start again. Starts are idempotent. The run is stopped
// instead if the attempts are used up, the gang's time limit has passed, or the server
// takes no work.
func (d *Dispatcher) retryStart(s *session, r *run) {
	b, ok := d.Host.Flows().Server(s.id)
	pastGangLimit := r.placedAt > 0 && d.Now()-r.placedAt > d.GangTimeout/gangRetryDivisor && d.gangStep(r) != nil
	if r.startAttempts >= maxStartAttempts || pastGangLimit || !ok || !d.Host.Flows().AcceptsWork(b) || s.endProof != "" {
		d.stopRun(s, r)
		return
	}
	r.nextOrderAt = d.Now() + orderRetryPause
	term := d.leader.term
	time.AfterFunc(orderRetryPause, func() { d.postInTerm(term, func() { d.sendStart(s, r) }) })
}

// stopRun stops a run and the rest of its gang. The other members would only wait for it.
func (d *Dispatcher) stopRun(s *session, r *run) {
	r.stopping = true
	d.sendStop(s, r)
	d.disbandGang(r)
}

// gangStep returns the step of a run if it is a gang, and nil otherwise.
func (d *Dispatcher) gangStep(r *run) *flows.Step {
	if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetGang() {
		return step
	}
	return nil
}

// disbandGang stops the other members of a run's gang. The ledger keeps the members as
// wanted until the end of one of them is recorded. That can take long, for example on an
// unreachable server, and meanwhile the others would hold capacity without making progress.
func (d *Dispatcher) disbandGang(r *run) {
	step := d.gangStep(r)
	if step == nil {
		return
	}
	stoppedCount := 0
	for i, t := range step.Tasks {
		s := d.leader.sessions[t.Server]
		if t.Phase != flows.Placed || t.LatestRun != r.Number || s == nil {
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

// stopUnwantedRuns sends a stop for every run that the ledger no longer wants, and repeats
// the stops that are due.
func (d *Dispatcher) stopUnwantedRuns() {
	now := d.Now()
	for id, allocation := range d.Host.Flows().RunsToStop() {
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

// sendStop sends the stop of a run. It is repeated until it is answered. The server refuses
// a later start of a run that it was told to stop, even if it does not know the run.
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
			r.orderAnsweredAt = receivedAt
			if !s.holdPending {
				d.sendHold(s)
			}
		case inner.Verdict_VERDICT_STRANGER:
			// The start names the server, so the one at the address now refuses it as well.
			r.settledInNext = true
			r.nextOrderAt = receivedAt + orderRetryPause
		default:
			r.nextOrderAt = receivedAt + orderRetryPause
		}
	})
}

// stopStrayRun stops a run that the server lists and the ledger does not have on that
// server. Such a run comes from an abandoned start that was executed late.
func (d *Dispatcher) stopStrayRun(s *session, id flow.RunID) {
	event.Log(d.Log, event.RunStray, "flow", id.Flow, "run", id.String(), "server", s.id)
	c := &inner.ServerCall{What: &inner.ServerCall_Stop{Stop: &inner.StopRun{Run: id.Message()}}}
	d.callServer(s, c, 0, 0, false, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		d.flowMetrics.observeCall("stop", a.GetVerdict(), receivedAt-sentAt)
	})
}
