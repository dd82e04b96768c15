package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
)

// Parameters of holds.
const (
	// minHoldRetryPause and maxHoldRetryPause are the bounds of the pause before a failed
	// hold is retried.
	minHoldRetryPause = 50 * time.Millisecond
	maxHoldRetryPause = 400 * time.Millisecond
	// A server without runs that has not answered for absentTime is asked only every
	// maxAbsentRetryPause. Servers that are gone for good must not cost more than the others.
	absentTime          = 10 * time.Second
	maxAbsentRetryPause = 2 * time.Second
	// sharedLongPoll is the longest long poll of a server that has both fill tasks and
	// serving tasks. Their load figures cover the last half second.
	sharedLongPoll = 500 * time.Millisecond
	// overdueLongPoll is the longest long poll of a server with an overdue urgent run.
	overdueLongPoll = 300 * time.Millisecond
	// immediateHoldPause is the pause between two holds without a long poll.
	immediateHoldPause = 10 * time.Millisecond
	// failedHoldsOfShutDown is the number of consecutive failed holds after which a server that
	// announced its shutdown counts as exited.
	failedHoldsOfShutDown = 2
)

// sendHold sends a hold: a call that renews the lease and requests the run list. At most
// one hold per server is pending. The call is a long poll that returns when a run ends.
func (d *Dispatcher) sendHold(s *session) {
	if s.holdPending || s.endProof != "" {
		return
	}
	s.holdPending = true
	d.chooseRoute(s)
	wait := d.holdWait(s)
	if !s.listReceived || s.serverClock == 0 || s.unresponsive || s.exitNoticeAt > 0 || s.expectsListChange() {
		wait = 0
	}
	ack := s.endToAcknowledge()
	c := &inner.ServerCall{What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{Ack: ack, Wait: uint64(wait / time.Millisecond)}}}
	// An unresponsive server may still receive calls. If each attempt renewed its lease,
	// its tasks could never be placed on another server.
	d.callServer(s, c, wait, s.failedHolds, !s.unresponsive, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		s.holdPending = false
		d.leader.firstHoldQueue.Done(s)
		defer d.sendFirstHolds()
		if d.leader.sessions[s.id] != s || s.endProof != "" {
			return
		}
		if s.answererOf(a, sentAt, receivedAt) == sameIncarnation {
			s.lastEndAcknowledged = max(s.lastEndAcknowledged, ack)
		}
		d.handleHoldAnswer(s, a, sentAt, receivedAt)
	})
}

// endToAcknowledge returns the number up to which the next hold acknowledges ends; 0 for none. The
// numbers of another incarnation start anew, and it would forget ends that nobody has read. So each
// end is acknowledged once, and none while it is not known whether the incarnation goes on.
func (s *session) endToAcknowledge() uint64 {
	if !s.listReceived || s.unresponsive || s.lastEndCommitted <= s.lastEndAcknowledged {
		return 0
	}
	return s.lastEndCommitted
}

// holdWait returns the longest time for which a server may delay its answer to a hold.
func (d *Dispatcher) holdWait(s *session) time.Duration {
	wait := maxLongPoll
	if length := d.leaseLength(s); length > 0 {
		wait = min(wait, length/longPollsPerLease)
	}
	if s.mixesFillAndServing {
		wait = min(wait, sharedLongPoll)
	}
	if d.hasOverdueRun(s) {
		wait = min(wait, overdueLongPoll)
	}
	return wait
}

// overdueFactor is the ratio of the actual to the typical runtime above which an urgent run
// counts as overdue. Most runs take about their typical runtime.
const overdueFactor = 1.5

