package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/admission"
	"gypsumreel/internal/policy/forecast"
	"gypsumreel/internal/policy/rate"
	"gypsumreel/internal/policy/refused"
	"gypsumreel/internal/policy/steps"
)

// admissionState is what the leader knows for its decisions about submitted flows.
type admissionState struct {
	// rates holds the guaranteed rates in flows per second according to ratesConfig, and
	// buckets their use, both by customer. buckets is nil while customers do not compete.
	ratesConfig *flow.Config
	rates       map[string]float64
	buckets     map[string]rate.Bucket

	forecastState
	// refused holds the ids of the flows that were refused recently.
	refused refused.Set
	refusalAnswers
	// refusalLabels holds the customers and queues by which refusals are counted.
	refusalLabels map[refusalLabel]bool
	// loggedLines counts the log lines about refusals in loggedSecond, the number of the second
	// on the leader's clock.
	loggedSecond time.Duration
	loggedLines  int
}

// submission is a flow that a caller submits.
type submission struct {
	id, customer string
	queue        *v1.Queue
	// judged is true when the flow was compared with a forecast. The next three are set then:
	// the work with which it begins, what the decision depends on, and the used part of the
	// customer's burst, from 0 to 1.
	judged bool
	work   forecast.Work
	flow   admission.Flow
	used   float64

	// reason is why the flow is refused, and empty if it is not. The caller may submit it again
	// after retryAfter.
	reason     admission.Reason
	retryAfter time.Duration
	// refusedAt is set when the forecast was the reason.
	refusedAt time.Duration
}

// class returns the place of the flow in the order of the plan.
func (f *submission) class() forecast.Class {
	return forecast.Class{Surplus: f.flow.Surplus, Priority: f.queue.GetPriority()}
}

// refusedBefore is the reason of a refusal when the flow was refused already and the request may
// have begun before that.
const refusedBefore admission.Reason = "refused-before"

// judge decides whether a submitted flow is refused. While customers do not compete, that
// happens only to a request that may have begun before its flow was refused.
func (d *Dispatcher) judge(a *inner.FlowAsk, f *submission) {
	state, now := &d.leader.admission, d.Now()
	if state.refused.Covers(f.id, d.begunAt(a), now) {
		f.reason, f.retryAfter = refusedBefore, admission.MinRetry
		return
	}
	if !d.leader.contended {
		return
	}
	d.updateRateUse()
	if !canBeLate(a.GetSpec()) {
		return
	}
	d.setInputs(a.GetSpec(), f, now)
	reason := admission.Decide(f.flow)
	if reason == admission.Accepted || state.refused.Full(now) {
		return
	}
	f.reason, f.refusedAt, f.retryAfter = reason, now, admission.RetryAfter(f.flow, jitterOf(f.id))
	state.refused.Add(f.id, now)
	if len(state.refusals) < maxCheckedRefusals {
		state.refusals = append(state.refusals, f)
	}
}

// begunAt returns the earliest time at which the entry can have received the request, or 0 if it
// is not known: the request comes from an entry of an earlier build, or began under another
// leader.
func (d *Dispatcher) begunAt(a *inner.FlowAsk) time.Duration {
	if a.GetBegunTerm() != d.leader.term {
		return 0
	}
	return millis.Duration(a.GetBegun())
}

// canBeLate reports whether the end of the flow has an objective that counts from now.
func canBeLate(spec *v1.FlowSpec) bool {
	for _, s := range spec.GetSteps() {
		if s.GetLasting() {
			return false
		}
	}
	return spec.GetTimes() == 0
}

// setInputs sets what the decision about a flow depends on.
func (d *Dispatcher) setInputs(spec *v1.FlowSpec, f *submission, now time.Duration) {
	clock := d.Host.LedgerTime()
	bucket, guaranteed := d.guaranteedBucket(f.customer)
	f.judged, f.work = true, firstWork(spec)
	maxAge := guaranteedForecastAge
	if guaranteed {
		f.used = bucket.Used(clock)
		if f.flow.Surplus = bucket.Exceeded(clock); f.flow.Surplus {
			maxAge = surplusForecastAge
		}
	}
	timing, age := steps.SubmitTiming(spec, f.queue), d.leader.admission.refused.Age(f.id, now)
	f.flow.Slack, f.flow.WorthlessAfter = timing.Objective-timing.Remaining-age, timing.WorthlessAfter()-age
	d.refreshForecast(maxAge, now)
	f.flow.Begin = d.forecastBegin(f)
}

