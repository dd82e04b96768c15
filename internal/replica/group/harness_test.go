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

// memoryStore is a journal and a snapshot store in memory. It keeps its contents
// when its group stops.
type memoryStore struct {
	mu        sync.Mutex
	hardState quorum.HardState
	entries   []quorum.Entry
	snapshot  quorum.Snapshot
	// syncErr is the error that Sync returns. syncStall blocks Sync until the channel is closed,
	// unless it is nil.
	syncErr   error
	syncStall chan struct{}
	// closed is true once the journal is closed.
	closed bool
	// appendErr is the error that Append returns.
	appendErr error
	freeBytes uint64
	// saveErr is the error that Save returns.
	saveErr error
	// saveCalls counts the calls of Save.
	saveCalls int
	// saveStall blocks Save until the channel is closed, unless it is nil.
	saveStall chan struct{}
}

func (m *memoryStore) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.appendErr != nil {
		return m.appendErr
	}
	if n := len(m.entries); n > 0 && len(entries) > 0 && entries[0].Index > m.entries[n-1].Index+1 {
		return journal.ErrIndexGap
	}
	if hard != nil {
		m.hardState = *hard
	}
	for _, e := range entries {
		for len(m.entries) > 0 && m.entries[len(m.entries)-1].Index >= e.Index {
			m.entries = m.entries[:len(m.entries)-1]
		}
		m.entries = append(m.entries, e)
	}
	return nil
}

// update changes fields of the store under its lock.
func (m *memoryStore) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *memoryStore) Sync() error {
	m.mu.Lock()
	syncStall := m.syncStall
	m.mu.Unlock()
	if syncStall != nil {
		<-syncStall
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncErr
}

func (m *memoryStore) Compact(index uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.entries) > 0 && m.entries[0].Index <= index {
		m.entries = m.entries[1:]
	}
	return nil
}

func (m *memoryStore) Close() error {
	m.update(func() { m.closed = true })
	return nil
}

func (m *memoryStore) isClosed() (closed bool) {
	m.update(func() { closed = m.closed })
	return closed
}

func (m *memoryStore) FreeBytes() (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freeBytes, nil
}

func (m *memoryStore) Save(meta snapshot.Meta, state []byte) error {
	m.mu.Lock()
	saveStall := m.saveStall
	m.saveCalls++
	m.mu.Unlock()
	if saveStall != nil {
		<-saveStall
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.saveErr != nil {
		return m.saveErr
	}
	m.snapshot = quorum.Snapshot{Index: meta.Index, Term: meta.Term, Members: meta.Members, State: state}
	return nil
}

// recovered returns the state from which a restarted group continues.
func (m *memoryStore) recovered() quorum.PersistedState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return quorum.PersistedState{HardState: m.hardState, Entries: append([]quorum.Entry(nil), m.entries...), Snapshot: m.snapshot}
}

// network delivers messages between groups in one process after oneWayDelay.
type network struct {
	mu     sync.Mutex
	groups map[string]*group.Group
	// isolated holds the replicas whose messages are dropped in both directions.
	isolated map[string]bool
}

// networkTransport sends the messages of one replica over a network.
type networkTransport struct {
	network *network
	from    string
}

// oneWayDelay is the time that a message takes from one replica to another.
const oneWayDelay = 1500 * time.Microsecond

func (t networkTransport) Send(to, _ string, data [][]byte) {
	time.AfterFunc(oneWayDelay, func() {
		t.network.mu.Lock()
		g := t.network.groups[to]
		dropped := t.network.isolated[to] || t.network.isolated[t.from]
		t.network.mu.Unlock()
		if g == nil || dropped {
			return
		}
		for _, d := range data {
			g.Receive(t.from, d)
		}
	})
}

// replica is a group together with a simple control thread, which collects the
// commands that it applies.
type replica struct {
	group  *group.Group
	store  *memoryStore
	runErr chan error
	cancel context.CancelFunc

	// stand makes the control thread stand until the received channel is closed.
	stand chan (<-chan struct{})

	mu                  sync.Mutex
	leading             *group.Leading
	nextIndex           uint64
	following           group.Following
	appliedCommands     []string
	proposedCommands    map[uint64]string // by log index
	commitIndex         uint64
	confirmedRoundStart time.Duration
	members             []quorum.Member
	restoreCount        int
	diskFull            bool
}

// clockStart is the zero of the groups' clock. It lies before the start of the
// fake clock of a synctest bubble (1 January 2000), so that all times are positive.
var clockStart = time.Date(1999, 12, 31, 0, 0, 0, 0, time.UTC)

