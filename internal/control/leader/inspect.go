package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/ledger/state"
)

// viewLines bounds each list of a View.
const viewLines = 20

// View is what the control thread holds, for whoever is on duty. Times are in
// seconds. What belongs to leading is zero while following.
type View struct {
	Leads bool
	Term  uint64
	// Applied is the index of the latest command applied, Saved that of the
	// latest snapshot, Committed what a quorum has.
	Applied, Saved, Committed uint64
	// Confirmed is the age of the latest proof that this replica leads.
	Confirmed float64
	Full      bool
	Faults    int
	// Sum is that of the state, to compare replicas at one index.
	Sum      uint64
	Revision uint64

	// Inbox are batches that wait for the thread, Pending commands that the group
	// has not taken, Held replies whose cause is not committed, Reads those that
	// wait for proof, Waits jobs that callers wait for, Timers what is due later.
	Inbox, Pending, Held, Reads, Waits, Timers int

	Running int
	// Teams with the most waiting jobs, and the jobs that wait longest.
	Teams  []TeamView
	Oldest []JobView
	// Servers counts the backend servers by state, Leases lists those that were
	// not heard from for longest.
	Servers map[string]int
	Leases  []LeaseView
	// Zones are the availability zones with their backend servers.
	Zones []state.Zone
}

// TeamView is one team's queue.
type TeamView struct {
	Team    string
	Waiting int
}

// JobView is a job that waits.
type JobView struct {
	Team, ID string
	Number   uint64
	Waits    float64
	Tasks    uint32
}

// LeaseView is a server's lease.
type LeaseView struct {
	Server string
	State  string
	// Silent is the time since the latest sync, Left until the lease is over.
	Silent, Left float64
	Tasks        int
}

// Inspect returns what the control thread holds; it fails when the thread has
// no time until ctx ends.
func (l *Leader) Inspect(ctx context.Context) (View, error) {
	var v View
	err := l.Execute(ctx, func(*state.State) { v = l.view() })
	if err != nil {
		return View{}, err
	}
	return v, nil
}

func (l *Leader) view() View {
	v := View{
		Term: l.status.Load().Term, Applied: l.applied, Saved: l.saved, Full: l.full, Faults: l.st.InvalidTransitions(),
		Sum: l.st.Digest(), Revision: l.st.Table().Revision(), Inbox: len(l.inbox), Servers: map[string]int{},
	}
	l.st.EachServer(func(b state.Server) {
		v.Servers[shownState(b)]++
		v.Running += l.st.PlacedTaskCount(b.ID)
	})
	v.Zones = l.st.Zones()
	v.Teams = l.teamViews()
	v.Oldest = l.oldest()
	if ld := l.lead; ld != nil {
		v.Leads, v.Committed, v.Confirmed = true, ld.committed, (l.Now() - ld.confirmed).Seconds()
		v.Pending, v.Held, v.Reads, v.Waits, v.Timers = len(ld.pending), len(ld.held), len(ld.reads), len(ld.waits), len(ld.due)
		v.Leases = l.leaseViews()
	}
	return v
}

// first keeps the viewLines least of what is added, in order, without sorting all.
type first[T any] struct {
	compare func(a, b T) int
	items   []T
}

func (f *first[T]) add(v T) {
	if len(f.items) == viewLines && f.compare(v, f.items[viewLines-1]) >= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(f.items, v, f.compare)
	f.items = slices.Insert(f.items, i, v)
	f.items = f.items[:min(len(f.items), viewLines)]
}

func (l *Leader) teamViews() []TeamView {
	out := first[TeamView]{compare: func(a, b TeamView) int { return cmp.Compare(b.Waiting, a.Waiting) }}
	for _, r := range l.st.Table().Rows() {
		if n := l.st.TeamWaitingJobs(r.Name); n > 0 {
			out.add(TeamView{r.Name, n})
		}
	}
	return out.items
}

func (l *Leader) oldest() []JobView {
	oldest := first[*state.Job]{compare: func(a, b *state.Job) int { return cmp.Compare(a.Number, b.Number) }}
	l.st.EachJob(func(j *state.Job) {
		if !j.Final() && j.WaitingTasks > 0 {
			oldest.add(j)
		}
	})
	var out []JobView
	for _, j := range oldest.items {
		out = append(out, JobView{j.Spec.Team, j.Spec.ID, j.Number, (l.clock() - j.AcceptedAt).Seconds(), j.WaitingTasks})
	}
	return out
}

func (l *Leader) leaseViews() []LeaseView {
	now := l.Now()
	out := first[LeaseView]{compare: func(a, b LeaseView) int {
		return cmp.Or(cmp.Compare(b.Silent, a.Silent), cmp.Compare(a.Server, b.Server))
	}}
	for id, s := range l.lead.servers {
		b, ok := l.st.Server(id)
		if !ok || b.Server.State == backend.Gone {
			continue
		}
		out.add(LeaseView{id, shownState(b), (now - s.heard).Seconds(), l.lead.book.Left(id, now).Seconds(), l.st.PlacedTaskCount(id)})
	}
	return out.items
}

// shownState names a server's state; a drain by an operator stands before it.
func shownState(b state.Server) string {
	if b.IsDrained() && b.Server.State != backend.Gone {
		return backend.Draining.String()
	}
	return b.Server.State.String()
}

// silence returns for how long no leader is known.
func (l *Leader) silence(now time.Duration) time.Duration {
	st := l.status.Load()
	if st.Leads || st.Leader != "" || l.leaderless == 0 {
		l.leaderless = now
	}
	return now - l.leaderless
}
