package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/control/holders"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/watchdog"
)

// session is the leader's state of one incarnation of a backend server. Times are on the
// leader's clock unless stated otherwise.
type session struct {
	id   string
	zone string
	// machine is the machine that the server runs on; empty if it named none.
	machine string
	// incarnation is the start time of the server process in milliseconds since 1970.
	incarnation int64
	address     string
	// fence is the fencing token of the calls.
	fence uint64
	// reportNumber is the number of the latest report.
	reportNumber uint64

	// serverClock is the latest known value of the server's clock in milliseconds. The
	// clock showed at least this value at serverClockReadAt.
	serverClock       int64
	serverClockReadAt time.Duration
	// firstClock is the first known value of the server's clock. The clock of another incarnation
	// starts below it.
	firstClock int64
	// leaseEndsAt is when the leases of all runs on the server have expired. hasFormer reports
	// whether calls to an earlier incarnation may have extended them.
	leaseEndsAt time.Duration
	hasFormer   bool
	// lastAnswerAt is when the server last answered a hold. listMadeAfter is a time before the
	// server made its latest run list.
	lastAnswerAt  time.Duration
	listMadeAfter time.Duration

	// listCount is the number of run lists received from the server.
	listCount uint64
	// inspectedListAt is the time of the run list that inspectRuns last examined.
	inspectedListAt time.Duration
	// strayRuns is the number of runs in the latest run list that the ledger does not have on the
	// server. They use room that the ledger counts as free.
	strayRuns int
	// holdPending reports whether a hold is unanswered.
	holdPending bool
	// listReceived reports whether the server has sent a run list in this term.
	listReceived bool
	// lastEndReceived is the number of the latest run end received in a list, lastEndCommitted
	// the number of the latest one that is committed, and lastEndAcknowledged of the latest one that
	// the server was told to forget.
	lastEndReceived     uint64
	lastEndCommitted    uint64
	lastEndAcknowledged uint64
	// unresponsive reports whether the latest hold failed. unresponsiveSince is when the
	// first of the consecutive failures occurred.
	unresponsive      bool
	unresponsiveSince time.Duration
	failedHolds       int
	// nextHoldAt is when the next hold of an unresponsive server is due.
	nextHoldAt time.Duration
	// probationUntil is the time until which only the task under probation is placed on the
	// server.
	probationUntil time.Duration
	// lastStartAt is the latest time at which a run may have been started on the server.
	lastStartAt time.Duration
	// avoidUntil is the time until which no new tasks are placed on the server.
	// refusalsInARow counts its consecutive refusals.
	avoidUntil     time.Duration
	refusalsInARow int
	failureStreak  watchdog.FailureStreak
	// lastFailureAt is when the end of the latest failed run that counts against the server was
	// received, or 0, and lastFailureTook how long that run took.
	lastFailureAt   time.Duration
	lastFailureTook time.Duration
	// relayAddress is the helper through which the server is called, since relayChangedAt;
	// empty for direct calls.
	relayAddress   string
	relayChangedAt time.Duration
	// link leads to the holder that has the server; nil if this process calls it.
	link *holders.Link
	// watch is the number of the open watch at watchLink, or 0. watchFlushed reports whether it
	// was told to end, renewedAt when its lease was last renewed.
	watch        uint64
	watchLink    *holders.Link
	watchFlushed bool
	renewedAt    time.Duration

	runs map[flow.TaskID]*run
	// speed is the server's speed estimate; nil if there is none.
	speed *serverSpeed
	// pacePercent is the pace of the fill tasks on the server. paceInherited reports whether
	// another leader set it, so that it is unknown. mixesFillAndServing reports whether the
	// server has both fill tasks and serving tasks.
	pacePercent         int
	paceInherited       bool
	mixesFillAndServing bool
	// exitsAt is the earliest time at which the server exits; 0 if it is not shutting
	// down.
	exitsAt time.Duration
	// exitNoticeAt is the time of an exit notice that may be an earlier incarnation's; 0
	// after a later answer of the server.
	exitNoticeAt time.Duration

	// endProof is the fact that proves the end of the incarnation; empty while there is none.
	// The session is being closed since closingSince.
	endProof     endProof
	closingSince time.Duration
	// nextListPending reports whether a list of the next incarnation was asked for, nextListAt when
	// it may be asked for again, and nextListFailures counts the failed calls.
	nextListPending  bool
	nextListAt       time.Duration
	nextListFailures int
}

// applyReport updates the session from a report of the server.
func (s *session) applyReport(r Report, receivedAt time.Duration) {
	s.reportNumber = max(s.reportNumber, r.Number)
	if r.Clock > 0 {
		s.observeClock(r.Clock, receivedAt)
	}
	if r.GetLeaving() {
		s.exitsAt = receivedAt + millis.Duration(r.Remaining)
	}
}

