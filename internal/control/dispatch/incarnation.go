package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// A server may start again under its id and address. The new incarnation has seen no fencing token
// and executes calls that were sent to the previous one, also late ones. Its answers to orders do
// not name it. Three things bound what such calls may do:
//
//   - Each session has its own fencing token, and gets a higher one when a hold fails and when it
//     is closed. Once an incarnation has answered a call with it, calls sent before are refused.
//   - The previous session is closed when a list of the new incarnation, made after that, shows
//     which of its runs are there.
//   - Until then such a call may have extended the lease of the new incarnation to the longest one.

const (
	// fenceBits is the number of low bits of a fencing token that distinguish the sessions of one
	// term. A token stays below 2^53, so that it is exact in JSON.
	fenceBits = 24
	maxFences = 1<<fenceBits - 1
	// lateCallTime is the longest time for which a call without an answer may still be executed.
	lateCallTime = 15 * time.Second
	// clockOriginMargin is the tolerance when the clocks of two incarnations are told apart. It
	// exceeds the time for which this process may have been suspended while it leads.
	clockOriginMargin = 2 * time.Second
	// clockResolution is the resolution of a server's clock.
	clockResolution = time.Millisecond
)

// nextFence returns a fencing token that is higher than all earlier ones of this and earlier terms.
func (l *leaderState) nextFence() uint64 {
	l.fences = min(l.fences+1, maxFences)
	return l.term<<fenceBits | l.fences
}

// longestLease is the longest time on the leader's clock for which a run may go on after a call that
// extends its lease, whatever end of the lease the call contains.
func (d *Dispatcher) longestLease() time.Duration {
	return time.Duration(float64(d.MaxLease)/minClockRate) + leaseMargin
}

// answerer tells which incarnation of a server gave an answer.
type answerer uint8

const (
	unknownIncarnation answerer = iota
	// sameIncarnation is the one of the session.
	sameIncarnation
	otherIncarnation
)

// answererOf returns the incarnation that answered a call sent at sentAt. Only lists name it. The
// clock of an incarnation starts anew and never goes back, so a value below what the clock of the
// known incarnation must show comes from another one, and a value above what the clock of any
// incarnation that began after the latest list can show comes from the known one.
func (s *session) answererOf(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) answerer {
	switch {
	case a.GetBorn() == s.incarnation && a.GetBorn() != 0:
		return sameIncarnation
	case a.GetBorn() != 0:
		return otherIncarnation
	case a.GetClock() == 0 || s.serverClock == 0:
		return unknownIncarnation
	case a.GetClock() < s.earliestClock(sentAt):
		return otherIncarnation
	case s.listMadeAfter > 0 && a.GetClock() > s.firstClock+(receivedAt-s.listMadeAfter+clockOriginMargin).Milliseconds():
		return sameIncarnation
	}
	return unknownIncarnation
}

// earliestClock returns the least value that the server's clock may show at a time.
func (s *session) earliestClock(at time.Duration) int64 {
	elapsed := float64(at - s.serverClockReadAt)
	if elapsed > 0 {
		elapsed *= minClockRate
	} else {
		elapsed /= minClockRate
	}
	return s.serverClock + (time.Duration(elapsed) - clockResolution).Milliseconds()
}

// isUnproven reports whether a start of the run was answered, but may have been executed by another
// incarnation than the session's. A list of the session's incarnation made after the answer proves
// that it was alive then, and with it that it had executed the start.
func (s *session) isUnproven(r *run) bool {
	return r.unprovenStartAt > 0 && r.unprovenStartAt >= s.listMadeAfter
}

// runEndsBy returns the time by which a run on an unresponsive server has ended.
func (d *Dispatcher) runEndsBy(s *session, r *run) time.Duration {
	if s.isUnproven(r) {
		return max(s.leaseEndsAt, r.unprovenStartAt+d.longestLease())
	}
	return s.leaseEndsAt
}

