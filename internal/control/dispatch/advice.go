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
	"gypsumreel/internal/policy/crew"
	"gypsumreel/internal/policy/steps"
)

// Bounds of questions to the adviser.
const (
	// permitMarginDivisor is the part of a permit's time that is kept for the commit and
	// the way to the server: a start with a permit that is over is refused.
	permitMarginDivisor = 5
	// adviceTimeoutMargin is what a question may take beyond what it should.
	adviceTimeoutMargin = time.Second
	// adviceRetryPause is the pause before a question that failed is asked again.
	adviceRetryPause = 100 * time.Millisecond
)

// stepAdvice is what is known of the adviser's mind about one step.
type stepAdvice struct {
	// allowedServers tells which servers may run the step; it never changes.
	allowedServers map[string]bool
	// permits are those at hand, by server.
	permits map[string]permit
	// pendingQuestions counts the questions under way.
	pendingQuestions int
	nextQuestionAt   time.Duration
}

type permit struct {
	ticket      string
	incarnation int64
	validUntil  time.Duration
}

// permissionsFor tells the planner what is known of a step on servers.
func (d *Dispatcher) permissionsFor(id flow.StepID) iter.Seq2[string, steps.Permission] {
	a := d.leader.adviceByStep[id]
	if a == nil {
		a = &stepAdvice{}
	}
	return steps.Permissions(a.allowedServers, func(server string) bool {
		p, ok := a.permits[server]
		s := d.leader.sessions[server]
		return ok && d.leader.plannedAt < p.validUntil && s != nil && s.incarnation == p.incarnation
	})
}

// replaceQuestions asks what a plan wants to know, as far as helpers are free, and keeps
// the rest for those that become free before the next plan.
func (d *Dispatcher) replaceQuestions(wants []steps.Want, now time.Duration) {
	d.leader.pendingQuestions = wants
	d.askPendingQuestions(now)
}

// askPendingQuestions asks what the latest plan wants to know, as far as helpers are free. With
// much waiting, a helper that rested until the next plan would give one answer a
// plan, however quick the adviser is.
func (d *Dispatcher) askPendingQuestions(now time.Duration) {
	var left []steps.Want
	var none busyHelpers
	shortest := d.shortestQuestion()
	for i, w := range d.leader.pendingQuestions {
		if none.shortQuestions {
			left = append(left, d.leader.pendingQuestions[i:]...)
			break
		}
		if !d.askAdviserAbout(w, shortest, &none, now) {
			left = append(left, w)
		}
	}
	d.leader.pendingQuestions = left
}

// busyHelpers tells for which questions no helper is free.
type busyHelpers struct{ shortQuestions, longQuestions bool }

// askAdviserAbout asks what is wanted of a step; false when no helper is free for it.
func (d *Dispatcher) askAdviserAbout(w steps.Want, shortest time.Duration, none *busyHelpers, now time.Duration) bool {
	q, ok := d.Host.Flows().QueueOf(w.Item.Flow)
	if !ok || q.GetAdvice() == nil || w.Item.Flow.Final() || w.Item.Queued == 0 {
		return true
	}
	a := d.leader.adviceByStep[w.Item.StepID]
	if a == nil {
		a = &stepAdvice{allowedServers: map[string]bool{}, permits: map[string]permit{}}
		d.leader.adviceByStep[w.Item.StepID] = a
	}
	if a.pendingQuestions > 0 || now < a.nextQuestionAt {
		return true
	}
	whole := crew.Long(steps.Cost(q.GetAdvice(), len(w.Servers)), shortest)
	if whole && none.longQuestions {
		return false
	}
	for i, servers := range d.helperPool.Split(w.Servers, steps.MostAsked, whole, now) {
		takes := steps.Cost(q.GetAdvice(), len(servers))
		long := crew.Long(takes, shortest)
		h := d.helperPool.Take(long, now)
		if h == nil {
			none.longQuestions = true
			none.shortQuestions = none.shortQuestions || !long
			return i > 0
		}
		d.sendQuestion(h, steps.Want{Item: w.Item, Servers: servers}, a, q.GetAdvice(), takes)
	}
	return true
}