// observeClock records that the server's clock showed at least serverTime at readAt.
func (s *session) observeClock(serverTime int64, readAt time.Duration) {
	if s.serverClock == 0 {
		s.firstClock = serverTime
	}
	if readAt > s.serverClockReadAt {
		s.serverClock, s.serverClockReadAt = serverTime, readAt
	}
}

// observeAnswer records the clock of an answer, unless another incarnation gave it.
func (s *session) observeAnswer(a *inner.ServerAnswer, sentAt, receivedAt time.Duration) {
	if a.GetClock() > 0 && s.answererOf(a, sentAt, receivedAt) != otherIncarnation {
		s.observeClock(a.GetClock(), receivedAt)
	}
}

// leaseEndOnServerClock converts the end of a lease to the server's clock. The result is
// reached no later than leaseEnd even if the server's clock is slow. It is 0 if the
// server's clock is unknown.
func (s *session) leaseEndOnServerClock(leaseEnd time.Duration) int64 {
	if s.serverClock == 0 {
		return 0
	}
	return s.serverClock + int64(minClockRate*float64(leaseEnd-s.serverClockReadAt)/float64(time.Millisecond))
}

// answerTimeout returns the timeout of a call. It is proportional to the usual latency,
// doubles with each attempt, and is at most callTimeout.
func (d *Dispatcher) answerTimeout(minimum time.Duration, attempts int) time.Duration {
	usual := max(latencyTimeoutFactor*d.leader.usualLatency, minimum)
	return min(usual<<min(attempts, 4), callTimeout)
}

// observeLatency adds a latency to the moving average.
func (d *Dispatcher) observeLatency(latency time.Duration) {
	d.leader.usualLatency += time.Duration(latencyWeight * float64(latency-d.leader.usualLatency))
}

// callHandler processes the answer to a call. For the answer to a hold, sentAt is a time before
// the call left; orders answered earlier were executed before the answer was made.
type callHandler func(a *inner.ServerAnswer, sentAt, receivedAt time.Duration)

// callServer calls a server and passes the answer to handle on the control thread, with the
// times at which the call was sent and the answer was received. attempts is the number of
// earlier attempts of the same call.
func (d *Dispatcher) callServer(s *session, c *inner.ServerCall, wait time.Duration, attempts int, renewLease bool, handle callHandler) {
	d.callServerIf(nil, s, c, wait, attempts, renewLease, handle)
}

// callServerIf is callServer for a call that is not sent if wanted returns false when the holder
// of the server can be told of it.
func (d *Dispatcher) callServerIf(wanted func() bool, s *session, c *inner.ServerCall, wait time.Duration, attempts int, renewLease bool, handle callHandler) {
	sentAt := d.Now()
	c.Cell, c.Server, c.Address, c.Fence = d.Cell, s.id, s.address, s.fence
	if length := d.leaseLength(s); renewLease && length > 0 && d.Host.Leads() {
		c.Until = d.grantLease(s, length, sentAt)
	} else if c.GetStart() != nil {
		c.Until = s.leaseEndOnServerClock(s.leaseEndsAt - leaseMargin) // the lease granted before is not extended
	}
	minTimeout := minOrderTimeout
	if c.GetHold() != nil {
		minTimeout = minHoldTimeout
	}
	timeout := wait + d.answerTimeout(minTimeout, attempts)
	c.Budget = uint64(timeout / time.Millisecond)
	if s.link.IsOpen() {
		d.callHeld(s, c, wanted, sentAt, handle)
		return
	}
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
			handle(a, sentAt, receivedAt)
			s.observeAnswer(a, sentAt, receivedAt)
		})
	})
}

// grantLease grants a server a lease from now on and returns its end on the server's clock, or
// 0 if that clock is unknown. The next leader waits for the leases that this one may have
// granted until its last proof of leadership expired, so the caller checks that it leads.
func (d *Dispatcher) grantLease(s *session, length, now time.Duration) int64 {
	leaseEnd := now + length
	until := s.leaseEndOnServerClock(leaseEnd)
	if until > 0 {
		s.leaseEndsAt = max(s.leaseEndsAt, leaseEnd+leaseMargin)
	}
	return until
}

// isUsable reports whether new tasks may be placed on the server.
func (s *session) isUsable(now time.Duration) bool {
	return s.listReceived && s.strayRuns == 0 && !s.unresponsive && s.exitNoticeAt == 0 && s.endProof == "" && s.serverClock > 0 && now >= s.avoidUntil && now-s.heardAt() <= maxLongPoll+callTimeout
}

func sizeRecord(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel, Slots: s.Slots}
}
