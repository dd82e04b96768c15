package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/watchdog"
)

// Bounds of a session.
const (
	// firstPause and lastPause bound the pause before a failed call is made again.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// sharedWait is how often a server is looked at on which something fills
	// beside something that serves: its figures are of the last half second.
	sharedWait = 500 * time.Millisecond
	// overdueWait is how often a server is looked at on which a run should have
	// ended that somebody waits for.
	overdueWait = 300 * time.Millisecond
	// pressPause is the pause between two holds that do not wait at the server.
	pressPause = 10 * time.Millisecond
	// absentCalls is how often a server must be found absent, one call after the
	// other, before its life counts as over: a listener that is opened anew must
	// not look like a crash.
	absentCalls = 2
)

// session is what this leader knows of one life of a backend server.
type session struct {
	id      string
	born    int64
	address string
	// call is the number of the latest report.
	call uint64

	// clock is what the server's clock showed, at the least, at seen on ours.
	clock int64
	seen  time.Duration
	// over is when everything that runs there has lost its lease, by our clock.
	over time.Duration
	// heard is when the server answered last.
	heard time.Duration

	// lists counts the lists that came from it.
	lists uint64
	// inspected is the list that its runs were last judged by.
	inspected time.Duration
	// holding tells that a hold is under way.
	holding bool
	// known tells that the server said what it holds, in this term.
	known bool
	// taken is the number of the latest end that was taken from a list, cursor
	// the latest whose record is committed.
	taken  uint64
	cursor uint64
	// silent tells that the latest hold failed, broke when the first one in a row did.
	silent bool
	broke  time.Duration
	fails  int
	absent int
	// next is when the next hold is due.
	next time.Duration
	// probation is until when nothing else is placed there than what may crash it.
	probation time.Duration
	// avoid is until when nothing new is placed there, and why it last failed.
	avoid  time.Duration
	unwell int
	streak watchdog.FailureStreak
	// relay is the helper that calls go through since relayed; empty for the direct way.
	relay   string
	relayed time.Duration

	runs map[flow.TaskID]*run
	// rate is how fast it works; nil while nothing is known.
	rate *speed
	// pace is that of what fills the server, in percent; shared tells that
	// something serves beside it.
	pace   int
	shared bool
	// leaves is when the server goes, at the earliest; 0 while it does not.
	leaves time.Duration

	// closing tells why the life is being closed; empty when it is not.
	closing   string
	closingAt time.Duration
}

// reported takes what a report tells of the server's clock.
func (s *session) reported(r Report, received time.Duration) {
	s.call = max(s.call, r.Number)
	if r.Clock > 0 {
		s.tell(r.Clock, received)
	}
	if r.GetLeaving() {
		s.leaves = received + time.Duration(r.Remaining)*time.Millisecond
	}
}

// tell notes that the server's clock showed at least clock at a time on ours.
func (s *session) tell(clock int64, at time.Duration) {
	if at > s.seen {
		s.clock, s.seen = clock, at
	}
}

// promise returns the time on the server's clock that is reached by end on ours
// at the latest, however slow its clock is; 0 when its clock is not known.
func (s *session) promise(end time.Duration) int64 {
	if s.clock == 0 {
		return 0
	}
	return s.clock + int64(slowest*float64(end-s.seen)/float64(time.Millisecond))
}

// timeout returns how long an answer is waited for: less than the longest time
// while answers usually come soon, and twice as long with each try.
func (d *Dispatcher) timeout(least time.Duration, tries int) time.Duration {
	usual := max(answerFactor*d.lead.answers, least)
	return min(usual<<min(tries, 4), callTimeout)
}

// answered takes the time of an answer into what is usual.
func (d *Dispatcher) answered(took time.Duration) {
	d.lead.answers += time.Duration(answerWeight * float64(took-d.lead.answers))
}

// call makes a call to a server, the one after so many tries, and hands the answer to fn on the control
// thread, with the times on our clock at which it left and came back.
func (d *Dispatcher) call(s *session, c *inner.ServerCall, wait time.Duration, tries int, renew bool, fn func(a *inner.ServerAnswer, sent, came time.Duration)) {
	now := d.Now()
	c.Cell, c.Server, c.Address, c.Fence = d.Cell, s.id, s.address, d.lead.term
	if lease := d.lease(s); renew && lease > 0 {
		end := now + lease
		if c.Until = s.promise(end); c.Until > 0 {
			s.over = max(s.over, end+leaseMargin)
		}
	} else if c.GetStart() != nil {
		c.Until = s.promise(s.over - leaseMargin) // what was granted before, no more
	}
	least := orderTimeout
	if c.GetHold() != nil {
		least = holdTimeout
	}
	timeout := wait + d.timeout(least, tries)
	c.Budget = uint64(timeout / time.Millisecond)
	term, ctx, relay := d.lead.term, d.lead.ctx, s.relay
	d.lead.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var a *inner.ServerAnswer
		if relay == "" {
			a = d.Backends.Call(ctx, c)
		} else {
			a = d.Helpers.Relay(ctx, relay, c)
		}
		came := d.Now()
		d.post(term, func() {
			if a.GetClock() > 0 {
				s.tell(a.GetClock(), came)
			}
			fn(a, now, came)
		})
	})
}

