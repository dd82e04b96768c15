package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/pace"
	"gypsumreel/internal/policy/watchdog"
)

// speed is how fast a server works: how long runs took there beside what was
// declared, compared with the same of all servers of its pool.
type speed struct {
	ratio float64
	runs  int
}

// Bounds of what is learned of a server's speed.
const (
	// speedWeight is the weight of the latest run: after about ten runs what was
	// before has little weight left.
	speedWeight = 0.2
	// speedRuns is the least number of runs that tell anything.
	speedRuns = 3
)

// learn takes the time that a run took.
func (d *Dispatcher) learn(s *session, r *run, how inner.RunEnd, now time.Duration) {
	if how != inner.RunEnd_RUN_END_DONE || r.placed == 0 {
		return
	}
	step, ok := d.Host.Flows().Step(r.StepID)
	if !ok || step.Spec.GetRuntime() == 0 || r.Number > 1 {
		return
	}
	took := (now - r.placed).Seconds() * float64(time.Second/time.Millisecond) / float64(step.Spec.GetRuntime())
	p := d.lead.speeds[s.id]
	if p == nil {
		p = &speed{ratio: took}
		d.lead.speeds[s.id] = p
	}
	s.rate = p
	p.ratio += speedWeight * (took - p.ratio)
	p.runs++
}

// speed returns how fast a server works beside the others; 1 when nothing is known.
func (d *Dispatcher) speed(s *session) float64 {
	p := s.rate
	if p == nil || p.runs < speedRuns || p.ratio <= 0 || d.lead.usual == 0 {
		return 1
	}
	return d.lead.usual / p.ratio
}

// average works out how far declared times are off on the whole. It goes over all
// servers, so it is done now and then.
func (d *Dispatcher) average() {
	sum, n := 0.0, 0
	for _, p := range d.lead.speeds {
		if p.runs >= speedRuns {
			sum += p.ratio
			n++
		}
	}
	if n > 0 {
		d.lead.usual = sum / float64(n)
	}
}

// typical returns how long a run of the step takes on a sound server: what was
// declared, corrected by how far declared times are off on the whole.
func (d *Dispatcher) typical(s *flows.Step) time.Duration {
	declared := time.Duration(s.Spec.GetRuntime()) * time.Millisecond
	return time.Duration(float64(declared) * max(d.lead.usual, 1))
}

// trust notes how a run ended for the judgement of its server. The step that
// failed there is tried elsewhere: whose fault it was is not known, and a
// server that fails everything would use up all its attempts.
func (d *Dispatcher) trust(s *session, r *run, how inner.RunEnd, now time.Duration) {
	switch how {
	case inner.RunEnd_RUN_END_DONE:
		s.streak.RecordSuccess()
	case inner.RunEnd_RUN_END_FAILED:
		d.shun(s, r)
		if rest := s.streak.RecordFailure(r.Flow); rest > 0 {
			s.avoid = max(s.avoid, now+rest)
			event.Log(d.Log, event.ServerQuarantined, "server", s.id, "flow", r.Flow, "rest", rest.String())
		}
	}
}

// shun notes that a step is better tried elsewhere.
func (d *Dispatcher) shun(s *session, r *run) {
	if d.lead.shunned[r.StepID] == nil {
		d.lead.shunned[r.StepID] = map[string]bool{}
	}
	d.lead.shunned[r.StepID][s.id] = true
}

// inspect looks for runs that stand still or crawl, and moves them to another
// server: they are stopped, and placed again where they last failed not.
func (d *Dispatcher) inspect(s *session, now time.Duration) {
	if s.silent || !s.known || s.closing != "" || s.heard == s.inspected {
		return // nothing new was listed since the last look
	}
	s.inspected = s.heard
	if b, ok := d.Host.Flows().Server(s.id); ok && b.ShuttingDown {
		d.evacuate(s, b, now)
	}
	for _, r := range s.runs {
		if r.stopping || !r.there || r.placed == 0 || r.looked == 0 || now-r.looked > longestWait+callTimeout {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if !ok || step.Spec.GetLasting() || step.Spec.GetGang() || step.Spec.GetFills() && s.pace < pace.Full {
			continue // it may stand still by order, or until others are there
		}
		w := watchdog.Run{Elapsed: r.looked - r.placed, SinceProgress: r.looked - r.moved, ProgressPercent: r.percent, TypicalRuntime: d.typical(step), Checkpoints: step.Spec.GetSaves()}
		if !(r.Number <= mostStuck && watchdog.IsStuck(w)) && !(r.Number <= mostDragged && watchdog.IsSlow(w)) {
			continue
		}
		event.Log(d.Log, event.RunMoved, "flow", r.Flow, "run", r.String(), "server", s.id, "percent", r.percent, "still", w.SinceProgress.String(), "elapsed", w.Elapsed.String(), "typical", w.TypicalRuntime.String())
		d.shun(s, r)
		s.avoid = max(s.avoid, now+suspectRest)
		d.unwant(s, r)
	}
}

// A task is moved so often at most: what was declared may be far off, and a task
// that is slow everywhere must come to its end somewhere.
const (
	mostStuck   = 3
	mostDragged = 1
)

// suspectRest is how long a server gets nothing new on which a run stood still or
// crawled; it is renewed while more of them do.
const suspectRest = 2 * time.Second
