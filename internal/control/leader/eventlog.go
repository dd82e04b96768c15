package leader

import (
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

const (
	// leaderlessAlarmDelay is how long no leader may be known before this is logged
	// as an event.
	leaderlessAlarmDelay = 5 * time.Second
	// overloadQuietPeriod is the time without refusals after which an overload
	// counts as over.
	overloadQuietPeriod = 10 * time.Second
	// cancelWaveSize is the minimum number of jobs in a cancellation that is logged
	// as a cancellation wave.
	cancelWaveSize = 100
)

// reportedState is the state of servers and teams that this leader has already
// reported in events.
type reportedState struct {
	servers      map[string]reportedServer
	readyServers int
	runningTasks int
	// replaying is true while the ledger is replayed to a new planner. It suppresses events.
	replaying bool
	// teamsOverLimit are the teams that hold more than a lowered limit allows.
	teamsOverLimit map[string]bool
	// lastRefusalAt is when work was last refused because of overload; 0 if no
	// overload is reported.
	lastRefusalAt time.Duration
	chartFaults   int
}

type reportedServer struct {
	incarnation    uint64
	state          backend.State
	drainRequested bool
	idle           bool
}

func (s reportedServer) isSchedulable() bool { return s.state == backend.Ready && !s.drainRequested }

// reportServer logs the events of a change in a server's state and updates the
// counters. The events describe decisions that are committed shortly afterwards.
func (l *Leader) reportServer(b state.Server) {
	reported := &l.leadership.reported
	previous, wasKnown := reported.servers[b.ID]
	current := reportedServer{b.Incarnation, b.Server.State, b.IsDrained(), l.ledger.PlacedTaskCount(b.ID) == 0}
	reported.servers[b.ID] = current
	if current.state == backend.Gone {
		delete(reported.servers, b.ID)
	}
	if wasKnown && previous.isSchedulable() {
		reported.readyServers--
	}
	if current.isSchedulable() {
		reported.readyServers++
	}
	if reported.replaying {
		return
	}
	for _, id := range serverEvents(previous, current, wasKnown) {
		l.logLimiter.Log(l.Log, id, "server", b.ID, "incarnation", b.Incarnation, "tasks", l.ledger.PlacedTaskCount(b.ID))
	}
	if wasKnown && previous.isSchedulable() && reported.readyServers == 0 {
		event.Log(l.Log, event.NoServers, "server", b.ID)
	}
}

// serverEvents returns the events for a change in a server's state.
func serverEvents(previous, current reportedServer, wasKnown bool) (events []event.Definition) {
	switch {
	case !wasKnown && current.state != backend.Gone:
		events = append(events, event.ServerAnnounced)
	case wasKnown && previous.incarnation != current.incarnation:
		events = append(events, event.ServerReplaced)
	case previous.state == current.state:
	case current.state == backend.Suspect:
		events = append(events, event.ServerSuspect)
	case current.state == backend.Quarantined:
		events = append(events, event.ServerQuarantined)
	case current.state == backend.Draining:
		events = append(events, event.ServerDraining)
	case current.state == backend.Gone && (previous.state == backend.Draining || previous.drainRequested) && current.idle:
		events = append(events, event.ServerLeft)
	case current.state == backend.Gone:
		events = append(events, event.ServerGone)
	case previous.state == backend.Suspect:
		events = append(events, event.ServerBack)
	case previous.state == backend.Quarantined:
		events = append(events, event.ServerRestored)
	}
	if wasKnown && current.drainRequested && !previous.drainRequested {
		events = append(events, event.ServerDraining)
	}
	if wasKnown && current.isDraining() && current.idle && !previous.isDraining() {
		events = append(events, event.ServerDrained)
	}
	return events
}

func (s reportedServer) isDraining() bool {
	return s.state != backend.Gone && (s.drainRequested || s.state == backend.Draining)
}

// countAttemptEnd updates the counters for an ended attempt, and logs when a draining
// server has become idle.
func (l *Leader) countAttemptEnd(t *state.Task, end state.AttemptEnd) {
	reported := &l.leadership.reported
	reported.runningTasks--
	if end.Lost || end.Failed || !end.Started {
		// The task runs again and the answer of this attempt is void. The size of the
		// job's answer is computed again.
		delete(l.leadership.answerCache.partialSizes, t.ID.Job)
	}
	if end.Lost {
		l.controlMetrics.lostAttempts.Inc()
		l.logLimiter.Log(l.Log, event.AttemptLost, "job", t.ID.Job, "task", t.ID.Index, "attempt", t.Attempt, "server", t.Server)
	}
	s, ok := reported.servers[t.Server]
	if !ok || s.idle || l.ledger.PlacedTaskCount(t.Server) > 0 {
		return
	}
	s.idle = true
	reported.servers[t.Server] = s
	if s.isDraining() {
		event.Log(l.Log, event.ServerDrained, "server", t.Server)
	}
}

func (l *Leader) countPlacement(t *state.Task) {
	reported := &l.leadership.reported
	reported.runningTasks++
	if s, ok := reported.servers[t.Server]; ok && s.idle {
		s.idle = false
		reported.servers[t.Server] = s
	}
}

// recordJobEnd logs job outcomes that need an operator's attention.
func (l *Leader) recordJobEnd(j *state.Job) {
	delete(l.leadership.answerCache.partialSizes, j.Number)
	if j.Outcome == v1.Outcome_OUTCOME_UNKNOWN {
		l.logLimiter.Log(l.Log, event.OutcomeUnknown, "team", j.Spec.Team, "job", j.Spec.ID)
	}
}

// recordDecision counts a planner decision and logs the decisions against a job or a
// server, each with the planner's reason.
func (l *Leader) recordDecision(decision plan.Decision) {
	l.controlMetrics.decisions.Inc()
	switch decision.Action {
	case plan.Place:
		l.controlMetrics.placements.Add(len(decision.Placements))
	case plan.Preempt:
		l.controlMetrics.preemptions.Inc()
		l.logLimiter.Log(l.Log, event.Preempted, "job", decision.Task.Job, "task", decision.Task.Index, "cause", decision.Reason)
	case plan.Throttle, plan.Stop:
		l.logLimiter.Log(l.Log, event.ServerOversized, "job", decision.Task.Job, "task", decision.Task.Index, "stopped", decision.Action == plan.Stop, "cause", decision.Reason)
	case plan.Park:
		if j, ok := l.ledger.Job(decision.Job); ok {
			l.logLimiter.Log(l.Log, event.JobParked, "team", j.Spec.Team, "job", j.Spec.ID, "cause", decision.Reason)
		}
	}
}

// recordAdmission counts the admission result of a submitted job and logs refusals.
func (l *Leader) recordAdmission(teamName, id string, c code.Code) {
	switch c {
	case code.OK:
		l.controlMetrics.acceptedJobs.Inc()
		return
	case code.QueueFull, code.Overloaded, code.DiskFull:
		l.leadership.reported.lastRefusalAt = l.Now()
		l.logLimiter.Log(l.Log, event.Overload, "team", teamName, "code", uint32(c))
	case code.Unplaceable:
		l.logLimiter.Log(l.Log, event.JobNeverFits, "team", teamName, "job", id)
	case code.IDReused:
		l.logLimiter.Log(l.Log, event.IDReused, "team", teamName, "id", id)
	}
	l.controlMetrics.refusedJobs.Inc()
}

// logChange logs an operator's change; oldRows are the table rows before the
// change.
func (l *Leader) logChange(keyID string, req *v1.ChangeRequest, r state.Result, oldRows []team.Row) {
	switch r.Code {
	case code.OK:
	case code.RevisionConflict:
		event.Log(l.Log, event.TableConflict, "key", keyID, "change", req.GetId(), "detail", r.Detail)
		return
	case code.IDReused:
		event.Log(l.Log, event.IDReused, "key", keyID, "change", req.GetId())
		return
	default:
		return
	}
	switch c := req.GetChange().(type) {
	case *v1.ChangeRequest_Grant:
		event.Log(l.Log, event.KeyGranted, "key", c.Grant.GetId(), "team", c.Grant.GetTeam(), "by", keyID)
	case *v1.ChangeRequest_Withdraw:
		event.Log(l.Log, event.KeyWithdrawn, "key", c.Withdraw.GetId(), "by", keyID)
	case *v1.ChangeRequest_Zone:
		event.Log(l.Log, event.ZoneMarked, "zone", c.Zone.GetZone(), "drain", c.Zone.GetDrain(), "by", keyID)
	case *v1.ChangeRequest_Table:
		event.Log(l.Log, event.TableChanged, "revision", r.Revision, "change", req.GetId(), "by", keyID)
		l.logLoweredLimits(oldRows)
	}
}

// logLoweredLimits logs the teams that hold more than the changed table allows.
func (l *Leader) logLoweredLimits(oldRows []team.Row) {
	for _, oldRow := range oldRows {
		row, ok := l.ledger.Table().Row(oldRow.Name)
		if !ok || row.Limit == oldRow.Limit || l.leadership.reported.teamsOverLimit[row.Name] || l.ledger.TeamHeldCapacity(row.Name).Within(row.Limit) {
			continue
		}
		l.leadership.reported.teamsOverLimit[row.Name] = true
		event.Log(l.Log, event.LimitLowered, "team", row.Name, "revision", l.ledger.Table().Revision())
	}
}

// logLimitsAndFaults logs when a team is within its lowered limit again, when an
// overload is over, and when new state chart faults were counted.
func (l *Leader) logLimitsAndFaults(now time.Duration) {
	reported := &l.leadership.reported
	for name := range reported.teamsOverLimit {
		row, ok := l.ledger.Table().Row(name)
		if !ok || l.ledger.TeamHeldCapacity(name).Within(row.Limit) {
			delete(reported.teamsOverLimit, name)
			event.Log(l.Log, event.LimitMet, "team", name)
		}
	}
	if reported.lastRefusalAt > 0 && now-reported.lastRefusalAt > overloadQuietPeriod {
		reported.lastRefusalAt = 0
		event.Log(l.Log, event.OverloadOver)
	}
	if n := l.ledger.InvalidTransitions(); n > reported.chartFaults {
		event.Log(l.Log, event.PromiseBroken, "check", "state chart", "faults", n)
		reported.chartFaults = n
	}
}

// checkLeaderless logs an event once when no leader has been known for longer than
// leaderlessAlarmDelay.
func (l *Leader) checkLeaderless(now time.Duration) {
	if l.leaderlessFor(now) <= leaderlessAlarmDelay {
		l.leaderlessLogged = false
		return
	}
	if !l.leaderlessLogged {
		l.leaderlessLogged = true
		event.Log(l.Log, event.LeaderUnknown, "since", l.leaderlessFor(now).String())
	}
}

// logMembership logs the differences between the previous membership and a new one.
func (l *Leader) logMembership(n group.MembershipChanged) {
	oldMembers := l.membership.Members
	if len(oldMembers) == 0 {
		return
	}
	indexOf := func(members []quorum.Member, id string) int {
		return slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == id })
	}
	for _, m := range n.Members {
		switch i := indexOf(oldMembers, m.ID); {
		case i < 0:
			event.Log(l.Log, event.MemberAdded, "member", m.ID, "address", m.Address, "learner", m.Learner)
		case oldMembers[i].Learner && !m.Learner:
			event.Log(l.Log, event.MemberPromoted, "member", m.ID)
		}
	}
	for _, m := range oldMembers {
		if indexOf(n.Members, m.ID) >= 0 {
			continue
		}
		event.Log(l.Log, event.MemberRemoved, "member", m.ID)
		if m.ID == n.Self {
			event.Log(l.Log, event.StaleIdentity, "member", m.ID)
		}
	}
}

