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
	// leaderlessAfter is after how long without a leader an alarm is raised.
	leaderlessAfter = 5 * time.Second
	// calmAfter is after how long without a refusal an overload is over.
	calmAfter = 10 * time.Second
	// wave is from how many jobs on a cancellation is told as a wave.
	wave = 100
)

// seen is what was told of the servers and teams while this replica leads.
type seen struct {
	servers map[string]seenServer
	ready   int
	running int
	// replaying holds events back while a new planner is told the ledger.
	replaying bool
	// over are the teams above a limit that was lowered.
	over map[string]bool
	// refused is when work was last refused for overload; 0 for not lately.
	refused time.Duration
	faults  int
}

type seenServer struct {
	incarnation uint64
	state       backend.State
	drain       bool
	empty       bool
}

func (s seenServer) schedulable() bool { return s.state == backend.Ready && !s.drain }

// serverSeen tells what changed in a server's state. It tells what was decided,
// which is committed a moment later.
func (l *Leader) serverSeen(b state.Server) {
	ld := &l.lead.seen
	old, known := ld.servers[b.ID]
	next := seenServer{b.Incarnation, b.Server.State, b.IsDrained(), l.st.PlacedTaskCount(b.ID) == 0}
	ld.servers[b.ID] = next
	if next.state == backend.Gone {
		delete(ld.servers, b.ID)
	}
	if known && old.schedulable() {
		ld.ready--
	}
	if next.schedulable() {
		ld.ready++
	}
	if ld.replaying {
		return
	}
	for _, id := range transitions(old, next, known) {
		l.limit.Log(l.Log, id, "server", b.ID, "incarnation", b.Incarnation, "tasks", l.st.PlacedTaskCount(b.ID))
	}
	if known && old.schedulable() && ld.ready == 0 {
		event.Log(l.Log, event.NoServers, "server", b.ID)
	}
}

// transitions returns the events of a server's change.
func transitions(old, next seenServer, known bool) (out []event.Definition) {
	switch {
	case !known && next.state != backend.Gone:
		out = append(out, event.ServerAnnounced)
	case known && old.incarnation != next.incarnation:
		out = append(out, event.ServerReplaced)
	case old.state == next.state:
	case next.state == backend.Suspect:
		out = append(out, event.ServerSuspect)
	case next.state == backend.Quarantined:
		out = append(out, event.ServerQuarantined)
	case next.state == backend.Draining:
		out = append(out, event.ServerDraining)
	case next.state == backend.Gone && (old.state == backend.Draining || old.drain) && next.empty:
		out = append(out, event.ServerLeft)
	case next.state == backend.Gone:
		out = append(out, event.ServerGone)
	case old.state == backend.Suspect:
		out = append(out, event.ServerBack)
	case old.state == backend.Quarantined:
		out = append(out, event.ServerRestored)
	}
	if known && next.drain && !old.drain {
		out = append(out, event.ServerDraining)
	}
	if known && next.leaving() && next.empty && !old.leaving() {
		out = append(out, event.ServerDrained)
	}
	return out
}

func (s seenServer) leaving() bool {
	return s.state != backend.Gone && (s.drain || s.state == backend.Draining)
}

// released notes that an attempt ended, and tells when a drained server is empty.
func (l *Leader) released(t *state.Task, how state.AttemptEnd) {
	ld := &l.lead.seen
	ld.running--
	if how.Lost || how.Failed || !how.Started {
		// The task runs again and its answer counts for nothing: counted anew.
		delete(l.lead.answers.sizes, t.ID.Job)
	}
	if how.Lost {
		l.meter.lost.Inc()
		l.limit.Log(l.Log, event.AttemptLost, "job", t.ID.Job, "task", t.ID.Index, "attempt", t.Attempt, "server", t.Server)
	}
	s, ok := ld.servers[t.Server]
	if !ok || s.empty || l.st.PlacedTaskCount(t.Server) > 0 {
		return
	}
	s.empty = true
	ld.servers[t.Server] = s
	if s.leaving() {
		event.Log(l.Log, event.ServerDrained, "server", t.Server)
	}
}

func (l *Leader) placed(t *state.Task) {
	ld := &l.lead.seen
	ld.running++
	if s, ok := ld.servers[t.Server]; ok && s.empty {
		s.empty = false
		ld.servers[t.Server] = s
	}
}

// endedSeen tells of outcomes that someone has to hear of.
func (l *Leader) endedSeen(j *state.Job) {
	delete(l.lead.answers.sizes, j.Number)
	switch {
	case j.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		l.limit.Log(l.Log, event.OutcomeUnknown, "team", j.Spec.Team, "job", j.Spec.ID)
	case j.Code == code.GivenUp:
		l.limit.Log(l.Log, event.JobParked, "team", j.Spec.Team, "job", j.Spec.ID)
	}
}

// decided tells of decisions that change what runs.
func (l *Leader) decided(d plan.Decision) {
	l.meter.decisions.Inc()
	switch d.Action {
	case plan.Place:
		l.meter.placements.Add(len(d.Placements))
	case plan.Preempt:
		l.meter.preempted.Inc()
		l.limit.Log(l.Log, event.Preempted, "job", d.Task.Job, "task", d.Task.Index)
	case plan.Throttle:
		l.limit.Log(l.Log, event.ServerOversized, "job", d.Task.Job, "task", d.Task.Index)
	}
}

// judged counts what became of a submitted job, and tells of refusals.
func (l *Leader) judged(owner, id string, c code.Code) {
	switch c {
	case code.OK:
		l.meter.accepted.Inc()
		return
	case code.QueueFull, code.Overloaded, code.DiskFull:
		l.lead.seen.refused = l.Now()
		l.limit.Log(l.Log, event.Overload, "team", owner, "code", uint32(c))
	case code.Unplaceable:
		l.limit.Log(l.Log, event.JobNeverFits, "team", owner, "job", id)
	case code.IDReused:
		l.limit.Log(l.Log, event.IDReused, "team", owner, "id", id)
	}
	l.meter.refused.Inc()
}