// startReplica starts a replica that continues from the contents of the store.
func startReplica(t *testing.T, n *network, id string, store *memoryStore, bootstrap ...quorum.Member) *replica {
	t.Helper()
	r := &replica{store: store, runErr: make(chan error, 1), stand: make(chan (<-chan struct{})), proposedCommands: map[uint64]string{}}
	r.group = &group.Group{
		Config:    quorum.Config{ID: id, Address: id, Seed: uint64(len(id) + int(id[0])), InitialMembers: bootstrap},
		Recovered: store.recovered(),
		Journal:   store, Snapshots: store, Transport: networkTransport{n, id},
		Now: func() time.Duration { return time.Since(clockStart) },
		Log: logr.Discard(),
	}
	n.mu.Lock()
	n.groups[id] = r.group
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.runErr <- r.group.Run(ctx) }()
	go r.handleNotifications()
	t.Cleanup(cancel)
	return r
}

func (r *replica) handleNotifications() {
	for {
		select {
		case <-r.group.Done():
			return
		case end := <-r.stand:
			<-end
		case n := <-r.group.Notifications():
			r.handleNotification(n)
		}
	}
}

func (r *replica) handleNotification(n group.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch n := n.(type) {
	case group.Leading:
		r.leading, r.nextIndex = &n, n.LastIndex+1
	case group.Following:
		if r.leading != nil {
			r.proposedCommands = map[uint64]string{}
			go r.group.Reload()
		}
		r.leading, r.following = nil, n
	case group.ApplyEntries:
		for _, e := range n.Entries {
			r.apply(e)
		}
	case group.CommitAdvanced:
		for r.commitIndex < n.Index {
			r.apply(quorum.Entry{Index: r.commitIndex + 1, Kind: quorum.EntryCommand, Data: []byte(r.proposedCommands[r.commitIndex+1])})
		}
	case group.LeadershipConfirmed:
		r.confirmedRoundStart = n.StartedAt
	case group.RestoreSnapshot:
		r.restoreCount++
		r.appliedCommands, r.commitIndex = nil, n.Index
		if len(n.State) > 0 {
			r.appliedCommands = []string{string(n.State)}
		}
	case group.MembershipChanged:
		r.members = n.Members
	case group.JournalDiskFull:
		r.diskFull = n.Full
	}
}

// apply records a committed entry.
func (r *replica) apply(e quorum.Entry) {
	r.commitIndex = e.Index
	if e.Kind == quorum.EntryCommand && len(e.Data) > 0 {
		r.appliedCommands = append(r.appliedCommands, string(e.Data))
	}
}

// propose sends each command as a proposal of its own. It returns false if this
// replica does not lead or the proposal queue is full.
func (r *replica) propose(commands ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading == nil {
		return false
	}
	for _, c := range commands {
		if !r.group.Propose(group.Proposal{Term: r.leading.Term, FirstIndex: r.nextIndex, Commands: [][]byte{[]byte(c)}}) {
			return false
		}
		r.proposedCommands[r.nextIndex] = c
		r.nextIndex++
	}
	return true
}

func (r *replica) proposeMemberChange(m quorum.Member, remove bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.Propose(group.Proposal{Term: r.leading.Term, FirstIndex: r.nextIndex, Member: &m, RemoveMember: remove})
	r.nextIndex++
}

// currentState returns the applied commands and whether the replica leads.
func (r *replica) currentState() (commands []string, leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.appliedCommands...), r.leading != nil
}

// startSingleVoter starts a group with one voter and waits until that leads.
func startSingleVoter(t *testing.T) (*replica, *memoryStore) {
	store := newMemoryStore()
	r := startReplica(t, newNetwork(), "a/1", store, quorum.Member{ID: "a/1", Address: "a/1"})
	waitForLeader(t, r)
	return r, store
}

// waitForLeader waits up to 5 s on the fake clock until one of the replicas leads,
// and returns it.
func waitForLeader(t *testing.T, replicas ...*replica) *replica {
	t.Helper()
	for range 500 {
		for _, r := range replicas {
			if _, leading := r.currentState(); leading {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader within 5 s")
	return nil
}

// numberedCommands returns the commands prefix0 to prefix(n-1).
func numberedCommands(prefix string, n int) []string {
	var commands []string
	for i := range n {
		commands = append(commands, fmt.Sprint(prefix, i))
	}
	return commands
}
