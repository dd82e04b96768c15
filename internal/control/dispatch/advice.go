package dispatch

import (
	"context"
	"iter"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/helpers"
	"gypsumreel/internal/policy/steps"
)

// Limits of questions to the adviser.
const (
	// permitMarginDivisor is the divisor of a permit's validity that gives the time
	// reserved for the commit and the call to the server. A server refuses a start whose
	// permit has expired.
	permitMarginDivisor = 5
	// adviceTimeoutMargin is added to the expected duration of a question to obtain its
	// timeout.
	adviceTimeoutMargin = time.Second
	// adviceRetryPause is the pause before a failed question is sent again.
	adviceRetryPause = 100 * time.Millisecond
)

// stepAdvice holds the adviser's answers about one step.
type stepAdvice struct {
	// allowedServers holds, for each server that the adviser was asked about, whether
	// the server may run the step. The adviser never changes that answer.
	allowedServers map[string]bool
	// permits holds the latest permit of each server.
	permits map[string]permit
	// pendingQuestions is the number of questions that are not answered yet.
	pendingQuestions int
	nextQuestionAt   time.Duration
}

type permit struct {
	ticket      string
	incarnation int64
	validUntil  time.Duration
}

// permissionsFor returns the known permissions of a step by server, for the planner.
func (d *Dispatcher) permissionsFor(id flow.StepID) iter.Seq2[string, steps.Permission] {
	known := d.leader.adviceByStep[id]
	if known == nil {
		known = &stepAdvice{}
	}
	return steps.Permissions(known.allowedServers, func(server string) bool {
		held, ok := known.permits[server]
		sess := d.leader.sessions[server]
		return ok && d.leader.plannedAt < held.validUntil && sess != nil && sess.incarnation == held.incarnation
	})
}

// replaceQuestions replaces the pending questions by those of a new plan and sends as many
// as there are free helpers. The other questions are sent as helpers
// become free.
func (d *Dispatcher) replaceQuestions(wants []steps.Question, now time.Duration) {
	d.leader.pendingQuestions = wants
	d.askPendingQuestions(now)
}

// askPendingQuestions sends pending questions of the latest plan while helpers are free. It
// also runs after each answer. Otherwise a helper would answer only one question per plan
// under high load, even if the adviser is fast. While customers compete, a long question that
// waits keeps short ones for work of less value from the helpers: they would enlarge the
// reserve for short questions, and the long one would wait on.
func (d *Dispatcher) askPendingQuestions(now time.Duration) {
	var remaining []steps.Question
	var busy busyHelpers
	shortest := d.shortestQuestion()
	for i, want := range d.leader.pendingQuestions {
		if busy.shortQuestions {
			remaining = append(remaining, d.leader.pendingQuestions[i:]...)
			break
		}
		if d.leader.planView.Contended && busy.longQuestions && want.Item.Deferrable() {
			remaining = append(remaining, want)
			continue
		}
		if !d.askAdviserAbout(want, shortest, &busy, now) {
			remaining = append(remaining, want)
		}
	}
	d.leader.pendingQuestions = remaining
}

// busyHelpers records for which kinds of questions no helper is free.
type busyHelpers struct{ shortQuestions, longQuestions bool }

// askAdviserAbout sends the questions about one step. It returns false when no helper is
// free for them.
func (d *Dispatcher) askAdviserAbout(want steps.Question, shortest time.Duration, busy *busyHelpers, now time.Duration) bool {
	q, ok := d.Host.Flows().QueueOf(want.Item.Flow)
	if !ok || q.GetAdvice() == nil || want.Item.Flow.Final() || want.Item.QueuedTasks == 0 {
		return true
	}
	advice := d.leader.adviceByStep[want.Item.StepID]
	if advice == nil {
		advice = &stepAdvice{allowedServers: map[string]bool{}, permits: map[string]permit{}}
		d.leader.adviceByStep[want.Item.StepID] = advice
	}
	if advice.pendingQuestions > 0 || now < advice.nextQuestionAt {
		return true
	}
	isLong := helpers.IsLong(steps.QuestionDuration(q.GetAdvice(), len(want.Servers)), shortest)
	if isLong && busy.longQuestions {
		return false
	}
	for i, servers := range d.helperPool.SplitServers(want.Servers, steps.MaxServersPerQuestion, isLong, now) {
		expectedTime := steps.QuestionDuration(q.GetAdvice(), len(servers))
		long := helpers.IsLong(expectedTime, shortest)
		helper := d.helperPool.Acquire(long, now)
		if helper == nil {
			busy.longQuestions = true
			busy.shortQuestions = busy.shortQuestions || !long
			return i > 0
		}
		d.sendQuestion(helper, steps.Question{Item: want.Item, Servers: servers}, advice, q.GetAdvice(), expectedTime)
	}
	return true
}

