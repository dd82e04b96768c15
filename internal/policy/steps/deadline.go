package steps

import (
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/ledger/flows"
)

const (
	// worthlessFactor is the multiple of its objective after which the end of a flow has no
	// value to its caller.
	worthlessFactor = 3
	// minRemainingFactor is the part of the declared remaining run time that a flow is expected
	// to need at least. Declared run times are inaccurate, and a flow that is counted
	// as late too early is placed after others and so does end late.
	minRemainingFactor = 0.75
	// runtimeTolerance is the multiple of its declared run time that a flow may need before it
	// counts as worthless. A flow that is counted as worthless by mistake is placed last and loses
	// its value.
	runtimeTolerance = 2
	// maxWaitShare is the part of its slack that a flow may spend before its first task starts
	// while customers compete. Its tasks wait for permits and for room one after the other, so
	// a flow that begins with its last slack ends late.
	maxWaitShare = 0.75
	// riskWaitShare is the part of its slack after which a flow needs the floor of its queue.
	// Before that it can wait behind work of higher priority as usual.
	riskWaitShare = 0.25
)

// Timing holds the values from which the slack of a step is computed. They do not change once
// the step is ready.
type Timing struct {
	// Objective is the time within which the flow should end. TolerantObjective is the
	// objective of a flow that runs much longer than declared. Remaining is the declared run
	// time of the unfinished part of the critical path.
	Objective         time.Duration
	TolerantObjective time.Duration
	Remaining         time.Duration
}

// TimingOf returns the timing of a step whose flow is in the given queue.
func TimingOf(s *flows.Step, q *v1.Queue) Timing {
	return timing(s.Flow.Spec, s.Flow.Turns[s.Turn], q)
}

// SubmitTiming returns the timing of a flow that has not begun.
func SubmitTiming(spec *v1.FlowSpec, q *v1.Queue) Timing { return timing(spec, nil, q) }

// timing returns the timing of a flow with the given turn in progress, or of one that has not
// begun if turn is nil.
func timing(spec *v1.FlowSpec, turn *flows.Turn, q *v1.Queue) Timing {
	total := float64(criticalPath(spec, nil))
	return Timing{
		Objective: objective(q, total), TolerantObjective: objective(q, runtimeTolerance*total),
		Remaining: millis.Duration(criticalPath(spec, turn)),
	}
}

// WorthlessAfter returns the age from which the end of a flow has no value to its caller if
// nothing more of the flow is done until then.
func (t Timing) WorthlessAfter() time.Duration {
	return worthlessFactor*t.TolerantObjective - time.Duration(minRemainingFactor*float64(t.Remaining))
}

// Objective returns the time within which a flow of a queue should end.
func Objective(spec *v1.FlowSpec, q *v1.Queue) time.Duration {
	return objective(q, float64(criticalPath(spec, nil)))
}

// objective returns the time within which a flow should end whose critical path has the given
// run time in milliseconds.
func objective(q *v1.Queue, runtime float64) time.Duration {
	return millis.Scale(q.GetFactor()*runtime + float64(q.GetTarget()))
}

// criticalPath returns the declared run time in milliseconds of the longest chain of dependent
// steps of a flow. With a turn, it counts unfinished steps only.
func criticalPath(spec *v1.FlowSpec, turn *flows.Turn) uint64 {
	endTimes := make([]uint64, len(spec.GetSteps()))
	longest := uint64(0)
	for i, s := range spec.GetSteps() {
		if turn == nil || turn.Steps[i].DoneTasks < len(turn.Steps[i].Tasks) {
			endTimes[i] = s.GetRuntime()
		}
		startTime := uint64(0)
		for _, predecessor := range s.GetAfter() {
			startTime = max(startTime, endTimes[predecessor])
		}
		endTimes[i] += startTime
		longest = max(longest, endTimes[i])
	}
	return longest
}

// WithAge returns the item with Slack, Late and Worthless computed from the age of its flow.
func (item Item) WithAge(t Timing, age time.Duration) Item {
	minDuration := age + time.Duration(minRemainingFactor*float64(t.Remaining))
	finite := !item.Spec.GetLasting()
	item.Slack = t.Objective - age - t.Remaining
	// Urgent work is never marked late: its callers keep waiting, and it is short.
	item.Late = finite && !item.Urgent && minDuration > t.Objective
	item.Worthless = finite && minDuration > worthlessFactor*t.TolerantObjective
	item.Overdue = finite && item.isOverdue(t, age)
	item.AtRisk = float64(age) > riskWaitShare*float64(t.Objective-t.Remaining)
	return item
}

// isOverdue reports whether the flow can probably not end in time while customers compete.
func (item Item) isOverdue(t Timing, age time.Duration) bool {
	switch {
	case item.Urgent:
		// Urgent work is short, and the shorter the work the less accurate is its declared run
		// time.
		return age+runtimeTolerance*t.Remaining > t.TolerantObjective
	case !item.Begun:
		return item.Late || float64(age) > maxWaitShare*float64(t.Objective-t.Remaining)
	}
	return item.Late
}
