package explain

import (
	"strings"
	"time"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/policy/admission"
)

// Cause is the reason why a flow was late or did not end. A flow is counted under the
// first cause that applies.
type Cause string

// Causes of late or unfinished flows.
const (
	// CauseInTime means that the flow ended within its objective.
	CauseInTime Cause = "in time"
	// CauseRefused means that the flow was never accepted, for another reason than the next two.
	CauseRefused Cause = "refused"
	// CauseBeyondRate means that the flow was refused because its customer had used its
	// guaranteed rate and the flow could not begin in time.
	CauseBeyondRate Cause = "refused: beyond the customer's rate while room is short"
	// CauseNoValue means that the flow was refused because it would have begun when its end
	// has no value.
	CauseNoValue Cause = "refused: could begin only when its end has no value"
	// CauseUnknown means that the logs do not contain the acceptance of the flow.
	CauseUnknown Cause = "not known"
	// CauseFailed means that a task failed as often as it is allowed to.
	CauseFailed Cause = "failed for good"
	// CauseCancelled means that the caller cancelled the flow.
	CauseCancelled Cause = "cancelled"
	// CauseLeaderChanged means that a new leader was elected while the flow was open.
	CauseLeaderChanged Cause = "change of the leader"
	// CauseServerCrashes means that the cell gave up the flow because a task repeatedly
	// crashed its backend server.
	CauseServerCrashes Cause = "crashed its servers"
	// CauseRunLost means that a run ended with its backend server or never started.
	CauseRunLost Cause = "run lost"
	// CauseRunStalled means that a run made little or no progress and was moved.
	CauseRunStalled Cause = "run stood still"
	// CauseNoProvenServer means that a task with one attempt left waited for a backend server
	// that recently ended a run successfully.
	CauseNoProvenServer Cause = "no proven server"
	// CauseTaskFailed means that a run failed and was repeated.
	CauseTaskFailed Cause = "task failed"
	// CauseNoPermit means that the flow waited for the adviser's permit.
	CauseNoPermit Cause = "no permit yet"
	// CauseNoCapacity means that the flow waited for free capacity or for its customer's
	// limit.
	CauseNoCapacity Cause = "no room"
	// CausePassedOver means that the flow began only after work that could still end in time,
	// while customers competed for too little room.
	CausePassedOver Cause = "behind work in time"
	// CauseSlowRun means that the flow was placed in time but ran longer than declared.
	CauseSlowRun Cause = "slow run"
	// CauseNotEnded means that the logs contain no end of the flow and no other cause.
	CauseNotEnded Cause = "not ended"
)

// minWaitShare is the fraction of the objective above which a wait counts as the cause.
const minWaitShare = 0.15

// isRefusal reports whether the cause is a refusal of the flow, whatever its reason.
func (c Cause) isRefusal() bool {
	return c == CauseRefused || c == CauseBeyondRate || c == CauseNoValue
}

// flowHistory holds what the logs contain about one flow.
type flowHistory struct {
	queue, customer string
	// These are the times of the acceptance of the flow, of the first answer of the adviser
	// about it, of the placement of its first task, and of the end of its last task. Zero
	// means that the logs do not contain the event.
	acceptedAt, firstAdviceAt, firstPlacedAt, endedAt time.Time
	// lastSeenAt is the time of the last log line about the flow.
	lastSeenAt time.Time
	// objective is the time within which the flow should end, 0 if the logs do not
	// contain it.
	objective time.Duration
	// state is the final state of the flow, empty while it is open.
	state string
	// lostRuns, failedRuns and movedRuns are the numbers of runs that were lost, failed, or
	// were moved to another server.
	lostRuns, failedRuns, movedRuns int
	// passedOver is true if the first task was placed as one of the late, surplus or worthless
	// flows, which get what others leave.
	passedOver bool
	// waitedForProof is the total time for which last attempts waited for a proven server.
	waitedForProof time.Duration
	// givenUp is true if the cell gave up the flow after repeated server crashes.
	givenUp bool
	// refusalCode is the result code of the last refused submission.
	refusalCode int
	// refusalReason is the reason of the last refusal by the leader, empty if the result code
	// tells all.
	refusalReason admission.Reason
}

