package quorum_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumreel/internal/replica/quorum"
)

const (
	oneWay   = 1500 * time.Microsecond
	syncTime = time.Millisecond
	tickTime = 10 * time.Millisecond
)

// node is a replica with its disk; the disk outlives the core.
type node struct {
	name, id string
	nonce    int
	seed     uint64
	core     *quorum.Core
	// run counts starts: what was under way for an earlier one is dropped.
	run    int
	paused bool
	disk   quorum.PersistedState
	write  *quorum.JournalWrite
	save   *quorum.Snapshot

	// The control thread: index and digest of what it applied.
	index, digest uint64
	lead          *quorum.BecameLeader
	confirmed     time.Duration
	next          uint64
	mine          map[uint64]quorum.Entry
	checked       [2]uint64
	boot          []quorum.Member
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// sim runs replicas on a virtual clock and checks the invariants after each event.
type sim struct {
	now    time.Duration
	seed   uint64
	rng    *rand.Rand
	nodes  []*node
	queue  []event
	seq    int
	cut    map[[2]string]bool
	loss   float64
	double float64
	jitter time.Duration
	// way is the time of a message, one way.
	way       time.Duration
	tickEvery time.Duration
	trace     func(label string, n *node)
	failed    string
	// config holds timeouts; zero values stand for the defaults. wait is how long a
	// message from or to a replica waits there; nil for not at all.
	config quorum.Config
	wait   func(n *node) time.Duration

	leaders   map[uint64]string
	elections []quorum.BecameLeader
	prefix    map[[2]uint64][2]uint64
	committed map[uint64]quorum.Entry
	digests   map[uint64]uint64
	top       uint64
	members   []quorum.Member
	proposed  int
	dead      map[string]bool
	sent      int
	bytes     map[string]int
}

func newSim(n int, seed uint64) *sim {
	s := &sim{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), way: oneWay, tickEvery: tickTime, cut: map[[2]string]bool{},
		leaders: map[uint64]string{}, prefix: map[[2]uint64][2]uint64{}, dead: map[string]bool{},
		committed: map[uint64]quorum.Entry{}, digests: map[uint64]uint64{0: 0}, bytes: map[string]int{},
	}
	s.found(n)
	return s
}

// found starts n replicas that found the group.
func (s *sim) found(n int) {
	for i := range n {
		name := string(rune('a' + i))
		s.members = append(s.members, quorum.Member{ID: name + "/0", Address: name})
	}
	for i := range n {
		nd := &node{name: s.members[i].Address, id: s.members[i].ID, seed: s.seed*100 + uint64(i), boot: s.members}
		s.nodes = append(s.nodes, nd)
		s.start(nd)
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failed == "" {
		s.failed = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	e := event{at: s.now + d, seq: s.seq, run: run}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, i, e)
}

// on runs fn for n when it is neither paused nor restarted meanwhile; a paused
// one gets it when it wakes up.
func (s *sim) on(n *node, d time.Duration, fn func()) {
	run := n.run
	var try func()
	try = func() {
		switch {
		case n.run != run || n.core == nil:
		case n.paused:
			s.after(tickTime, try)
		default:
			fn()
		}
	}
	s.after(d, try)
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.failed == "" {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) start(n *node) {
	n.run++
	n.paused = false
	n.lead, n.checked = nil, [2]uint64{}
	cfg := quorum.Config{
		ID: n.id, Address: n.name, Seed: n.seed + uint64(n.run)*1000, InitialMembers: n.boot,
		MaxMessageBytes: 256, LogTailBytes: 400, MaxInflightAppends: 4, MaxInflightBytes: 1000,
		HeartbeatInterval: s.config.HeartbeatInterval, ElectionTimeout: s.config.ElectionTimeout, MaxElectionTimeout: s.config.MaxElectionTimeout,
	}
	n.core = quorum.New(cfg, n.disk)
	s.step(n, quorum.ReloadState{})
	s.tick(n)
}

func (s *sim) tick(n *node) {
	s.on(n, s.tickEvery, func() {
		s.step(n, quorum.Tick{})
		s.tick(n)
	})
}

// crash loses what is not synced; of the write under way, torn parts of ten are
// on the disk.
func (s *sim) crash(n *node, torn int) {
	n.core = nil
	if w := n.write; w != nil && torn > 0 {
		n.disk.HardState = *orHard(w.HardState, &n.disk.HardState)
		n.disk.Entries = overwrite(n.disk.Entries, w.Entries[:len(w.Entries)*torn/10])
	}
	n.write, n.save = nil, nil
	n.run++
}

// lose replaces the disk: the replica comes back blank under a new identity.
func (s *sim) lose(n *node) {
	s.crash(n, 0)
	s.dead[n.id] = true
	n.nonce++
	n.id = fmt.Sprintf("%s/%d", n.name, n.nonce)
	n.disk, n.boot = quorum.PersistedState{}, nil
	s.start(n)
}

func orHard(a, b *quorum.HardState) *quorum.HardState {
	if a == nil {
		return b
	}
	return a
}

// overwrite is what the journal does.
func overwrite(old, entries []quorum.Entry) []quorum.Entry {
	for _, e := range entries {
		i := slices.IndexFunc(old, func(x quorum.Entry) bool { return x.Index >= e.Index })
		if i >= 0 {
			old = old[:i:i]
		}
		old = append(old, e)
	}
	return old
}

func (s *sim) step(n *node, ev quorum.Event) {
	fx := n.core.Step(s.now, ev)
	if w := fx.Write; w != nil {
		n.write = w
		s.label("write", n)
		s.on(n, syncTime, func() { s.sync(n, w) })
	}
	if snap := fx.SaveSnapshot; snap != nil {
		n.save = snap
		s.label("save", n)
		s.on(n, 3*syncTime, func() { s.saved(n, snap) })
	}
	if fx.DropJournalUpTo > 0 {
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e quorum.Entry) bool { return e.Index <= fx.DropJournalUpTo })
		s.label("drop", n)
	}
	run := n.run
	for _, r := range fx.Reports {
		s.report(n, r)
	}
	for _, o := range fx.Messages {
		s.send(n, o)
	}
	if n.run == run {
		s.invariants(n)
	}
}