// hasOverdueRun reports whether an urgent run on the server is overdue.
func (d *Dispatcher) hasOverdueRun(s *session) bool {
	now := d.Now()
	for _, r := range s.runs {
		if !r.urgent || r.placedAt == 0 || r.stopping {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if ok && float64(now-r.placedAt) > overdueFactor*float64(d.typicalRuntimeOn(step, r)) {
			return true
		}
	}
	return false
}

// expectsListChange reports whether the next run list is expected to settle the state of a
// run.
func (s *session) expectsListChange() bool {
	for _, r := range s.runs {
		isStopOfPreviousLeader := r.stopping && r.startUnconfirmed && r.startAttempts == 0 // placed by the previous leader
		if (r.orderAnsweredAt > 0 || isStopOfPreviousLeader) && !r.reportedByServer {
			return true
		}
	}
	return false
}

// handleHoldAnswer processes the answer to a hold.
func (d *Dispatcher) handleHoldAnswer(s *session, a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
	switch a.GetVerdict() {
	case inner.Verdict_VERDICT_DONE:
	case inner.Verdict_VERDICT_STRANGER:
		d.handleFailedHold(s, a, receivedAt)
		if s.endProof == "" {
			d.beginClosing(s, proofOtherServerAnswered)
		}
		return
	default:
		d.handleFailedHold(s, a, receivedAt)
		return
	}
	if !d.acceptList(s, a, sentAt, receivedAt) {
		return
	}
	// Another run list may be received before the ends of this one are committed. Only the
	// ends of this list may be acknowledged after this commit, because the server forgets
	// acknowledged ends.
	lastReceived := s.lastEndReceived
	d.Host.AfterCommit(func() {
		if d.leader != nil && d.leader.sessions[s.id] == s {
			s.lastEndCommitted = max(s.lastEndCommitted, lastReceived)
			d.scheduleNextHold(s)
		}
	})
}

// acceptList processes a run list that was received. It returns false if another incarnation
// of the server sent it.
func (d *Dispatcher) acceptList(s *session, a *inner.ServerAnswer, sentAt, receivedAt time.Duration) bool {
	if a.GetBorn() != 0 && a.GetBorn() != s.incarnation {
		d.beginClosing(s, proofOtherIncarnationAnswered)
		return false
	}
	if s.unresponsive {
		event.Log(d.Log, event.ServerBack, "server", s.id, "born", s.incarnation, "silent", (receivedAt - s.lastAnswerAt).String())
	}
	s.lastAnswerAt, s.listMadeAfter, s.unresponsive, s.failedHolds = receivedAt, sentAt, false, 0
	isUsableAgain := !s.listReceived
	s.listReceived = true
	if s.hasFormer {
		// From now on the incarnation refuses the calls of earlier sessions.
		s.hasFormer, s.leaseEndsAt = false, max(s.leaseEndsAt, receivedAt+d.longestLease())
	}
	if s.exitNoticeAt > 0 && sentAt > s.exitNoticeAt {
		s.exitNoticeAt, isUsableAgain = 0, true
	}
	d.applyRunList(s, a, sentAt, receivedAt)
	d.adjustPace(s)
	if isUsableAgain {
		d.leader.planNeeded = true
	}
	return true
}

// scheduleNextHold sends the next hold: immediately if it is a long poll, and after
// immediateHoldPause if it is not.
func (d *Dispatcher) scheduleNextHold(s *session) {
	if !s.expectsListChange() {
		d.sendHold(s)
		return
	}
	term := d.leader.term
	time.AfterFunc(immediateHoldPause, func() { d.postInTerm(term, func() { d.sendHold(s) }) })
}

// handleFailedHold records a failed hold and schedules the next one.
func (d *Dispatcher) handleFailedHold(s *session, a *inner.ServerAnswer, receivedAt time.Duration) {
	if !s.unresponsive {
		s.unresponsiveSince, s.fence = receivedAt, d.leader.nextFence()
		event.Log(d.Log, event.ServerSuspect, "server", s.id, "born", s.incarnation, "verdict", a.GetVerdict().String(), "detail", a.GetDetail(), "held", len(s.runs), "lease", (s.leaseEndsAt - s.unresponsiveSince).String())
	}
	s.unresponsive = true
	s.failedHolds++
	if s.failedHolds >= failuresBeforeRelay {
		d.tryOtherWay(s)
	}
	if d.hasShutDown(s) {
		d.beginClosing(s, proofShutDownWithoutRuns)
		return
	}
	longest := maxHoldRetryPause
	if len(s.runs) == 0 && receivedAt-s.unresponsiveSince > absentTime {
		longest = maxAbsentRetryPause
	}
	s.nextHoldAt = d.Now() + min(minHoldRetryPause<<min(s.failedHolds, 6), longest)
}

// hasShutDown reports whether a server that announced its shutdown no longer answers and has no
// runs. Nothing is lost with its session: it gets no new work in any case.
func (d *Dispatcher) hasShutDown(s *session) bool {
	b, ok := d.Host.Flows().Server(s.id)
	return ok && b.ShuttingDown && len(s.runs) == 0 && s.failedHolds >= failedHoldsOfShutDown
}
