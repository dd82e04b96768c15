package explain

import (
	"strings"
	"time"
)

// Cause is what made a flow late or kept it from its end, by the first that fits.
type Cause string

// The causes.
const (
	// CauseInTime is no cause: the flow ended within its objective.
	CauseInTime Cause = "in time"
	// CauseRefused flows were never accepted.
	CauseRefused Cause = "refused"
	// CauseUnknown flows have no acceptance in the logs.
	CauseUnknown Cause = "not known"
	// CauseFailed flows have a task that failed as often as it may.
	CauseFailed Cause = "failed for good"
	// CauseCancelled flows were cancelled by their caller.
	CauseCancelled Cause = "cancelled"
	// CauseLeaderChanged flows waited while the lead changed.
	CauseLeaderChanged Cause = "change of the leader"
	// CauseServerCrashes flows were given up: servers crashed under a task again and again.
	CauseServerCrashes Cause = "crashed its servers"
	// CauseRunLost flows had a run that ended with its server, or never started.
	CauseRunLost Cause = "run lost"
	// CauseRunStalled flows had a run that was moved since it stood still or crawled.
	CauseRunStalled Cause = "run stood still"
	// CauseTaskFailed flows had a run that failed and was made again.
	CauseTaskFailed Cause = "task failed"
	// CauseNoPermit flows waited for the adviser.
	CauseNoPermit Cause = "no permit yet"
	// CauseNoCapacity flows waited for room, or for their customer's limit.
	CauseNoCapacity Cause = "no room"
	// CauseSlowRun flows were placed in time and ran for longer than was declared.
	CauseSlowRun Cause = "slow run"
	// CauseNotEnded flows have no end in the logs, and no other cause.
	CauseNotEnded Cause = "not ended"
)

// waitPart is the part of its objective that a wait has to take to count as the cause.
const waitPart = 0.15

// journey is what the logs tell of one flow.
type journey struct {
	queue, customer string
	// accepted, answered, placed and ended are when it was accepted, when the
	// adviser first answered about it, when its first task was placed and when its
	// last one ended; zero for never.
	accepted, answered, placed, ended time.Time
	// last is when the logs last speak of it.
	last time.Time
	// aim is its objective; 0 where the logs do not tell.
	aim   time.Duration
	state string
	// lost, failed and moved count its runs that did not end well.
	lost, failed, moved int
	// gaveUp tells that servers crashed under it too often.
	gaveUp bool
	// refusal is the code of the last refusal.
	refusal int
}

// take takes one line about the flow.
func (j *journey) take(l line) {
	j.last = l.Time
	switch l.EventName {
	case "flow-accepted":
		if j.accepted.IsZero() {
			j.accepted = l.Time
		}
		j.queue, j.customer = text(l, "queue"), text(l, "customer")
		j.aim, _ = time.ParseDuration(text(l, "aim"))
	case "call-answered":
		if n, ok := l.Fields["code"].(float64); ok && n != 0 && strings.Contains(text(l, "verb"), "SUBMIT") {
			j.refusal = int(n)
		}
	case "advice-taken":
		first(&j.answered, l.Time)
	case "runs-placed":
		first(&j.placed, l.Time)
	case "run-moved":
		j.moved++
	case "run-ended":
		j.end(l)
	case "attempt-lost":
		j.lost++
	case "flow-given-up":
		j.gaveUp = true
		first(&j.ended, l.Time)
		j.state = "FAILED"
	case "flow-cancelled":
		j.state = "CANCELLED"
	}
}

func (j *journey) end(l line) {
	switch strings.TrimPrefix(text(l, "how"), "RUN_END_") {
	case "FAILED":
		j.failed++
	case "LOST", "LAPSED":
		j.lost++
	}
	if state := strings.TrimPrefix(text(l, "state"), "FLOW_STATE_"); j.ended.IsZero() && (state == "DONE" || state == "FAILED") {
		j.ended, j.state = l.Time, state
	}
}

// took returns how long the flow took, or has taken when the logs end.
func (j *journey) took(end time.Time) time.Duration {
	if !j.ended.IsZero() {
		end = j.ended
	}
	return end.Sub(j.accepted)
}

// cause tells why the flow was late or not served; changes are when the lead changed.
func (j *journey) cause(changes []time.Time, end time.Time) Cause {
	switch {
	case j.accepted.IsZero() && j.ended.IsZero() && j.refusal != 0:
		return CauseRefused
	case j.accepted.IsZero():
		return CauseUnknown
	case j.state == "CANCELLED":
		return CauseCancelled
	case j.gaveUp:
		return CauseServerCrashes
	case j.state == "FAILED":
		return CauseFailed
	case j.state == "DONE" && (j.aim == 0 || j.took(end) <= j.aim):
		return CauseInTime
	}
	long := time.Duration(waitPart * float64(j.aim))
	switch {
	case j.across(changes, end):
		return CauseLeaderChanged
	case j.lost > 0:
		return CauseRunLost
	case j.moved > 0:
		return CauseRunStalled
	case j.failed > 0:
		return CauseTaskFailed
	case !j.answered.IsZero() && j.answered.Sub(j.accepted) > long:
		return CauseNoPermit
	case j.placed.IsZero() || j.placed.Sub(j.accepted) > long:
		return CauseNoCapacity
	case j.ended.IsZero():
		return CauseNotEnded
	}
	return CauseSlowRun
}

// across tells whether the lead changed while the flow was under way.
func (j *journey) across(changes []time.Time, end time.Time) bool {
	if !j.ended.IsZero() {
		end = j.ended
	}
	for _, at := range changes {
		if at.After(j.accepted) && at.Before(end) {
			return true
		}
	}
	return false
}

func first(at *time.Time, now time.Time) {
	if at.IsZero() {
		*at = now
	}
}

func text(l line, key string) string {
	s, _ := l.Fields[key].(string)
	return s
}