// hold renews the lease and asks what runs. One hold is under way at a time;
// it waits at the server until something ends.
func (d *Dispatcher) hold(s *session) {
	if s.holding || s.closing != "" {
		return
	}
	s.holding = true
	d.chooseWay(s)
	wait := longestWait
	if lease := d.lease(s); lease > 0 {
		wait = min(wait, lease/waitParts)
	}
	if s.shared {
		wait = min(wait, sharedWait)
	}
	if d.overdue(s) {
		wait = min(wait, overdueWait)
	}
	if !s.known || s.clock == 0 || s.silent || s.pressing() {
		wait = 0
	}
	c := &inner.ServerCall{What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{Ack: s.cursor, Wait: uint64(wait / time.Millisecond)}}}
	// A server that does not answer may hear all the same. Renewing its lease with
	// each try would keep its work from everybody else for ever.
	d.call(s, c, wait, s.fails, !s.silent, func(a *inner.ServerAnswer, sent, came time.Duration) {
		s.holding = false
		d.lead.intake.Done(s)
		defer d.takeIn()
		if d.lead.sessions[s.id] != s || s.closing != "" {
			return
		}
		d.held(s, a, sent, came)
	})
}

// overdueFactor is how many times as long as usual an urgent run takes before its
// server is looked at more often: most take about as long as they should.
const overdueFactor = 1.5

// overdue tells whether an urgent run should have ended on a server.
func (d *Dispatcher) overdue(s *session) bool {
	now := d.Now()
	for _, r := range s.runs {
		if !r.urgent || r.placed == 0 || r.stopping {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if ok && float64(now-r.placed) > overdueFactor*float64(d.typical(step)) {
			return true
		}
	}
	return false
}

// pressing tells whether something is to be learned soon from the next list.
func (s *session) pressing() bool {
	for _, r := range s.runs {
		stopped := r.stopping && r.maybe && r.tries == 0 // placed by the last leader
		if (r.settled > 0 || stopped) && !r.there {
			return true
		}
	}
	return false
}

// held takes the answer to a hold.
func (d *Dispatcher) held(s *session, a *inner.ServerAnswer, sent, came time.Duration) {
	switch a.GetVerdict() {
	case inner.Verdict_VERDICT_DONE:
	case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER:
		s.absent++
		d.failed(s, a, came)
		if s.absent >= absentCalls {
			d.ending(s, a.GetVerdict().String())
		}
		return
	default:
		d.failed(s, a, came)
		return
	}
	if a.GetBorn() != 0 && a.GetBorn() != s.born {
		d.ending(s, "another life answers")
		return
	}
	if s.silent {
		event.Log(d.Log, event.ServerBack, "server", s.id, "born", s.born, "silent", (came - s.heard).String())
	}
	s.heard, s.silent, s.fails, s.absent = came, false, 0, 0
	first := !s.known
	s.known = true
	d.lists(s, a, sent, came)
	d.moderate(s)
	if first {
		d.lead.dirty = true
	}
	// Another list may be taken before this one's ends are committed; what that one
	// tells is not committed with them, and the server forgets what is acknowledged.
	taken := s.taken
	d.Host.AfterCommit(func() {
		if d.lead != nil && d.lead.sessions[s.id] == s {
			s.cursor = max(s.cursor, taken)
			d.holdNext(s)
		}
	})
}

// holdNext makes the next hold: at once when it waits at the server, after a
// moment when it asks for something that is about to show in the list.
func (d *Dispatcher) holdNext(s *session) {
	if !s.pressing() {
		d.hold(s)
		return
	}
	term := d.lead.term
	time.AfterFunc(pressPause, func() { d.post(term, func() { d.hold(s) }) })
}

// failed notes a failed hold and when the next one is due.
func (d *Dispatcher) failed(s *session, a *inner.ServerAnswer, came time.Duration) {
	if !s.silent {
		s.broke = came
		event.Log(d.Log, event.ServerSuspect, "server", s.id, "born", s.born, "verdict", a.GetVerdict().String(), "detail", a.GetDetail(), "held", len(s.runs), "lease", (s.over - s.broke).String())
	}
	s.silent = true
	s.fails++
	if s.fails >= relayAfter && a.GetVerdict() != inner.Verdict_VERDICT_ABSENT {
		d.relay(s, d.otherWay(s.id, s.relay))
	}
	s.next = d.Now() + min(firstPause<<min(s.fails, 5), lastPause)
}

// usable tells whether new work may be placed on a server now.
func (s *session) usable(now time.Duration) bool {
	return s.known && !s.silent && s.closing == "" && s.clock > 0 && now >= s.avoid && now-s.heard <= longestWait+callTimeout
}

func sizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel, Slots: s.Slots}
}