// firstWork returns the work with which a flow begins. Its tasks count as the smallest ones of
// the first steps, because those fit first.
func firstWork(spec *v1.FlowSpec) (w forecast.Work) {
	total := int64(0)
	for _, s := range spec.GetSteps() {
		if len(s.GetAfter()) > 0 {
			continue
		}
		cpu := s.GetSize().GetCpu()
		total += cpu * int64(s.GetCount())
		if w.TaskCPU == 0 || cpu < w.TaskCPU {
			w.TaskCPU = cpu
		}
		w.Runtime = max(w.Runtime, millis.Duration(s.GetRuntime()))
	}
	if w.TaskCPU > 0 {
		w.Tasks = (total + w.TaskCPU - 1) / w.TaskCPU
	}
	return w
}

// jitterOf returns a number in [0, 1) that depends on the id of a flow.
func jitterOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// refuse refuses a flow as not run.
func (d *Dispatcher) refuse(f *submission, receivedAt time.Duration, reply func(*inner.FlowAnswer)) {
	err := code.New(code.Overloaded, "%s", refusalDetail(f.reason))
	d.countRefusal(f.customer, err.Code)
	d.countAdmissionRefusal(f)
	d.logRefusal(f, err)
	d.answerAfterProof(receivedAt, func() {
		if accepted, ok := d.Host.Flows().Flow(f.id); ok && (origin{customer: f.customer, queue: f.queue}).mayAccess(accepted) {
			answer := stateAnswer(accepted) // a later request was accepted meanwhile
			d.Host.AfterCommit(func() { reply(answer) })
			return
		}
		reply(refusalAnswer(err, f.retryAfter))
	})
}

// maxRefusalLines limits the log lines about refusals in a second. All refusals are counted in
// the metrics.
const maxRefusalLines = 100

// logRefusal logs a refusal with the inputs of the decision.
func (d *Dispatcher) logRefusal(f *submission, err *code.Error) {
	state, second := &d.leader.admission, d.Now()/time.Second
	if state.loggedSecond != second {
		state.loggedSecond, state.loggedLines = second, 0
	}
	if state.loggedLines++; state.loggedLines > maxRefusalLines {
		return
	}
	event.LogError(d.Log, event.FlowRefused, err, "flow", f.id, "queue", f.queue.GetName(), "customer", f.customer, "reason", string(f.reason), "contended", d.leader.contended, "used", f.used, "begin", f.flow.Begin.String(), "slack", f.flow.Slack.String(), "worthless", f.flow.WorthlessAfter.String(), "retry", f.retryAfter.String())
}

// refusalDetail returns the reason of a refusal in words.
func refusalDetail(reason admission.Reason) string {
	switch reason {
	case admission.BeyondRate:
		return "beyond the customer's rate while room is short"
	case admission.NoValue:
		return "the flow would begin when its end has no value any more"
	}
	return "an earlier request of a flow that was refused"
}

// refusalLabel identifies a customer and queue in a metric.
type refusalLabel struct{ customer, queue string }

// maxRefusalLabels limits the customers and queues in metrics. The others are counted together.
const maxRefusalLabels = 200

// countAdmissionRefusal counts a refusal by customer and queue.
func (d *Dispatcher) countAdmissionRefusal(f *submission) {
	state, label := &d.leader.admission, refusalLabel{f.customer, f.queue.GetName()}
	if state.refusalLabels == nil {
		state.refusalLabels = map[refusalLabel]bool{}
	}
	if !state.refusalLabels[label] && len(state.refusalLabels) >= maxRefusalLabels {
		label = refusalLabel{"other", "other"}
	}
	state.refusalLabels[label] = true
	d.flowMetrics.incrementCounter("admission_refused_total", meter.Label{Name: "customer", Value: label.customer}, meter.Label{Name: "queue", Value: label.queue}, meter.Label{Name: "reason", Value: string(f.reason)})
}
