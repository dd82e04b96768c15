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
	// minHoldRetryPause and lastPause bound the pause before a failed call is made again.
	minHoldRetryPause = 50 * time.Millisecond
	maxHoldRetryPause = 400 * time.Millisecond
	// sharedLongPoll is how often a server is looked at on which something fills
	// beside something that serves: its figures are of the last half second.
	sharedLongPoll = 500 * time.Millisecond
	// overdueLongPoll is how often a server is looked at on which a run should have
	// ended that somebody waits for.
	overdueLongPoll = 300 * time.Millisecond
	// immediateHoldPause is the pause between two holds that do not wait at the server.
	immediateHoldPause = 10 * time.Millisecond
	// absentAnswersToClose is how often a server must be found absent, one call after the
	// other, before its life counts as over: a listener that is opened anew must
	// not look like a crash.
	absentAnswersToClose = 2
)

// session is what this leader knows of one life of a backend server.
type session struct {
	id          string
	incarnation int64
	address     string
	// reportNumber is the number of the latest report.
	reportNumber uint64

	// serverClock is what the server's clock showed, at the least, at seen on ours.
	serverClock       int64
	serverClockReadAt time.Duration
	// leaseEndsAt is when everything that runs there has lost its lease, by our clock.
	leaseEndsAt time.Duration
	// lastAnswerAt is when the server answered last.
	lastAnswerAt time.Duration

	// listCount counts the lists that came from it.
	listCount uint64
	// inspectedListAt is the list that its runs were last judged by.
	inspectedListAt time.Duration
	// holdPending tells that a hold is under way.
	holdPending bool
	// listReceived tells that the server said what it holds, in this term.
	listReceived bool
	// lastEndTaken is the number of the latest end that was taken from a list, cursor
	// the latest whose record is committed.
	lastEndTaken     uint64
	lastEndCommitted uint64
	// unresponsive tells that the latest hold failed, broke when the first one in a row did.
	unresponsive      bool
	unresponsiveSince time.Duration
	failedHolds       int
	absentAnswers     int
	// nextHoldAt is when the next hold is due.
	nextHoldAt time.Duration
	// probationUntil is until when nothing else is placed there than what may crash it.
	probationUntil time.Duration
	// avoidUntil is until when nothing new is placed there, and why it last failed.
	avoidUntil     time.Duration
	refusalsInARow int
	failureStreak  watchdog.Streak
	// relayAddress is the helper that calls go through since relayed; empty for the direct way.
	relayAddress   string
	relayChangedAt time.Duration

	runs map[flow.TaskID]*run
	// speed is how fast it works; nil while nothing is known.
	speed *serverSpeed
	// pacePercent is that of what fills the server, in percent; shared tells that
	// something serves beside it.
	pacePercent      int
	servesBesideFill bool
	// leavesAt is when the server goes, at the earliest; 0 while it does not.
	leavesAt time.Duration

	// closeReason tells why the life is being closed; empty when it is not.
	closeReason  string
	closingSince time.Duration
}

// applyReport takes what a report tells of the server's clock.
func (s *session) applyReport(r Report, received time.Duration) {
	s.reportNumber = max(s.reportNumber, r.Number)
	if r.Clock > 0 {
		s.observeClock(r.Clock, received)
	}
	if r.GetLeaving() {
		s.leavesAt = received + time.Duration(r.Remaining)*time.Millisecond
	}
}

// observeClock notes that the server's clock showed at least clock at a time on ours.
func (s *session) observeClock(serverTime int64, readAt time.Duration) {
	if readAt > s.serverClockReadAt {
		s.serverClock, s.serverClockReadAt = serverTime, readAt
	}
}

// leaseEndOnServerClock returns the time on the server's clock that is reached by end on ours
// at the latest, however slow its clock is; 0 when its clock is not known.
func (s *session) leaseEndOnServerClock(leaseEnd time.Duration) int64 {
	if s.serverClock == 0 {
		return 0
	}
	return s.serverClock + int64(minClockRate*float64(leaseEnd-s.serverClockReadAt)/float64(time.Millisecond))
}