// shortestQuestion returns the time of the shortest kind of question there is.
func (d *Dispatcher) shortestQuestion() time.Duration {
	var least time.Duration
	for _, q := range d.Host.Flows().Config().GetQueues() {
		if q.GetAdvice() == nil {
			continue
		}
		if c := steps.Cost(q.GetAdvice(), steps.LeastAsked); least == 0 || c < least {
			least = c
		}
	}
	return least
}

// sendQuestion lets a helper ask the adviser.
func (d *Dispatcher) sendQuestion(h *crew.Helper, w steps.Want, a *stepAdvice, terms *v1.Advice, takes time.Duration) {
	id := w.Item.StepID
	a.pendingQuestions++
	lives := map[string]int64{}
	for _, s := range w.Servers {
		if one := d.leader.sessions[s]; one != nil {
			lives[s] = one.incarnation
		}
	}
	timeout := takes + adviceTimeoutMargin
	req := &inner.AdviseRequest{
		Cell: d.Cell, Flow: id.Flow, Turn: id.Turn, Step: id.Step, Servers: w.Servers, Budget: uint64(timeout / time.Millisecond),
	}
	term, ctx, address, sent := d.leader.term, d.leader.ctx, h.Address, d.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		rep := d.Helpers.Advise(ctx, address, req)
		came := d.Now()
		d.Host.Post(func() {
			d.helperPool.Free(h, code.Code(rep.GetCode()) == code.OK, came)
			if d.leader != nil && d.leader.term == term {
				d.handleAdvice(id, a, lives, rep, terms, sent, came)
				d.askPendingQuestions(came)
			}
		})
	}()
}

// handleAdvice takes the adviser's answer.
func (d *Dispatcher) handleAdvice(id flow.StepID, a *stepAdvice, lives map[string]int64, rep *inner.AdviseReply, terms *v1.Advice, sent, came time.Duration) {
	a.pendingQuestions--
	d.leader.planNeeded = true
	d.flowMetrics.observeQuestion(code.Code(rep.GetCode()), came-sent)
	if c := code.Code(rep.GetCode()); c != code.OK {
		a.nextQuestionAt = came + adviceRetryPause
		event.Log(d.Log, event.AdviceFailed, "flow", id.Flow, "step", id.String(), "code", uint32(c), "detail", rep.GetDetail(), "took", (came - sent).String())
		return
	}
	valid := rep.GetValid()
	if valid == 0 {
		valid = terms.GetValid()
	}
	until := came + time.Duration(valid)*time.Millisecond*(permitMarginDivisor-1)/permitMarginDivisor
	news, allowed := 0, 0
	for server := range lives {
		if _, known := a.allowedServers[server]; !known {
			a.allowedServers[server] = false
			news++
		}
	}
	for _, p := range rep.GetPermits() {
		if !a.allowedServers[p.GetServer()] {
			allowed++
		}
		a.allowedServers[p.GetServer()] = true
		a.permits[p.GetServer()] = permit{ticket: p.GetTicket(), incarnation: lives[p.GetServer()], validUntil: until}
	}
	d.learnPermitShare(id, news, allowed)
	event.Log(d.Log, event.AdviceTaken, "flow", id.Flow, "step", id.String(), "asked", len(lives), "permits", len(rep.GetPermits()), "took", (came - sent).String())
}

// usualShare is the part of the servers asked about that may run a step, while
// nothing is known of its queue; shareWeight is the weight of the latest answer.
const (
	defaultPermitShare = 0.5
	permitShareWeight  = 0.1
)

// learnPermitShare notes which part of the servers that were asked about for the first
// time may run a step.
func (d *Dispatcher) learnPermitShare(id flow.StepID, asked, permits int) {
	f, ok := d.Host.Flows().Flow(id.Flow)
	if !ok || asked == 0 {
		return
	}
	old, known := d.leader.permitShares[f.Queue]
	if !known {
		old = defaultPermitShare
	}
	d.leader.permitShares[f.Queue] = old + permitShareWeight*(float64(permits)/float64(asked)-old)
}

// permitShare returns the part of the servers asked about that usually may run a step.
func (d *Dispatcher) permitShare(it steps.Item) float64 {
	if share, ok := d.leader.permitShares[it.Flow.Queue]; ok {
		return share
	}
	return defaultPermitShare
}