// addLine adds one log line about the flow to its history.
func (h *flowHistory) addLine(l logLine) {
	h.lastSeenAt = l.Time
	switch l.EventName {
	case "flow-accepted":
		if h.acceptedAt.IsZero() {
			h.acceptedAt = l.Time
		}
		h.queue, h.customer = stringField(l, "queue"), stringField(l, "customer")
		h.objective, _ = time.ParseDuration(stringField(l, "aim"))
	case "flow-refused":
		h.queue, h.customer, h.refusalCode = stringField(l, "queue"), stringField(l, "customer"), int(code.Overloaded)
		if reason := admission.Reason(stringField(l, "reason")); reason == admission.BeyondRate || reason == admission.NoValue {
			h.refusalReason = reason
		}
	case "call-answered":
		if n, ok := l.Fields["code"].(float64); ok && n != 0 && strings.Contains(stringField(l, "verb"), "SUBMIT") {
			h.refusalCode = int(n)
		}
	case "advice-taken":
		setIfZero(&h.firstAdviceAt, l.Time)
	case "runs-placed":
		group := stringField(l, "group")
		h.passedOver = h.passedOver || h.firstPlacedAt.IsZero() && (group == "late" || group == "surplus" || group == "worthless")
		setIfZero(&h.firstPlacedAt, l.Time)
	case "last-attempt-placed":
		waited, _ := time.ParseDuration(stringField(l, "waited"))
		h.waitedForProof += waited
	case "run-moved":
		h.movedRuns++
	case "run-ended":
		h.addRunEnd(l)
	case "attempt-lost":
		h.lostRuns++
	case "flow-given-up":
		h.givenUp = true
		setIfZero(&h.endedAt, l.Time)
		h.state = "FAILED"
	case "flow-cancelled":
		h.state = "CANCELLED"
	}
}

// addRunEnd adds the end of a run, and the end of the flow if the line contains its final
// state.
func (h *flowHistory) addRunEnd(l logLine) {
	switch strings.TrimPrefix(stringField(l, "how"), "RUN_END_") {
	case "FAILED":
		h.failedRuns++
	case "LOST", "LAPSED":
		h.lostRuns++
	}
	if state := strings.TrimPrefix(stringField(l, "state"), "FLOW_STATE_"); h.endedAt.IsZero() && (state == "DONE" || state == "FAILED") {
		h.endedAt, h.state = l.Time, state
	}
}

// duration returns the time from acceptance to the end of the flow, or to the end of the
// logs if the flow is open.
func (h *flowHistory) duration(logsEnd time.Time) time.Duration {
	if !h.endedAt.IsZero() {
		logsEnd = h.endedAt
	}
	return logsEnd.Sub(h.acceptedAt)
}

// cause returns the first cause that applies to the flow. The leaderChanges are the times
// of leader elections in the logs.
func (h *flowHistory) cause(leaderChanges []time.Time, logsEnd time.Time) Cause {
	switch {
	case h.acceptedAt.IsZero() && h.endedAt.IsZero() && h.refusalCode != 0:
		return h.refusalCause()
	case h.acceptedAt.IsZero():
		return CauseUnknown
	case h.state == "CANCELLED":
		return CauseCancelled
	case h.givenUp:
		return CauseServerCrashes
	case h.state == "FAILED":
		return CauseFailed
	case h.state == "DONE" && (h.objective == 0 || h.duration(logsEnd) <= h.objective):
		return CauseInTime
	}
	minWait := time.Duration(minWaitShare * float64(h.objective))
	switch {
	case h.leaderChangedMeanwhile(leaderChanges, logsEnd):
		return CauseLeaderChanged
	case h.lostRuns > 0:
		return CauseRunLost
	case h.movedRuns > 0:
		return CauseRunStalled
	case h.waitedForProof > minWait:
		return CauseNoProvenServer
	case h.failedRuns > 0:
		return CauseTaskFailed
	case h.passedOver:
		return CausePassedOver
	case !h.firstAdviceAt.IsZero() && h.firstAdviceAt.Sub(h.acceptedAt) > minWait:
		return CauseNoPermit
	case h.firstPlacedAt.IsZero() || h.firstPlacedAt.Sub(h.acceptedAt) > minWait:
		return CauseNoCapacity
	case h.endedAt.IsZero():
		return CauseNotEnded
	}
	return CauseSlowRun
}

// refusalCause returns why a flow was never accepted.
func (h *flowHistory) refusalCause() Cause {
	switch h.refusalReason {
	case admission.BeyondRate:
		return CauseBeyondRate
	case admission.NoValue:
		return CauseNoValue
	}
	return CauseRefused
}

// leaderChangedMeanwhile reports whether a leader was elected between the acceptance and
// the end of the flow.
func (h *flowHistory) leaderChangedMeanwhile(leaderChanges []time.Time, logsEnd time.Time) bool {
	if !h.endedAt.IsZero() {
		logsEnd = h.endedAt
	}
	for _, changedAt := range leaderChanges {
		if changedAt.After(h.acceptedAt) && changedAt.Before(logsEnd) {
			return true
		}
	}
	return false
}

func setIfZero(stored *time.Time, value time.Time) {
	if stored.IsZero() {
		*stored = value
	}
}

func stringField(l logLine, key string) string {
	s, _ := l.Fields[key].(string)
	return s
}
