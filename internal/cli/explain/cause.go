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

// minWaitShare is the part of its objective that a wait has to take to count as the cause.
const minWaitShare = 0.15

// flowHistory is what the logs tell of one flow.
type flowHistory struct {
	queue, customer string
	// acceptedAt, answered, placed and ended are when it was accepted, when the
	// adviser first answered about it, when its first task was placed and when its
	// last one ended; zero for never.
	acceptedAt, firstAdviceAt, firstPlacedAt, endedAt time.Time
	// lastSeenAt is when the logs last speak of it.
	lastSeenAt time.Time
	// objective is its objective; 0 where the logs do not tell.
	objective time.Duration
	state     string
	// lostRuns, failed and moved count its runs that did not end well.
	lostRuns, failedRuns, movedRuns int
	// givenUp tells that servers crashed under it too often.
	givenUp bool
	// refusalCode is the code of the last refusal.
	refusalCode int
}

// addLine takes one line about the flow.
func (j *flowHistory) addLine(l logLine) {
	j.lastSeenAt = l.Time
	switch l.EventName {
	case "flow-accepted":
		if j.acceptedAt.IsZero() {
			j.acceptedAt = l.Time
		}
		j.queue, j.customer = stringField(l, "queue"), stringField(l, "customer")
		j.objective, _ = time.ParseDuration(stringField(l, "aim"))
	case "call-answered":
		if n, ok := l.Fields["code"].(float64); ok && n != 0 && strings.Contains(stringField(l, "verb"), "SUBMIT") {
			j.refusalCode = int(n)
		}
	case "advice-taken":
		setIfZero(&j.firstAdviceAt, l.Time)
	case "runs-placed":
		setIfZero(&j.firstPlacedAt, l.Time)
	case "run-moved":
		j.movedRuns++
	case "run-ended":
		j.addRunEnd(l)
	case "attempt-lost":
		j.lostRuns++
	case "flow-given-up":
		j.givenUp = true
		setIfZero(&j.endedAt, l.Time)
		j.state = "FAILED"
	case "flow-cancelled":
		j.state = "CANCELLED"
	}
}

func (j *flowHistory) addRunEnd(l logLine) {
	switch strings.TrimPrefix(stringField(l, "how"), "RUN_END_") {
	case "FAILED":
		j.failedRuns++
	case "LOST", "LAPSED":
		j.lostRuns++
	}
	if state := strings.TrimPrefix(stringField(l, "state"), "FLOW_STATE_"); j.endedAt.IsZero() && (state == "DONE" || state == "FAILED") {
		j.endedAt, j.state = l.Time, state
	}
}

// duration returns how long the flow took, or has taken when the logs end.
func (j *flowHistory) duration(logsEnd time.Time) time.Duration {
	if !j.endedAt.IsZero() {
		logsEnd = j.endedAt
	}
	return logsEnd.Sub(j.acceptedAt)
}

// cause tells why the flow was late or not served; changes are when the lead changed.
func (j *flowHistory) cause(leaderChanges []time.Time, logsEnd time.Time) Cause {
	switch {
	case j.acceptedAt.IsZero() && j.endedAt.IsZero() && j.refusalCode != 0:
		return CauseRefused
	case j.acceptedAt.IsZero():
		return CauseUnknown
	case j.state == "CANCELLED":
		return CauseCancelled
	case j.givenUp:
		return CauseServerCrashes
	case j.state == "FAILED":
		return CauseFailed
	case j.state == "DONE" && (j.objective == 0 || j.duration(logsEnd) <= j.objective):
		return CauseInTime
	}
	minWait := time.Duration(minWaitShare * float64(j.objective))
	switch {
	case j.leaderChangedMeanwhile(leaderChanges, logsEnd):
		return CauseLeaderChanged
	case j.lostRuns > 0:
		return CauseRunLost
	case j.movedRuns > 0:
		return CauseRunStalled
	case j.failedRuns > 0:
		return CauseTaskFailed
	case !j.firstAdviceAt.IsZero() && j.firstAdviceAt.Sub(j.acceptedAt) > minWait:
		return CauseNoPermit
	case j.firstPlacedAt.IsZero() || j.firstPlacedAt.Sub(j.acceptedAt) > minWait:
		return CauseNoCapacity
	case j.endedAt.IsZero():
		return CauseNotEnded
	}
	return CauseSlowRun
}

// leaderChangedMeanwhile tells whether the lead changed while the flow was under way.
func (j *flowHistory) leaderChangedMeanwhile(leaderChanges []time.Time, logsEnd time.Time) bool {
	if !j.endedAt.IsZero() {
		logsEnd = j.endedAt
	}
	for _, at := range leaderChanges {
		if at.After(j.acceptedAt) && at.Before(logsEnd) {
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