// changed tells of an operator's change; before is the table it started from.
func (l *Leader) changed(by string, req *v1.ChangeRequest, r state.Result, before []team.Row) {
	switch r.Code {
	case code.OK:
	case code.RevisionConflict:
		event.Log(l.Log, event.TableConflict, "key", by, "change", req.GetId(), "detail", r.Detail)
		return
	case code.IDReused:
		event.Log(l.Log, event.IDReused, "key", by, "change", req.GetId())
		return
	default:
		return
	}
	switch c := req.GetChange().(type) {
	case *v1.ChangeRequest_Grant:
		event.Log(l.Log, event.KeyGranted, "key", c.Grant.GetId(), "team", c.Grant.GetTeam(), "by", by)
	case *v1.ChangeRequest_Withdraw:
		event.Log(l.Log, event.KeyWithdrawn, "key", c.Withdraw.GetId(), "by", by)
	case *v1.ChangeRequest_Zone:
		event.Log(l.Log, event.ZoneMarked, "zone", c.Zone.GetZone(), "drain", c.Zone.GetDrain(), "by", by)
	case *v1.ChangeRequest_Table:
		event.Log(l.Log, event.TableChanged, "revision", r.Revision, "change", req.GetId(), "by", by)
		l.lowered(before)
	}
}

// lowered tells of teams that hold more than the table allows them now.
func (l *Leader) lowered(before []team.Row) {
	for _, old := range before {
		row, ok := l.st.Table().Row(old.Name)
		if !ok || row.Limit == old.Limit || l.lead.seen.over[row.Name] || l.st.TeamHeldCapacity(row.Name).Within(row.Limit) {
			continue
		}
		l.lead.seen.over[row.Name] = true
		event.Log(l.Log, event.LimitLowered, "team", row.Name, "revision", l.st.Table().Revision())
	}
}

// look tells what only shows with time.
func (l *Leader) look(now time.Duration) {
	ld := &l.lead.seen
	for name := range ld.over {
		row, ok := l.st.Table().Row(name)
		if !ok || l.st.TeamHeldCapacity(name).Within(row.Limit) {
			delete(ld.over, name)
			event.Log(l.Log, event.LimitMet, "team", name)
		}
	}
	if ld.refused > 0 && now-ld.refused > calmAfter {
		ld.refused = 0
		event.Log(l.Log, event.OverloadOver)
	}
	if n := l.st.InvalidTransitions(); n > ld.faults {
		event.Log(l.Log, event.PromiseBroken, "check", "state chart", "faults", n)
		ld.faults = n
	}
}

// alone raises an alarm once when no leader is known for long.
func (l *Leader) alone(now time.Duration) {
	if l.silence(now) <= leaderlessAfter {
		l.alarmed = false
		return
	}
	if !l.alarmed {
		l.alarmed = true
		event.Log(l.Log, event.LeaderUnknown, "since", l.silence(now).String())
	}
}

// membersSeen tells what a new membership changed.
func (l *Leader) membersSeen(n group.MembershipChanged) {
	old := l.members.Members
	if len(old) == 0 {
		return
	}
	find := func(ms []quorum.Member, id string) int {
		return slices.IndexFunc(ms, func(m quorum.Member) bool { return m.ID == id })
	}
	for _, m := range n.Members {
		switch i := find(old, m.ID); {
		case i < 0:
			event.Log(l.Log, event.MemberAdded, "member", m.ID, "address", m.Address, "learner", m.Learner)
		case old[i].Learner && !m.Learner:
			event.Log(l.Log, event.MemberPromoted, "member", m.ID)
		}
	}
	for _, m := range old {
		if find(n.Members, m.ID) >= 0 {
			continue
		}
		event.Log(l.Log, event.MemberRemoved, "member", m.ID)
		if m.ID == n.Self {
			event.Log(l.Log, event.StaleIdentity, "member", m.ID)
		}
	}
}

// strangers tells of an attempt that a server reports and another one holds.
func (l *Leader) strangers(b state.Server, r *v1.Report) {
	a := attemptOf(r.GetAttempt())
	t, ok := l.st.Task(a.ID)
	if ok && t.Attempt == a.Number && t.Server != b.ID && t.Server != "" && r.GetStarted() {
		l.limit.Log(l.Log, event.AttemptTwice, "job", a.Job, "task", a.Index, "attempt", a.Number, "server", b.ID, "holder", t.Server)
	}
}

// waves tells of many cancellations at once.
func (l *Leader) waves(owner string, c *record.Cancel) {
	if len(c.GetJobs()) >= wave {
		event.Log(l.Log, event.CancelWave, "team", owner, "jobs", len(c.GetJobs()))
	}
}

// fullSeen tells when the disk got full, or got room again.
func (l *Leader) fullSeen(full bool) {
	switch {
	case full && !l.full:
		event.Log(l.Log, event.DiskFull)
	case !full && l.full:
		event.Log(l.Log, event.DiskFree)
	}
}

// restored tells where a state came from: the disk at the start, the leader
// when this replica lagged too far behind.
func (l *Leader) restored(n group.RestoreSnapshot) {
	switch {
	case !l.loaded:
		l.loaded = true
		if n.Index > 0 {
			event.Log(l.Log, event.SnapshotLoaded, "index", n.Index, "bytes", len(n.State))
		}
	case n.Index > l.applied:
		event.Log(l.Log, event.SnapshotFetched, "index", n.Index, "bytes", len(n.State))
	}
}
