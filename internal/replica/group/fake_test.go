package group_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// memory is a journal and a snapshot store that survive their group.
type memory struct {
	mu       sync.Mutex
	hard     quorum.HardState
	entries  []quorum.Entry
	snapshot quorum.Snapshot
	// broken is what Sync returns, refuse what Append does.
	broken error
	refuse error
	free   uint64
	// unsaved is what Save returns, saves counts its calls; stall, if not nil, is
	// waited for by each.
	unsaved error
	saves   int
	stall   chan struct{}
}

func (m *memory) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse != nil {
		return m.refuse
	}
	if n := len(m.entries); n > 0 && len(entries) > 0 && entries[0].Index > m.entries[n-1].Index+1 {
		return journal.ErrIndexGap
	}
	if hard != nil {
		m.hard = *hard
	}
	for _, e := range entries {
		for len(m.entries) > 0 && m.entries[len(m.entries)-1].Index >= e.Index {
			m.entries = m.entries[:len(m.entries)-1]
		}
		m.entries = append(m.entries, e)
	}
	return nil
}

func (m *memory) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broken
}

func (m *memory) Compact(index uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.entries) > 0 && m.entries[0].Index <= index {
		m.entries = m.entries[1:]
	}
	return nil
}

func (m *memory) Close() error { return nil }

func (m *memory) FreeBytes() (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.free, nil
}

func (m *memory) Save(meta snapshot.Meta, state []byte) error {
	m.mu.Lock()
	stall := m.stall
	m.saves++
	m.mu.Unlock()
	if stall != nil {
		<-stall
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unsaved != nil {
		return m.unsaved
	}
	m.snapshot = quorum.Snapshot{Index: meta.Index, Term: meta.Term, Members: meta.Members, State: state}
	return nil
}

func (m *memory) saved() quorum.PersistedState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return quorum.PersistedState{HardState: m.hard, Entries: append([]quorum.Entry(nil), m.entries...), Snapshot: m.snapshot}
}

// network carries messages with a delay of 1.5 ms; a silent replica gets and
// gives nothing.
type network struct {
	mu     sync.Mutex
	groups map[string]*group.Group
	silent map[string]bool
}

type link struct {
	n    *network
	from string
}

const oneWay = 1500 * time.Microsecond

func (l link) Send(to, _ string, data [][]byte) {
	time.AfterFunc(oneWay, func() {
		l.n.mu.Lock()
		g := l.n.groups[to]
		lost := l.n.silent[to] || l.n.silent[l.from]
		l.n.mu.Unlock()
		if g == nil || lost {
			return
		}
		for _, d := range data {
			g.Receive(l.from, d)
		}
	})
}

// replica is a group with a control thread that keeps the commands it was given.
type replica struct {
	g      *group.Group
	disk   *memory
	err    chan error
	cancel context.CancelFunc

	mu       sync.Mutex
	lead     *group.Leading
	next     uint64
	follow   group.Following
	state    []string
	mine     map[uint64]string
	commit   uint64
	confirm  time.Duration
	members  []quorum.Member
	restores int
	full     bool
}

// start lies before the beginning of a bubble's clock.
var start = time.Date(1999, 12, 31, 0, 0, 0, 0, time.UTC)

func run(t *testing.T, n *network, id string, disk *memory, bootstrap ...quorum.Member) *replica {
	t.Helper()
	r := &replica{disk: disk, err: make(chan error, 1), mine: map[uint64]string{}}
	r.g = &group.Group{
		Config:    quorum.Config{ID: id, Address: id, Seed: uint64(len(id) + int(id[0])), InitialMembers: bootstrap},
		Recovered: disk.saved(),
		Journal:   disk, Snapshots: disk, Transport: link{n, id},
		Now: func() time.Duration { return time.Since(start) },
		Log: logr.Discard(),
	}
	n.mu.Lock()
	n.groups[id] = r.g
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.err <- r.g.Run(ctx) }()
	go r.control()
	t.Cleanup(cancel)
	return r
}

func (r *replica) control() {
	for {
		select {
		case <-r.g.Done():
			return
		case n := <-r.g.Notifications():
			r.take(n)
		}
	}
}

func (r *replica) take(n group.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch n := n.(type) {
	case group.Leading:
		r.lead, r.next = &n, n.LastIndex+1
	case group.Following:
		if r.lead != nil {
			r.mine = map[uint64]string{}
			go r.g.Reload()
		}
		r.lead, r.follow = nil, n
	case group.ApplyEntries:
		for _, e := range n.Entries {
			r.apply(e)
		}
	case group.CommitAdvanced:
		for r.commit < n.Index {
			r.apply(quorum.Entry{Index: r.commit + 1, Kind: quorum.EntryCommand, Data: []byte(r.mine[r.commit+1])})
		}
	case group.LeadershipConfirmed:
		r.confirm = n.StartedAt
	case group.RestoreSnapshot:
		r.restores++
		r.state, r.commit = nil, n.Index
		if len(n.State) > 0 {
			r.state = []string{string(n.State)}
		}
	case group.MembershipChanged:
		r.members = n.Members
	case group.JournalDiskFull:
		r.full = n.Full
	}
}

func (r *replica) apply(e quorum.Entry) {
	r.commit = e.Index
	if e.Kind == quorum.EntryCommand && len(e.Data) > 0 {
		r.state = append(r.state, string(e.Data))
	}
}

// propose gives the leader's commands one by one.
func (r *replica) propose(commands ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == nil {
		return false
	}
	for _, c := range commands {
		if !r.g.Propose(group.Proposal{Term: r.lead.Term, FirstIndex: r.next, Commands: [][]byte{[]byte(c)}}) {
			return false
		}
		r.mine[r.next] = c
		r.next++
	}
	return true
}

func (r *replica) change(m quorum.Member, remove bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.g.Propose(group.Proposal{Term: r.lead.Term, FirstIndex: r.next, Member: &m, RemoveMember: remove})
	r.next++
}

func (r *replica) view() (state []string, leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.state...), r.lead != nil
}

// alone runs a group of one replica, which leads.
func alone(t *testing.T) (*replica, *memory) {
	d := roomy()
	r := run(t, newNetwork(), "a/1", d, quorum.Member{ID: "a/1", Address: "a/1"})
	leaderOf(t, r)
	return r, d
}

// leaderOf waits, on the bubble's clock, for the one that leads.
func leaderOf(t *testing.T, rs ...*replica) *replica {
	t.Helper()
	for range 500 {
		for _, r := range rs {
			if _, leading := r.view(); leading {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader within 5 s")
	return nil
}

func commands(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}
