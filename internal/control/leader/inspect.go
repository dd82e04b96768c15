package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/ledger/state"
)

// maxViewLines limits each list of a View.
const maxViewLines = 20

// View is a dump of the control thread's state for operators. Times are in seconds.
// Fields about leadership are zero on a follower.
type View struct {
	Leads bool
	Term  uint64
	// Applied is the log index of the latest applied command, Saved the index of the
	// latest snapshot, and Committed the commit index.
	Applied, Saved, Committed uint64
	// Confirmed is the age of the last heartbeat round that a quorum confirmed.
	Confirmed float64
	Full      bool
	Faults    int
	// Sum is the digest of the state. Replicas with the same applied index must have
	// the same digest.
	Sum      uint64
	Revision uint64

	// Inbox counts the functions queued for the control thread, Pending the commands
	// not yet handed to the group, Held the replies held until their commands are
	// committed, Reads the reads that wait for a confirmation of the leadership, Waits
	// the jobs with parked waits, and Timers the timers that are set.
	Inbox, Pending, Held, Reads, Waits, Timers int

	// Running counts the tasks placed on backend servers.
	Running int
	// Teams lists the teams with the most waiting jobs, Oldest the jobs that have waited
	// longest.
	Teams  []TeamView
	Oldest []JobView
	// Servers counts the backend servers by state. Leases lists the servers with the
	// oldest syncs.
	Servers map[string]int
	Leases  []LeaseView
	// Zones lists the availability zones with the number of their backend servers.
	Zones []state.Zone
}

// TeamView is the number of waiting jobs of one team.
type TeamView struct {
	Team    string
	Waiting int
}

// JobView describes a waiting job.
type JobView struct {
	Team, ID string
	Number   uint64
	Waits    float64
	Tasks    uint32
}

// LeaseView describes the lease of one backend server.
type LeaseView struct {
	Server string
	State  string
	// Silent is the time since the latest sync, and Left the time until the lease
	// expires.
	Silent, Left float64
	Tasks        int
}

// Inspect returns a View of the control thread. It fails when the control thread
// does not answer before ctx ends.
func (l *Leader) Inspect(ctx context.Context) (View, error) {
	var v View
	err := l.Execute(ctx, func(*state.State) { v = l.currentView() })
	if err != nil {
		return View{}, err
	}
	return v, nil
}

func (l *Leader) currentView() View {
	v := View{
		Term: l.status.Load().Term, Applied: l.appliedIndex, Saved: l.snapshotIndex, Full: l.diskFull, Faults: l.ledger.InvalidTransitions(),
		Sum: l.ledger.Digest(), Revision: l.ledger.Table().Revision(), Inbox: len(l.inbox), Servers: map[string]int{},
	}
	l.ledger.EachServer(func(b state.Server) {
		v.Servers[displayedState(b)]++
		v.Running += l.ledger.PlacedTaskCount(b.ID)
	})
	v.Zones = l.ledger.Zones()
	v.Teams = l.teamViews()
	v.Oldest = l.oldestJobs()
	if lead := l.leadership; lead != nil {
		v.Leads, v.Committed, v.Confirmed = true, lead.commitIndex, (l.Now() - lead.confirmedAt).Seconds()
		v.Pending, v.Held, v.Reads, v.Waits, v.Timers = len(lead.pendingCommands), len(lead.heldReplies), len(lead.pendingReads), len(lead.parkedWaits), len(lead.timers)
		v.Leases = l.leaseViews()
	}
	return v
}

// smallest holds the maxViewLines smallest of the inserted items in ascending order. It
// never holds or sorts all of them.
type smallest[T any] struct {
	compare func(a, b T) int
	items   []T
}

func (f *smallest[T]) insert(v T) {
	if len(f.items) == maxViewLines && f.compare(v, f.items[maxViewLines-1]) >= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(f.items, v, f.compare)
	f.items = slices.Insert(f.items, i, v)
	f.items = f.items[:min(len(f.items), maxViewLines)]
}

func (l *Leader) teamViews() []TeamView {
	out := smallest[TeamView]{compare: func(a, b TeamView) int { return cmp.Compare(b.Waiting, a.Waiting) }}
	for _, r := range l.ledger.Table().Rows() {
		if n := l.ledger.TeamWaitingJobs(r.Name); n > 0 {
			out.insert(TeamView{r.Name, n})
		}
	}
	return out.items
}

func (l *Leader) oldestJobs() []JobView {
	oldest := smallest[*state.Job]{compare: func(a, b *state.Job) int { return cmp.Compare(a.Number, b.Number) }}
	l.ledger.EachJob(func(j *state.Job) {
		if !j.Final() && j.WaitingTasks > 0 {
			oldest.insert(j)
		}
	})
	var out []JobView
	for _, j := range oldest.items {
		out = append(out, JobView{j.Spec.Team, j.Spec.ID, j.Number, (l.ledgerTime() - j.AcceptedAt).Seconds(), j.WaitingTasks})
	}
	return out
}

func (l *Leader) leaseViews() []LeaseView {
	now := l.Now()
	out := smallest[LeaseView]{compare: func(a, b LeaseView) int {
		return cmp.Or(cmp.Compare(b.Silent, a.Silent), cmp.Compare(a.Server, b.Server))
	}}
	for id, s := range l.leadership.sessions {
		b, ok := l.ledger.Server(id)
		if !ok || b.Server.State == backend.Gone {
			continue
		}
		out.insert(LeaseView{id, displayedState(b), (now - s.lastSyncAt).Seconds(), l.leadership.leases.Remaining(id, now).Seconds(), l.ledger.PlacedTaskCount(id)})
	}
	return out.items
}

// displayedState returns the name of a server's state. A server drained by an
// operator or with its zone is displayed as draining.
func displayedState(b state.Server) string {
	if b.IsDrained() && b.Server.State != backend.Gone {
		return backend.Draining.String()
	}
	return b.Server.State.String()
}

// leaderlessFor returns for how long no leader has been known.
func (l *Leader) leaderlessFor(now time.Duration) time.Duration {
	status := l.Status()
	if status.Leads || status.Leader != "" || l.leaderlessSince == 0 {
		l.leaderlessSince = now
	}
	return now - l.leaderlessSince
}