// logDuplicateAttempt logs an attempt that one server reports as started and the
// ledger holds on another server.
func (l *Leader) logDuplicateAttempt(b state.Server, report *v1.Report) {
	a := attemptFromMessage(report.GetAttempt())
	t, ok := l.ledger.Task(a.ID)
	if ok && t.Attempt == a.Number && t.Server != b.ID && t.Server != "" && report.GetStarted() {
		l.logLimiter.Log(l.Log, event.AttemptTwice, "job", a.Job, "task", a.Index, "attempt", a.Number, "server", b.ID, "holder", t.Server)
	}
}

// logCancelWave logs a cancellation of many jobs at once.
func (l *Leader) logCancelWave(teamName string, c *record.Cancel) {
	if len(c.GetJobs()) >= cancelWaveSize {
		event.Log(l.Log, event.CancelWave, "team", teamName, "jobs", len(c.GetJobs()))
	}
}

// logDiskFull logs when the disk becomes full and when it has free space again.
func (l *Leader) logDiskFull(full bool) {
	switch {
	case full && !l.diskFull:
		event.Log(l.Log, event.DiskFull)
	case !full && l.diskFull:
		event.Log(l.Log, event.DiskFree)
	}
}

// logRestore logs whether a restored snapshot came from the local disk at startup
// or from the leader because this replica lagged too far behind.
func (l *Leader) logRestore(n group.RestoreSnapshot) {
	switch {
	case !l.stateLoaded:
		l.stateLoaded = true
		if n.Index > 0 {
			event.Log(l.Log, event.SnapshotLoaded, "index", n.Index, "bytes", len(n.State))
		}
	case n.Index > l.appliedIndex:
		event.Log(l.Log, event.SnapshotFetched, "index", n.Index, "bytes", len(n.State))
	}
}
