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

// Bounds of questions to the adviser.
const (
	// permitParts is the part of a permit's time that is kept for the commit and
	// the way to the server: a start with a permit that is over is refused.
	permitParts = 5
	// adviceSlack is what a question may take beyond what it should.
	adviceSlack = time.Second
	// askPause is the pause before a question that failed is asked again.
	askPause = 100 * time.Millisecond
)

// advice is what is known of the adviser's mind about one step.
type advice struct {
	// may tells which servers may run the step; it never changes.
	may map[string]bool
	// permits are those at hand, by server.
	permits map[string]permit
	// asking counts the questions under way.
	asking int
	next   time.Duration
}

type permit struct {
	ticket string
	born   int64
	until  time.Duration
}

// known tells the planner what is known of a step on servers.
func (d *Dispatcher) known(id flow.StepID) iter.Seq2[string, steps.Permission] {
	a := d.lead.advice[id]
	if a == nil {
		a = &advice{}
	}
	return steps.Permissions(a.may, func(server string) bool {
		p, ok := a.permits[server]
		s := d.lead.sessions[server]
		return ok && d.lead.planned < p.until && s != nil && s.born == p.born
	})
}

// questions asks what a plan wants to know, as far as helpers are free, and keeps
// the rest for those that become free before the next plan.
func (d *Dispatcher) questions(wants []steps.Question, now time.Duration) {
	d.lead.wants = wants
	d.askMore(now)
}

// askMore asks what the latest plan wants to know, as far as helpers are free. With
// much waiting, a helper that rested until the next plan would give one answer a
// plan, however quick the adviser is.
func (d *Dispatcher) askMore(now time.Duration) {
	var left []steps.Question
	var none busy
	shortest := d.shortest()
	for i, w := range d.lead.wants {
		if none.short {
			left = append(left, d.lead.wants[i:]...)
			break
		}
		if !d.askAbout(w, shortest, &none, now) {
			left = append(left, w)
		}
	}
	d.lead.wants = left
}

// busy tells for which questions no helper is free.
type busy struct{ short, long bool }

// askAbout asks what is wanted of a step; false when no helper is free for it.
func (d *Dispatcher) askAbout(w steps.Question, shortest time.Duration, none *busy, now time.Duration) bool {
	q, ok := d.Host.Flows().QueueOf(w.Item.Flow)
	if !ok || q.GetAdvice() == nil || w.Item.Flow.Final() || w.Item.QueuedTasks == 0 {
		return true
	}
	a := d.lead.advice[w.Item.StepID]
	if a == nil {
		a = &advice{may: map[string]bool{}, permits: map[string]permit{}}
		d.lead.advice[w.Item.StepID] = a
	}
	if a.asking > 0 || now < a.next {
		return true
	}
	whole := helpers.IsLong(steps.QuestionDuration(q.GetAdvice(), len(w.Servers)), shortest)
	if whole && none.long {
		return false
	}
	for i, servers := range d.crew.SplitServers(w.Servers, steps.MaxServersPerQuestion, whole, now) {
		takes := steps.QuestionDuration(q.GetAdvice(), len(servers))
		long := helpers.IsLong(takes, shortest)
		h := d.crew.Acquire(long, now)
		if h == nil {
			none.long = true
			none.short = none.short || !long
			return i > 0
		}
		d.question(h, steps.Question{Item: w.Item, Servers: servers}, a, q.GetAdvice(), takes)
	}
	return true
}

// shortest returns the time of the shortest kind of question there is.
func (d *Dispatcher) shortest() time.Duration {
	var least time.Duration
	for _, q := range d.Host.Flows().Config().GetQueues() {
		if q.GetAdvice() == nil {
			continue
		}
		if c := steps.QuestionDuration(q.GetAdvice(), steps.MinServersPerQuestion); least == 0 || c < least {
			least = c
		}
	}
	return least
}

// question lets a helper ask the adviser.
func (d *Dispatcher) question(h *helpers.Helper, w steps.Question, a *advice, terms *v1.Advice, takes time.Duration) {
	id := w.Item.StepID
	a.asking++
	lives := map[string]int64{}
	for _, s := range w.Servers {
		if one := d.lead.sessions[s]; one != nil {
			lives[s] = one.born
		}
	}
	timeout := takes + adviceSlack
	req := &inner.AdviseRequest{
		Cell: d.Cell, Flow: id.Flow, Turn: id.Turn, Step: id.Step, Servers: w.Servers, Budget: uint64(timeout / time.Millisecond),
	}
	term, ctx, address, sent := d.lead.term, d.lead.ctx, h.Address, d.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		rep := d.Helpers.Advise(ctx, address, req)
		came := d.Now()
		d.Host.Post(func() {
			d.crew.Release(h, code.Code(rep.GetCode()) == code.OK, came)
			if d.lead != nil && d.lead.term == term {
				d.advised(id, a, lives, rep, terms, sent, came)
				d.askMore(came)
			}
		})
	}()
}

// advised takes the adviser's answer.
func (d *Dispatcher) advised(id flow.StepID, a *advice, lives map[string]int64, rep *inner.AdviseReply, terms *v1.Advice, sent, came time.Duration) {
	a.asking--
	d.lead.dirty = true
	d.meter.advise(code.Code(rep.GetCode()), came-sent)
	if c := code.Code(rep.GetCode()); c != code.OK {
		a.next = came + askPause
		event.Log(d.Log, event.AdviceFailed, "flow", id.Flow, "step", id.String(), "code", uint32(c), "detail", rep.GetDetail(), "took", (came - sent).String())
		return
	}
	valid := rep.GetValid()
	if valid == 0 {
		valid = terms.GetValid()
	}
	until := came + time.Duration(valid)*time.Millisecond*(permitParts-1)/permitParts
	news, allowed := 0, 0
	for server := range lives {
		if _, known := a.may[server]; !known {
			a.may[server] = false
			news++
		}
	}
	for _, p := range rep.GetPermits() {
		if !a.may[p.GetServer()] {
			allowed++
		}
		a.may[p.GetServer()] = true
		a.permits[p.GetServer()] = permit{ticket: p.GetTicket(), born: lives[p.GetServer()], until: until}
	}
	d.learnShare(id, news, allowed)
	event.Log(d.Log, event.AdviceTaken, "flow", id.Flow, "step", id.String(), "asked", len(lives), "permits", len(rep.GetPermits()), "took", (came - sent).String())
}

// usualShare is the part of the servers asked about that may run a step, while
// nothing is known of its queue; shareWeight is the weight of the latest answer.
const (
	usualShare  = 0.5
	shareWeight = 0.1
)

// learnShare notes which part of the servers that were asked about for the first
// time may run a step.
func (d *Dispatcher) learnShare(id flow.StepID, asked, permits int) {
	f, ok := d.Host.Flows().Flow(id.Flow)
	if !ok || asked == 0 {
		return
	}
	old, known := d.lead.shares[f.QueueName]
	if !known {
		old = usualShare
	}
	d.lead.shares[f.QueueName] = old + shareWeight*(float64(permits)/float64(asked)-old)
}

// granted returns the part of the servers asked about that usually may run a step.
func (d *Dispatcher) granted(it steps.Item) float64 {
	if share, ok := d.lead.shares[it.Flow.QueueName]; ok {
		return share
	}
	return usualShare
}
