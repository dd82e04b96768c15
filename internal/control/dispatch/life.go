package dispatch

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
)

// watch looks after one session: holds that are due, leases that are over, and
// lives that are being closed.
func (d *Dispatcher) watch(s *session, now time.Duration) {
	if s.closing != "" {
		d.close(s, now)
		return
	}
	if s.silent && !s.holding && now >= s.next {
		d.hold(s)
	}
	if now > s.over && len(s.runs) > 0 && now-s.heard > d.lease(s) {
		event.Log(d.Log, event.ServerGone, "server", s.id, "born", s.born, "heard", (now - s.heard).String(), "held", len(s.runs))
		d.clear(s, false)
	}
}

// ending begins to close a life that is over. Starts that are on their way may
// reach whoever listens at the address next, so they are settled first.
func (d *Dispatcher) ending(s *session, why string) {
	if s.closing == "" {
		s.closing, s.closingAt = why, d.Now()
		event.Log(d.Log, event.ServerGone, "server", s.id, "born", s.born, "cause", why, "held", len(s.runs))
	}
	d.close(s, d.Now())
}

// close ends a life once no start can be carried out any more that was sent
// into it: each doubtful one is stopped at the address, or its time is over. What
// was found there by the stop works on for as long as a stop may take.
func (d *Dispatcher) close(s *session, now time.Duration) {
	if now < s.closingAt+d.MaxLease+2*callTimeout {
		for _, r := range s.runs {
			if r.busy > 0 {
				return
			}
			if r.ghost {
				d.stop(s, r)
				return
			}
			if r.laid > 0 && now < r.laid+d.MaxStopTime+leaseMargin {
				return
			}
		}
	}
	d.clear(s, true)
	d.forget(s)
}

// clear records that nothing that a life held runs any more.
func (d *Dispatcher) clear(s *session, over bool) {
	c := &record.FlowClear{Id: s.id, Born: s.born, Over: over}
	how := inner.RunEnd_RUN_END_LOST
	if over && d.crashed(s) {
		how, c.Blamed = inner.RunEnd_RUN_END_CRASHED, d.blamed(s)
	}
	before, beside := d.wanted(s), len(s.runs)-1
	for _, r := range s.runs {
		if r.saved != "" {
			c.Saved = append(c.Saved, &record.FlowSaved{Run: r.Message(), Checkpoint: r.saved})
		}
		event.Log(d.Log, event.AttemptLost, "flow", r.Flow, "run", r.String(), "server", s.id, "how", how.String(), "checkpoint", r.saved, "over", over, "age", d.age(s, r).String(), "beside", beside)
		d.meter.end(how)
	}
	if d.decide(&record.Flow{What: &record.Flow_Clear{Clear: c}}) {
		d.givenUp(s, before)
		s.runs = map[flow.TaskID]*run{}
		s.known = false
	}
}

// age returns how long before its server fell silent, or before now where it did not, a
// run was ordered to start; one that another leader placed, how long it was placed.
func (d *Dispatcher) age(s *session, r *run) time.Duration {
	now := d.Now()
	if s.silent {
		now = s.broke
	}
	if r.sent > 0 {
		return max(now-r.sent, 0)
	}
	return max(d.Host.LedgerTime()-r.held.PlacedAt-(d.Now()-now), 0)
}