// answerTimeout returns how long an answer is waited for: less than the longest time
// while answers usually come soon, and twice as long with each try.
func (d *Dispatcher) answerTimeout(minimum time.Duration, attempts int) time.Duration {
	usual := max(latencyTimeoutFactor*d.leader.usualLatency, minimum)
	return min(usual<<min(attempts, 4), callTimeout)
}

// observeLatency takes the time of an answer into what is usual.
func (d *Dispatcher) observeLatency(latency time.Duration) {
	d.leader.usualLatency += time.Duration(latencyWeight * float64(latency-d.leader.usualLatency))
}

// callServer makes a call to a server, the one after so many tries, and hands the answer to fn on the control
// thread, with the times on our clock at which it left and came back.
func (d *Dispatcher) callServer(s *session, c *inner.ServerCall, wait time.Duration, attempts int, renewLease bool, handle func(a *inner.ServerAnswer, sent, receivedAt time.Duration)) {
	sentAt := d.Now()
	c.Cell, c.Server, c.Address, c.Fence = d.Cell, s.id, s.address, d.leader.term
	if length := d.leaseLength(s); renewLease && length > 0 {
		leaseEnd := sentAt + length
		if c.Until = s.leaseEndOnServerClock(leaseEnd); c.Until > 0 {
			s.leaseEndsAt = max(s.leaseEndsAt, leaseEnd+leaseMargin)
		}
	} else if c.GetStart() != nil {
		c.Until = s.leaseEndOnServerClock(s.leaseEndsAt - leaseMargin) // what was granted before, no more
	}
	minTimeout := minOrderTimeout
	if c.GetHold() != nil {
		minTimeout = minHoldTimeout
	}
	timeout := wait + d.answerTimeout(minTimeout, attempts)
	c.Budget = uint64(timeout / time.Millisecond)
	term, ctx, relay := d.leader.term, d.leader.ctx, s.relayAddress
	d.leader.callPool.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var a *inner.ServerAnswer
		if relay == "" {
			a = d.Backends.Call(ctx, c)
		} else {
			a = d.Helpers.Relay(ctx, relay, c)
		}
		receivedAt := d.Now()
		d.postInTerm(term, func() {
			if a.GetClock() > 0 {
				s.observeClock(a.GetClock(), receivedAt)
			}
			handle(a, sentAt, receivedAt)
		})
	})
}

// sendHold renews the lease and asks what runs. One hold is under way at a time;
// it waits at the server until something ends.
func (d *Dispatcher) sendHold(s *session) {
	if s.holdPending || s.closeReason != "" {
		return
	}
	s.holdPending = true
	d.chooseRoute(s)
	wait := maxLongPoll
	if length := d.leaseLength(s); length > 0 {
		wait = min(wait, length/longPollsPerLease)
	}
	if s.servesBesideFill {
		wait = min(wait, sharedLongPoll)
	}
	if d.hasOverdueRun(s) {
		wait = min(wait, overdueLongPoll)
	}
	if !s.listReceived || s.serverClock == 0 || s.unresponsive || s.expectsListChange() {
		wait = 0
	}
	c := &inner.ServerCall{What: &inner.ServerCall_Hold{Hold: &inner.HoldRuns{Ack: s.lastEndCommitted, Wait: uint64(wait / time.Millisecond)}}}
	// A server that does not answer may hear all the same. Renewing its lease with
	// each try would keep its work from everybody else for ever.
	d.callServer(s, c, wait, s.failedHolds, !s.unresponsive, func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
		s.holdPending = false
		d.leader.firstHoldQueue.Done(s)
		defer d.sendFirstHolds()
		if d.leader.sessions[s.id] != s || s.closeReason != "" {
			return
		}
		d.handleHoldAnswer(s, a, sentAt, receivedAt)
	})
}

// overdueFactor is how many times as long as usual an urgent run takes before its
// server is looked at more often: most take about as long as they should.
const overdueFactor = 1.5

