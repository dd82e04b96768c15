package dispatch

import "time"

// leadershipProofInterval is the shortest time between two proofs of leadership for refusals.
// Each proof is a round of heartbeats, and one for each refusal would use up the leader's
// processor when it sheds load. Callers do not notice a delay of this length.
const leadershipProofInterval = 50 * time.Millisecond

// refusalAnswers holds answers that wait for a proof of leadership. A successor of this leader
// could have accepted an earlier request of a flow that is refused here.
type refusalAnswers struct {
	waiting []func()
	// requestedAt is when the last proof was requested, pending is true until it is answered.
	requestedAt time.Duration
	pending     bool
}

// answerAfterProof runs answer when it is proved that this replica led after receivedAt.
func (d *Dispatcher) answerAfterProof(receivedAt time.Duration, answer func()) {
	a := &d.leader.admission.refusalAnswers
	a.waiting = append(a.waiting, answer)
	d.proveLeadership(max(receivedAt, d.Now()))
}

// proveLeadership requests one proof of leadership for all waiting answers, unless one was
// requested recently.
func (d *Dispatcher) proveLeadership(now time.Duration) {
	a := &d.leader.admission.refusalAnswers
	if len(a.waiting) == 0 || a.pending || now-a.requestedAt < leadershipProofInterval {
		return
	}
	answers := a.waiting
	a.waiting, a.requestedAt, a.pending = nil, now, true
	d.Host.AfterLeadershipProof(now, func() {
		a.pending = false
		for _, answer := range answers {
			answer()
		}
	})
}