func (s *sim) sync(n *node, w *quorum.JournalWrite) {
	n.disk.HardState = *orHard(w.HardState, &n.disk.HardState)
	n.disk.Entries = overwrite(n.disk.Entries, w.Entries)
	n.write = nil
	s.label("synced", n)
	if n.core != nil {
		s.step(n, quorum.WriteSynced{Seq: w.Seq})
	}
}

func (s *sim) saved(n *node, snap *quorum.Snapshot) {
	n.disk.Snapshot = *snap
	n.save = nil
	s.label("saved", n)
	if n.core != nil {
		s.step(n, quorum.SnapshotSaved{Index: snap.Index})
	}
}

func (s *sim) label(what string, n *node) {
	if s.trace != nil {
		s.trace(what, n)
	}
}

func (s *sim) waits(n *node) time.Duration {
	if s.wait == nil {
		return 0
	}
	return s.wait(n)
}

var kinds = []string{
	"", "pre-vote", "pre-vote reply", "vote", "vote reply", "append", "append reply",
	"heartbeat", "heartbeat reply", "chunk", "chunk reply", "timeout now",
}

func (s *sim) send(n *node, o quorum.OutgoingMessage) {
	s.label("send "+kinds[o.Message.Kind], n)
	data, err := quorum.EncodeMessage(o.Message)
	if err != nil || len(data) > 256+400 {
		s.fail("message of %d bytes, error %v", len(data), err)
	}
	s.sent++
	s.bytes[n.id] += len(data)
	copies := 1
	if s.rng.Float64() < s.double {
		copies = 2
	}
	for range copies {
		d := s.way + s.waits(n)
		if s.jitter > 0 {
			d += time.Duration(s.rng.Int64N(int64(s.jitter)))
		}
		lost := s.rng.Float64() < s.loss
		s.after(d, func() { s.deliver(n.name, o, data, lost) })
	}
}

func (s *sim) deliver(from string, o quorum.OutgoingMessage, data []byte, lost bool) {
	if lost || s.cut[[2]string{from, o.Address}] {
		return
	}
	for _, to := range s.nodes {
		if to.name != o.Address || to.core == nil {
			continue
		}
		m, err := quorum.DecodeMessage(to.id, o.Message.From, data)
		if err != nil {
			continue
		}
		s.bytes[to.id] += len(data)
		s.on(to, s.waits(to), func() {
			s.label("take "+kinds[m.Kind], to)
			if to.core != nil {
				s.step(to, quorum.Receive{Message: m})
			}
		})
	}
}