// hasOverdueRun tells whether an urgent run should have ended on a server.
func (d *Dispatcher) hasOverdueRun(s *session) bool {
	now := d.Now()
	for _, r := range s.runs {
		if !r.urgent || r.placedAt == 0 || r.stopping {
			continue
		}
		step, ok := d.Host.Flows().Step(r.StepID)
		if ok && float64(now-r.placedAt) > overdueFactor*float64(d.typicalRuntime(step)) {
			return true
		}
	}
	return false
}

// expectsListChange tells whether something is to be learned soon from the next list.
func (s *session) expectsListChange() bool {
	for _, r := range s.runs {
		stopOfPreviousLeader := r.stopping && r.startUnconfirmed && r.startAttempts == 0 // placed by the last leader
		if (r.orderAnsweredAt > 0 || stopOfPreviousLeader) && !r.reportedByServer {
			return true
		}
	}
	return false
}

// handleHoldAnswer takes the answer to a hold.
func (d *Dispatcher) handleHoldAnswer(s *session, a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
	switch a.GetVerdict() {
	case inner.Verdict_VERDICT_DONE:
	case inner.Verdict_VERDICT_ABSENT, inner.Verdict_VERDICT_STRANGER:
		s.absentAnswers++
		d.handleFailedHold(s, a, receivedAt)
		if s.absentAnswers >= absentAnswersToClose {
			d.beginClosing(s, a.GetVerdict().String())
		}
		return
	default:
		d.handleFailedHold(s, a, receivedAt)
		return
	}
	if a.GetBorn() != 0 && a.GetBorn() != s.incarnation {
		d.beginClosing(s, "another life answers")
		return
	}
	if s.unresponsive {
		event.Log(d.Log, event.ServerBack, "server", s.id, "born", s.incarnation, "silent", (receivedAt - s.lastAnswerAt).String())
	}
	s.lastAnswerAt, s.unresponsive, s.failedHolds, s.absentAnswers = receivedAt, false, 0, 0
	isFirstList := !s.listReceived
	s.listReceived = true
	d.applyRunList(s, a, sentAt, receivedAt)
	d.adjustPace(s)
	if isFirstList {
		d.leader.planNeeded = true
	}
	// Another list may be taken before this one's ends are committed; what that one
	// tells is not committed with them, and the server forgets what is acknowledged.
	lastTaken := s.lastEndTaken
	d.Host.AfterCommit(func() {
		if d.leader != nil && d.leader.sessions[s.id] == s {
			s.lastEndCommitted = max(s.lastEndCommitted, lastTaken)
			d.scheduleNextHold(s)
		}
	})
}

// scheduleNextHold makes the next hold: at once when it waits at the server, after a
// moment when it asks for something that is about to show in the list.
func (d *Dispatcher) scheduleNextHold(s *session) {
	if !s.expectsListChange() {
		d.sendHold(s)
		return
	}
	term := d.leader.term
	time.AfterFunc(immediateHoldPause, func() { d.postInTerm(term, func() { d.sendHold(s) }) })
}

// handleFailedHold notes a failed hold and when the next one is due.
func (d *Dispatcher) handleFailedHold(s *session, a *inner.ServerAnswer, receivedAt time.Duration) {
	if !s.unresponsive {
		s.unresponsiveSince = receivedAt
		event.Log(d.Log, event.ServerSuspect, "server", s.id, "born", s.incarnation, "verdict", a.GetVerdict().String(), "detail", a.GetDetail(), "held", len(s.runs), "lease", (s.leaseEndsAt - s.unresponsiveSince).String())
	}
	s.unresponsive = true
	s.failedHolds++
	if s.failedHolds >= failuresBeforeRelay && a.GetVerdict() != inner.Verdict_VERDICT_ABSENT {
		d.setRelay(s, d.nextRelay(s.id, s.relayAddress))
	}
	s.nextHoldAt = d.Now() + min(minHoldRetryPause<<min(s.failedHolds, 5), maxHoldRetryPause)
}

// isUsable tells whether new work may be placed on a server now.
func (s *session) isUsable(now time.Duration) bool {
	return s.listReceived && !s.unresponsive && s.closeReason == "" && s.serverClock > 0 && now >= s.avoidUntil && now-s.lastAnswerAt <= maxLongPoll+callTimeout
}

func sizeRecord(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel, Slots: s.Slots}
}