// shortestQuestion returns the shortest expected duration of a question over all queues.
func (d *Dispatcher) shortestQuestion() time.Duration {
	var shortest time.Duration
	for _, q := range d.Host.Flows().Config().GetQueues() {
		if q.GetAdvice() == nil {
			continue
		}
		if cost := steps.QuestionDuration(q.GetAdvice(), steps.MinServersPerQuestion); shortest == 0 || cost < shortest {
			shortest = cost
		}
	}
	return shortest
}

// sendQuestion asks the adviser through a helper.
func (d *Dispatcher) sendQuestion(helper *helpers.Helper, want steps.Question, advice *stepAdvice, config *v1.Advice, expectedTime time.Duration) {
	id := want.Item.StepID
	advice.pendingQuestions++
	incarnations := map[string]int64{}
	for _, s := range want.Servers {
		if sess := d.leader.sessions[s]; sess != nil {
			incarnations[s] = sess.incarnation
		}
	}
	timeout := expectedTime + adviceTimeoutMargin
	req := &inner.AdviseRequest{
		Cell: d.Cell, Flow: id.Flow, Turn: id.Turn, Step: id.Step, Servers: want.Servers, Budget: uint64(timeout / time.Millisecond),
	}
	term, ctx, address, sentAt := d.leader.term, d.leader.ctx, helper.Address, d.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := d.Helpers.Advise(ctx, address, req)
		receivedAt := d.Now()
		d.Host.Post(func() {
			d.helperPool.Release(helper, code.Code(reply.GetCode()) == code.OK, receivedAt)
			if d.leader != nil && d.leader.term == term {
				d.handleAdvice(id, advice, incarnations, reply, config, sentAt, receivedAt)
				d.askPendingQuestions(receivedAt)
			}
		})
	}()
}

// handleAdvice processes the adviser's answer.
func (d *Dispatcher) handleAdvice(id flow.StepID, advice *stepAdvice, incarnations map[string]int64, reply *inner.AdviseReply, config *v1.Advice, sentAt, receivedAt time.Duration) {
	advice.pendingQuestions--
	d.leader.planNeeded = true
	d.flowMetrics.observeQuestion(code.Code(reply.GetCode()), receivedAt-sentAt)
	if c := code.Code(reply.GetCode()); c != code.OK {
		advice.nextQuestionAt = receivedAt + adviceRetryPause
		event.Log(d.Log, event.AdviceFailed, "flow", id.Flow, "step", id.String(), "code", uint32(c), "detail", reply.GetDetail(), "took", (receivedAt - sentAt).String())
		return
	}
	validMillis := reply.GetValid()
	if validMillis == 0 {
		validMillis = config.GetValid()
	}
	validUntil := receivedAt + time.Duration(validMillis)*time.Millisecond*(permitMarginDivisor-1)/permitMarginDivisor
	newServers, newlyAllowed := 0, 0
	for server := range incarnations {
		if _, known := advice.allowedServers[server]; !known {
			advice.allowedServers[server] = false
			newServers++
		}
	}
	for _, granted := range reply.GetPermits() {
		if !advice.allowedServers[granted.GetServer()] {
			newlyAllowed++
		}
		advice.allowedServers[granted.GetServer()] = true
		advice.permits[granted.GetServer()] = permit{ticket: granted.GetTicket(), incarnation: incarnations[granted.GetServer()], validUntil: validUntil}
	}
	d.learnPermitShare(id, newServers, newlyAllowed)
	event.Log(d.Log, event.AdviceTaken, "flow", id.Flow, "step", id.String(), "asked", len(incarnations), "permits", len(reply.GetPermits()), "took", (receivedAt - sentAt).String())
}

// defaultPermitShare is the assumed share of servers that are permitted to run a step while
// a queue has no answers yet. permitShareWeight is the weight of the latest answer in the
// moving average.
const (
	defaultPermitShare = 0.5
	permitShareWeight  = 0.1
)

// learnPermitShare updates a queue's share of permitted servers from an answer. Only
// servers that were asked about for the first time count.
func (d *Dispatcher) learnPermitShare(id flow.StepID, askedServers, permittedServers int) {
	f, ok := d.Host.Flows().Flow(id.Flow)
	if !ok || askedServers == 0 {
		return
	}
	share, known := d.leader.permitShares[f.QueueName]
	if !known {
		share = defaultPermitShare
	}
	d.leader.permitShares[f.QueueName] = share + permitShareWeight*(float64(permittedServers)/float64(askedServers)-share)
}

// permitShare returns the expected share of servers that are permitted to run a step.
func (d *Dispatcher) permitShare(item steps.Item) float64 {
	if share, ok := d.leader.permitShares[item.Flow.QueueName]; ok {
		return share
	}
	return defaultPermitShare
}