// mayReachNext reports whether a run of a session that is being closed may be executed by the next
// incarnation. One start without an answer is enough: that the run was listed shows only that one of
// them was executed.
func (s *session) mayReachNext(r *run, now time.Duration) bool {
	switch {
	case r.settledInNext || r.neverSent() || s.endProof == proofReportFromElsewhere:
		return false
	case r.unansweredStartAt > 0 && now-r.unansweredStartAt < lateCallTime:
		return true
	case s.endProof != proofLaterReport && s.endProof != proofOtherIncarnationAnswered:
		return false // no incarnation has followed at the address
	}
	return r.placedAt == 0 || s.isUnproven(r)
}

// listNextIncarnation asks the server at the address of a session that is being closed for its runs.
// The call acknowledges no ends and extends no lease.
func (d *Dispatcher) listNextIncarnation(s *session, now time.Duration) {
	if s.nextListPending || now < s.nextListAt {
		return
	}
	s.nextListPending = true
	c := &inner.ServerCall{What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{}}}
	d.callServer(s, c, 0, s.nextListFailures, false, func(a *inner.ServerAnswer, _, receivedAt time.Duration) {
		s.nextListPending, s.nextListAt = false, receivedAt+orderRetryPause
		if d.leader.sessions[s.id] != s {
			return
		}
		d.handleNextList(s, a, receivedAt)
		d.closeWhenSettled(s, d.Now())
	})
}

// handleNextList processes the answer to listNextIncarnation.
func (d *Dispatcher) handleNextList(s *session, a *inner.ServerAnswer, receivedAt time.Duration) {
	switch {
	case a.GetVerdict() == inner.Verdict_VERDICT_STRANGER:
		for _, r := range s.runs {
			r.settledInNext = true // the starts name the server, so the one at the address refuses them
		}
	case a.GetVerdict() == inner.Verdict_VERDICT_DONE && a.GetBorn() > s.incarnation:
		d.applyNextList(s, a, receivedAt)
	default:
		s.nextListFailures++
	}
}

// applyNextList stops the runs of a session that the next incarnation executes and records the ends
// of those that have ended there. The others cannot start there any more.
func (d *Dispatcher) applyNextList(s *session, a *inner.ServerAnswer, receivedAt time.Duration) {
	listed := map[flow.RunID]bool{}
	for _, entry := range a.GetRunning() {
		id := flow.RunIDFromMessage(entry.GetRun())
		listed[id] = true
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number && r.pendingOrders == 0 {
			d.stopRun(s, r)
		}
	}
	ends := &record.FlowEnds{Server: s.id, Born: s.incarnation}
	for _, entry := range a.GetEnded() {
		id := flow.RunIDFromMessage(entry.GetRun())
		if r := s.runs[id.TaskID]; r != nil && r.Number == id.Number {
			listed[id] = true
			ends.Ends = append(ends.Ends, &record.FlowEnd{Run: entry.GetRun(), How: entry.GetHow(), Checkpoint: entry.GetCheckpoint()})
		}
	}
	for _, r := range s.runs {
		if !listed[r.RunID] && !a.GetPartial() {
			r.settledInNext = true
		}
	}
	event.Log(d.Log, event.NextIncarnationListed, "server", s.id, "born", s.incarnation, "next", a.GetBorn(), "running", len(a.GetRunning()), "ended", len(ends.Ends), "held", len(s.runs))
	if len(ends.Ends) > 0 {
		d.recordEnds(s, ends, receivedAt)
	}
}

// mayHaveFormer reports whether calls sent to an earlier incarnation of a server that is not in the
// ledger may still be executed. A new leader does not know what its predecessor sent.
func (d *Dispatcher) mayHaveFormer(id string) bool {
	if closedAt, ok := d.leader.sessionsClosedAt[id]; ok && d.Now()-closedAt < lateCallTime {
		return true
	}
	return d.leader.hasPredecessor && d.Now()-d.leader.electedAt < lateCallTime
}

// proofOfLaterReport returns the proof that the report of a later incarnation gives.
func proofOfLaterReport(s *session, r Report) endProof {
	if r.GetAddress() != s.address {
		return proofReportFromElsewhere
	}
	return proofLaterReport
}
