package dispatch

import (
	"math"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// Bounds of orders.
const (
	// startTries is how often a start is sent before its run is given up: the
	// first answer may be lost.
	startTries = 3
	// orderPause is the pause before an order without an answer is sent again.
	orderPause = 30 * time.Millisecond
	// firstAvoid and lastAvoid bound how long a server that said it is unwell
	// gets nothing new; the time doubles with each refusal in a row.
	firstAvoid = 250 * time.Millisecond
	// gangParts is the part of the time for which the members of a gang wait for
	// each other in which one may still be asked to start: one more try and the
	// stops of the others have to fit into the rest.
	gangParts = 3
	lastAvoid = 4 * time.Second
)

// run is what this leader knows of one run at a server.
type run struct {
	flow.RunID
	held *flows.HeldRun
	// placed is when it was decided, on our clock; 0 when another leader did.
	placed time.Duration
	// sent is when its start first left; 0 for never, by this leader.
	sent   time.Duration
	permit string
	// urgent tells that somebody waits for it and that it is over soon.
	urgent bool
	// busy counts the orders under way.
	busy int
	// tries counts the starts sent, stops the stops.
	tries int
	stops int
	// maybe tells that a start may have arrived without an answer, ghost that
	// it may be carried out by another life of the server.
	maybe bool
	ghost bool
	// laid is when a ghost was stopped; 0 for never.
	laid time.Duration
	// settled is when the server answered a start or a stop: a list made later
	// that does not show the run proves that it does not run. 0 before that.
	settled time.Duration
	// listed is the latest list of its server that shows it, running or ended.
	listed uint64
	// there tells that the server listed it or confirmed its start.
	there bool
	// stopping tells that it is to be stopped, and next when that is asked again.
	stopping bool
	next     time.Duration
	// saved is its latest checkpoint, percent its progress and load its use, at
	// looked on our clock.
	saved   string
	percent float64
	load    float64
	looked  time.Duration
	// paced is the pace that it was told, in percent and one more; 0 for none.
	paced int
	// moved is when its progress last changed.
	moved time.Duration
}

// look takes what a list tells of the run.
func (r *run) look(m *inner.RunningRun, now time.Duration) {
	if m.GetCheckpoint() != "" {
		r.saved = m.GetCheckpoint()
	}
	done := math.Floor(m.GetPercent())
	switch {
	case r.moved == 0 && done == 0 && r.settled > 0:
		r.moved = r.settled // it had made no progress when its start was answered
	case r.moved == 0 || done != math.Floor(r.percent):
		r.moved = now
	}
	r.there, r.maybe, r.ghost = true, false, false
	r.percent, r.load, r.looked = m.GetPercent(), m.GetLoad(), now
}

// start sends the start of a run whose placement is committed.
func (d *Dispatcher) start(s *session, r *run) {
	f, ok := d.Host.Flows().Flow(r.Flow)
	step, known := d.Host.Flows().Step(r.StepID)
	if !ok || !known || f.Final() || r.stopping || r.there {
		return // what became unwanted meanwhile is stopped, or never sent
	}
	if s.closing != "" {
		d.disband(r) // its life is over, and its end recorded once that is settled
		return
	}
	if b, ok := d.Host.Flows().Server(s.id); s.silent || ok && (d.Host.Flows().ZoneDrained(b.Zone) || !b.Used.Fits(b.Capacity)) {
		d.withdraw(s, r)
		return
	}
	r.busy++
	r.tries++
	if r.sent == 0 {
		r.sent = d.Now()
		d.onProbation(s, r, r.sent)
	}
	c := &inner.StartRun{Run: r.Message(), Input: f.Spec.GetInput(), Checkpoint: step.Tasks[r.Index].Checkpoint, Permit: r.permit}
	// A server that does not answer may hear all the same: trying again must not
	// lengthen the lease of what cannot be placed elsewhere before it is over.
	renew := r.tries == 1
	d.call(s, &inner.ServerCall{What: &inner.ServerCall_Start{Start: c}}, 0, r.tries-1, renew, func(a *inner.ServerAnswer, sent, came time.Duration) {
		r.busy--
		switch a.GetVerdict() {
		case inner.Verdict_VERDICT_DONE, inner.Verdict_VERDICT_SILENT:
			// One that did not come in time would have taken longer yet. Left out, a
			// leader whose answers all come late would never wait for them.
			d.answered(came - sent)
		}
		d.meter.call("start", a.GetVerdict(), came-sent)
		if d.lead.sessions[s.id] == s && s.runs[r.TaskID] == r {
			d.started(s, r, a, came)
		}
	})
}

// started takes the answer to a start.
func (d *Dispatcher) started(s *session, r *run, a *inner.ServerAnswer, came time.Duration) {
	verdict := a.GetVerdict()
	if verdict != inner.Verdict_VERDICT_DONE {
		event.Log(d.Log, event.StartRefused, "flow", r.Flow, "run", r.String(), "server", s.id, "verdict", verdict.String(), "detail", a.GetDetail(), "try", r.tries)
	}
	if r.there && verdict != inner.Verdict_VERDICT_DONE && verdict != inner.Verdict_VERDICT_OLD {
		// An earlier try was carried out, as a list has shown. Taken for the run's
		// end, the refusal of a later one would let the task run elsewhere as well.
		return
	}
	switch verdict {
	case inner.Verdict_VERDICT_DONE:
		r.there, r.settled, r.ghost = true, came, s.closing != ""
		s.unwell = 0
		return
	case inner.Verdict_VERDICT_OLD:
		r.settled = came
		return
	case inner.Verdict_VERDICT_SILENT:
		// It may have gone; more work there would wait for its lease as well.
		s.avoid = max(s.avoid, came+firstAvoid)
		r.maybe, r.ghost = true, true
		d.again(s, r)
		return
	case inner.Verdict_VERDICT_FENCED:
		// Another leader gives orders here; this one is about to learn of it.
		r.maybe = true
		return
	}
	d.judge(s, r, verdict, came)
	d.withdraw(s, r)
}

// withdraw ends a run that did not start. When an earlier try may still be
// carried out, only a stop rules that out.
func (d *Dispatcher) withdraw(s *session, r *run) {
	if r.maybe {
		d.unwant(s, r)
		return
	}
	end := &record.FlowEnd{Run: r.Message(), How: inner.RunEnd_RUN_END_LOST}
	d.ends(s, &record.FlowEnds{Server: s.id, Born: s.born, Ends: []*record.FlowEnd{end}}, d.Now())
}

// judge learns from a refusal what not to try again at once.
func (d *Dispatcher) judge(s *session, r *run, v inner.Verdict, now time.Duration) {
	switch v {
	case inner.Verdict_VERDICT_UNWELL, inner.Verdict_VERDICT_ROOM, inner.Verdict_VERDICT_MALFORMED, inner.Verdict_VERDICT_LATE:
		s.avoid = now + min(firstAvoid<<min(s.unwell, 6), lastAvoid)
		s.unwell++
	case inner.Verdict_VERDICT_PERMIT:
		if a := d.lead.advice[r.StepID]; a != nil {
			delete(a.permits, s.id)
		}
	case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER, inner.Verdict_VERDICT_UNSENT:
		s.avoid = now + firstAvoid
	}
}

// again sends a start without an answer once more: the same run is started only
// once. A second silence gives the run up.
func (d *Dispatcher) again(s *session, r *run) {
	b, ok := d.Host.Flows().Server(s.id)
	late := r.placed > 0 && d.Now()-r.placed > d.GangTimeout/gangParts && d.gang(r) != nil
	if r.tries >= startTries || late || !ok || !d.Host.Flows().AcceptsWork(b) || s.closing != "" {
		d.unwant(s, r)
		return
	}
	r.next = d.Now() + orderPause
	term := d.lead.term
	time.AfterFunc(orderPause, func() { d.post(term, func() { d.start(s, r) }) })
}

// unwant stops a run; a gang is stopped whole, since its others wait for this one.
func (d *Dispatcher) unwant(s *session, r *run) {
	r.stopping = true
	d.stop(s, r)
	d.disband(r)
}

// gang returns the step of a run whose tasks work only together, else nil.
func (d *Dispatcher) gang(r *run) *flows.Step {
	if step, ok := d.Host.Flows().Step(r.StepID); ok && step.Spec.GetGang() {
		return step
	}
	return nil
}

// disband stops the other members of a run's gang. Until the end of one is
// recorded the ledger wants the others, and where that takes long, as on a server
// that is gone, they would hold their room and wait for it in vain.
func (d *Dispatcher) disband(r *run) {
	step := d.gang(r)
	if step == nil {
		return
	}
	stopped := 0
	for i, t := range step.Tasks {
		s := d.lead.sessions[t.Server]
		if t.Phase != flows.Placed || t.LatestRun != r.Number || s == nil {
			continue
		}
		m := s.runs[flow.TaskID{StepID: r.StepID, Index: uint32(i)}]
		if m != nil && m.Number == r.Number && !m.stopping {
			m.stopping = true
			d.stop(s, m)
			stopped++
		}
	}
	if stopped > 0 {
		event.Log(d.Log, event.GangDisbanded, "flow", r.Flow, "run", r.String(), "server", r.held.Server, "tries", r.tries, "stopped", stopped)
	}
}

// stopUnwanted orders a stop for every run that the ledger does not want.
func (d *Dispatcher) stopUnwanted() {
	now := d.Now()
	for id, h := range d.Host.Flows().RunsToStop() {
		s := d.lead.sessions[h.Server]
		if s == nil {
			continue
		}
		if r := s.runs[id]; r != nil && r.Number == h.Number && !r.stopping {
			r.stopping = true
			d.Host.AfterCommit(func() { d.stop(s, r) })
		}
	}
	for r, s := range d.lead.stops {
		switch {
		case s.runs[r.TaskID] != r:
			delete(d.lead.stops, r)
		case r.stopping && r.busy == 0 && r.next > 0 && now >= r.next:
			d.stop(s, r)
		}
	}
}

// stop orders the stop of a run, and asks again until it is answered. A server
// refuses a run from then on that it is told to stop and does not know.
func (d *Dispatcher) stop(s *session, r *run) {
	if r.busy > 0 && !r.stopping || s.runs[r.TaskID] != r {
		return
	}
	r.busy++
	r.next = 0
	d.lead.stops[r] = s
	c := &inner.ServerCall{What: &inner.ServerCall_Stop{Stop: &inner.StopRun{Run: r.Message()}}}
	r.stops++
	d.call(s, c, 0, r.stops-1, false, func(a *inner.ServerAnswer, sent, came time.Duration) {
		r.busy--
		d.meter.call("stop", a.GetVerdict(), came-sent)
		switch a.GetVerdict() {
		case inner.Verdict_VERDICT_DONE, inner.Verdict_VERDICT_OLD:
			if r.ghost {
				r.laid = came
			}
			r.settled, r.ghost = came, false
			if !s.holding {
				d.hold(s)
			}
		case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER:
			r.ghost = false
			r.next = came + orderPause
		default:
			r.next = came + orderPause
		}
	})
}

// stopStray stops a run that a server holds and the ledger does not know there:
// a start that was given up and carried out late.
func (d *Dispatcher) stopStray(s *session, id flow.RunID) {
	event.Log(d.Log, event.RunStray, "flow", id.Flow, "run", id.String(), "server", s.id)
	c := &inner.ServerCall{What: &inner.ServerCall_Stop{Stop: &inner.StopRun{Run: id.Message()}}}
	d.call(s, c, 0, 0, false, func(a *inner.ServerAnswer, sent, came time.Duration) {
		d.meter.call("stop", a.GetVerdict(), came-sent)
	})
}
