package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
)

// moderate sets the pace of what fills a server beside what serves there, from
// the list that the server has just given.
func (d *Dispatcher) moderate(s *session) {
	var serving []pace.ServiceTask
	var fills []*run
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		switch {
		case !ok || !r.there || r.stopping:
		case step.Spec.GetFills():
			fills = append(fills, r)
		case step.Spec.GetTarget() > 0:
			serving = append(serving, pace.ServiceTask{TailLatency: r.load, TargetLatency: float64(step.Spec.GetTarget())})
		}
	}
	s.shared = len(fills) > 0 && len(serving) > 0
	if len(fills) == 0 {
		s.pace = pace.Full
		return
	}
	s.pace = pace.Next(s.pace, serving)
	for _, r := range fills {
		if r.paced != s.pace+1 && r.busy == 0 {
			d.setPace(s, r, s.pace)
		}
	}
}

// setPace tells a server how fast a run may work.
func (d *Dispatcher) setPace(s *session, r *run, percent int) {
	before := r.paced
	r.paced = percent + 1 // 0 stands for not known
	if before == 0 && percent == pace.Full {
		return // the pace at which every run begins
	}
	event.Log(d.Log, event.RunPaced, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", percent)
	r.busy++
	c := &inner.ServerCall{What: &inner.ServerCall_Pace{Pace: &inner.PaceRun{Run: r.Message(), Percent: uint32(percent)}}}
	d.call(s, c, 0, 0, false, func(a *inner.ServerAnswer, sent, came time.Duration) {
		r.busy--
		d.meter.call("pace", a.GetVerdict(), came-sent)
		if a.GetVerdict() != inner.Verdict_VERDICT_DONE {
			r.paced = -1 // told again with the next list
		}
	})
}

// evacuate moves what would not end in time off a server that leaves: what goes
// on from a checkpoint loses nothing by that, and lasting tasks are moved as many
// at a time as their flow can miss.
func (d *Dispatcher) evacuate(s *session, b *flows.Server, now time.Duration) {
	if s.leaves == 0 {
		return
	}
	left := s.leaves - now
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || r.stopping || !r.there {
			continue
		}
		switch {
		case step.Spec.GetLasting():
			if !d.spares(step) {
				continue
			}
		case !step.Spec.GetSaves() || r.percent <= 0 || d.rest(step, r, now) <= left:
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", r.percent, "leaves", left.String(), "born", b.StartedAtMs)
		d.unwant(s, r)
	}
}

// rest returns how long a run still takes, by its progress so far.
func (d *Dispatcher) rest(step *flows.Step, r *run, now time.Duration) time.Duration {
	if r.placed == 0 || r.percent <= 0 {
		return d.typical(step)
	}
	return time.Duration(float64(r.looked-r.placed)*(100-r.percent)/r.percent) - (now - r.looked)
}

// spares tells whether a flow can miss one more task of a lasting step.
func (d *Dispatcher) spares(step *flows.Step) bool { return d.away(step) < int(step.Spec.GetAbsent()) }

// away counts the tasks of a lasting step that are not at work.
func (d *Dispatcher) away(step *flows.Step) int {
	n := 0
	for i, t := range step.Tasks {
		s := d.lead.sessions[t.Server]
		if t.Phase != flows.Placed || s == nil {
			n++
			continue
		}
		if r := s.runs[flow.TaskID{StepID: step.StepID, Index: uint32(i)}]; r == nil || r.stopping || r.percent < 100 || s.silent {
			n++
		}
	}
	return n
}
