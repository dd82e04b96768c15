package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// endProof is a fact that proves that the runs of a server have ended. That a call fails proves
// nothing: a refused connection shows that the way to the server is closed, and silence may be a
// partition.
type endProof string

const (
	// proofLeaseExpired proves the end of the runs only. The server may still be alive.
	proofLeaseExpired endProof = "its lease expired"
	// The other proofs are of the end of the incarnation, and so of its runs.
	proofLaterReport              endProof = "a later incarnation reported"
	proofReportFromElsewhere      endProof = "a later incarnation reported another address"
	proofOtherIncarnationAnswered endProof = "another incarnation answered"
	proofOtherServerAnswered      endProof = "another server answers at its address"
	proofMachineServesAnother     endProof = "another server on its machine answered later"
	proofMachineListed            endProof = "the owner of its machine lists it as ended"
	// proofShutDownWithoutRuns is no proof for runs: a server that shuts down gets no new ones.
	proofShutDownWithoutRuns endProof = "it announced its shutdown and has no runs"
	// proofForgottenWithoutRuns is no proof for runs either. If the server comes back, it is
	// announced again.
	proofForgottenWithoutRuns endProof = "it has not answered for long and has no runs"
)

// forgetTime is the time without an answer after which a server without runs is forgotten. Servers
// that are gone for good must not add up.
const forgetTime = time.Minute

// checkSession handles due holds, expired leases and sessions that are being closed.
func (d *Dispatcher) checkSession(s *session, now time.Duration) {
	if s.endProof != "" {
		d.closeWhenSettled(s, now)
		return
	}
	if s.unresponsive && len(s.runs) == 0 && now > s.leaseEndsAt && now-s.unresponsiveSince > forgetTime {
		d.beginClosing(s, proofForgottenWithoutRuns)
		return
	}
	if s.unresponsive && !s.holdPending && now >= s.nextHoldAt {
		d.sendHold(s)
	}
	if now > s.leaseEndsAt && len(s.runs) > 0 && now-s.heardAt() > d.leaseLength(s) {
		d.recordExpiredRuns(s, now)
	}
}

// recordExpiredRuns records the ends of the runs on a server whose lease has expired. Runs that
// another incarnation may have started may go on longer.
func (d *Dispatcher) recordExpiredRuns(s *session, now time.Duration) {
	var expired []*run
	for _, r := range s.runs {
		if now > d.runEndsBy(s, r) {
			expired = append(expired, r)
		}
	}
	if len(expired) < len(s.runs) {
		d.recordSparedRuns(s, expired, proofLeaseExpired)
		return
	}
	d.logGone(s, proofLeaseExpired)
	d.recordLostRuns(s, proofLeaseExpired)
}

// logGone logs and counts a server whose runs have ended.
func (d *Dispatcher) logGone(s *session, proof endProof) {
	event.Log(d.Log, event.ServerGone, "server", s.id, "born", s.incarnation, "machine", s.machine, "proof", string(proof), "heard", (d.Now() - s.heardAt()).String(), "held", len(s.runs))
	d.flowMetrics.countGoneServer(proof)
}

// beginClosing starts to close the session of an incarnation that has ended. A start may reach the
// next incarnation at the same address, so the session stays until its runs are settled there.
func (d *Dispatcher) beginClosing(s *session, proof endProof) {
	if s.endProof == "" {
		s.endProof, s.closingSince, s.fence = proof, d.Now(), d.leader.nextFence()
		d.flushWatch(s)
		d.logGone(s, proof)
	}
	d.closeWhenSettled(s, d.Now())
}

// closeWhenSettled closes a session when a list of the next incarnation has shown that no run of the
// session is there, or when the lease of such a run has expired.
func (d *Dispatcher) closeWhenSettled(s *session, now time.Duration) {
	if now < s.closingSince+d.longestLease()+2*callTimeout && !s.isSettled(now) {
		d.listNextIncarnation(s, now)
		return
	}
	d.recordLostRuns(s, s.endProof)
	d.removeSession(s)
}

// isSettled reports whether no run of a session that is being closed may be executed any more.
func (s *session) isSettled(now time.Duration) bool {
	for _, r := range s.runs {
		if r.pendingOrders > 0 || s.mayReachNext(r, now) {
			return false
		}
	}
	return true
}

// recordLostRuns records in the ledger that none of the runs of a session is running any
// more.
func (d *Dispatcher) recordLostRuns(s *session, proof endProof) {
	closed := proof != proofLeaseExpired
	command := &record.FlowClear{Id: s.id, Born: s.incarnation, Over: closed}
	end, otherRuns := inner.RunEnd_RUN_END_LOST, len(s.runs)-1
	if closed && d.endedUnexpectedly(s) {
		end, command.Blamed = inner.RunEnd_RUN_END_CRASHED, d.blamedRuns(s)
		d.recordSparedRuns(s, d.sparedRuns(s, command.Blamed), proof)
	}
	wantedBefore := d.wantedRuns(s)
	for _, r := range s.runs {
		if r.checkpoint != "" {
			command.Saved = append(command.Saved, &record.FlowSaved{Run: r.Message(), Checkpoint: r.checkpoint})
		}
		d.logLostRun(s, r, end, proof, otherRuns)
	}
	if d.applyOrLog(&record.Flow{What: &record.Flow_Clear{Clear: command}}) {
		d.logFailedFlows(s, wantedBefore)
		s.runs = map[flow.TaskID]*run{}
		s.listReceived = false
	}
}

// recordSparedRuns records the ends of some runs on a server as lost, so that a crash does not count
// against their tasks.
func (d *Dispatcher) recordSparedRuns(s *session, spared []*run, proof endProof) {
	if len(spared) == 0 {
		return
	}
	ends, otherRuns := &record.FlowEnds{Server: s.id, Born: s.incarnation}, len(s.runs)-1
	for _, r := range spared {
		ends.Ends = append(ends.Ends, &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST, Checkpoint: r.checkpoint})
	}
	if !d.applyOrLog(&record.Flow{What: &record.Flow_Ends{Ends: ends}}) {
		return
	}
	for _, r := range spared {
		d.logLostRun(s, r, inner.RunEnd_RUN_END_LOST, proof, otherRuns)
		delete(s.runs, r.TaskID)
	}
}

// logLostRun logs and counts a run that was lost with its server, beside the given number of
// other runs.
func (d *Dispatcher) logLostRun(s *session, r *run, end inner.RunEnd, proof endProof, otherRuns int) {
	event.Log(d.Log, event.AttemptLost, "flow", r.Flow, "run", r.String(), "server", s.id, "how", end.String(),
		"checkpoint", r.checkpoint, "over", proof != proofLeaseExpired, "proof", string(proof), "age", d.runAge(s, r).String(), "beside", otherRuns, "start", r.startEvidence())
	d.flowMetrics.countRunEnd(end)
}

// runAge returns how long a run had been started when its server became unresponsive, or
// until now if the server responds. For a run that another leader placed, the time since
// its placement is used.
func (d *Dispatcher) runAge(s *session, r *run) time.Duration {
	now := d.Now()
	if s.unresponsive {
		now = s.unresponsiveSince
	}
	if r.startSentAt > 0 {
		return max(now-r.startSentAt, 0)
	}
	return max(d.Host.LedgerTime()-r.allocation.PlacedAt-(d.Now()-now), 0)
}

// startEvidence tells what this leader knows of the start of a run, for the log.
func (r *run) startEvidence() string {
	switch {
	case r.reportedByServer:
		return "confirmed"
	case r.startSentAt > 0:
		return "unanswered"
	case r.neverSent():
		return "not sent"
	}
	return "by another leader"
}
