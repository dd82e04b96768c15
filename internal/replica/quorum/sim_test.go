package quorum_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
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
	disk   quorum.Saved
	write  *quorum.Write
	save   *quorum.Snapshot

	// The control thread: index and digest of what it applied.
	index, digest uint64
	lead          *quorum.Led
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
	rng    *rand.Rand
	nodes  []*node
	queue  []event
	seq    int
	cut    map[[2]string]bool
	loss   float64
	double float64
	jitter time.Duration
	// way is the time of a message, one way.
	way    time.Duration
	trace  func(label string, n *node)
	failed string

	leaders   map[uint64]string
	elections []quorum.Led
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
		rng: rand.New(rand.NewPCG(seed, 7)), way: oneWay, cut: map[[2]string]bool{},
		leaders: map[uint64]string{}, prefix: map[[2]uint64][2]uint64{}, dead: map[string]bool{},
		committed: map[uint64]quorum.Entry{}, digests: map[uint64]uint64{0: 0}, bytes: map[string]int{},
	}
	for i := range n {
		name := string(rune('a' + i))
		s.members = append(s.members, quorum.Member{ID: name + "/0", Address: name})
	}
	for i := range n {
		nd := &node{name: s.members[i].Address, id: s.members[i].ID, seed: seed*100 + uint64(i), boot: s.members}
		s.nodes = append(s.nodes, nd)
		s.start(nd)
	}
	return s
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
		ID: n.id, Address: n.name, Seed: n.seed + uint64(n.run)*1000, Bootstrap: n.boot,
		Message: 256, Tail: 400, Inflight: 4, Window: 1000,
	}
	n.core = quorum.New(cfg, n.disk)
	s.step(n, quorum.Reload{})
	s.tick(n)
}

func (s *sim) tick(n *node) {
	s.on(n, tickTime, func() {
		s.step(n, quorum.Tick{})
		s.tick(n)
	})
}

// crash loses what is not synced; of the write under way, torn parts of ten are
// on the disk.
func (s *sim) crash(n *node, torn int) {
	n.core = nil
	if w := n.write; w != nil && torn > 0 {
		n.disk.Hard = *orHard(w.Hard, &n.disk.Hard)
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
	n.disk, n.boot = quorum.Saved{}, nil
	s.start(n)
}

func orHard(a, b *quorum.Hard) *quorum.Hard {
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
	if snap := fx.Save; snap != nil {
		n.save = snap
		s.label("save", n)
		s.on(n, 3*syncTime, func() { s.saved(n, snap) })
	}
	if fx.Drop > 0 {
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e quorum.Entry) bool { return e.Index <= fx.Drop })
		s.label("drop", n)
	}
	run := n.run
	for _, r := range fx.Reports {
		s.report(n, r)
	}
	for _, o := range fx.Out {
		s.send(n, o)
	}
	if n.run == run {
		s.invariants(n)
	}
}

func (s *sim) sync(n *node, w *quorum.Write) {
	n.disk.Hard = *orHard(w.Hard, &n.disk.Hard)
	n.disk.Entries = overwrite(n.disk.Entries, w.Entries)
	n.write = nil
	s.label("synced", n)
	if n.core != nil {
		s.step(n, quorum.Synced{Seq: w.Seq})
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

var kinds = []string{
	"", "pre-vote", "pre-vote reply", "vote", "vote reply", "append", "append reply",
	"heartbeat", "heartbeat reply", "chunk", "chunk reply", "timeout now",
}

func (s *sim) send(n *node, o quorum.Outgoing) {
	s.label("send "+kinds[o.Message.Kind], n)
	data, err := quorum.Encode(o.Message)
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
		d := s.way
		if s.jitter > 0 {
			d += time.Duration(s.rng.Int64N(int64(s.jitter)))
		}
		lost := s.rng.Float64() < s.loss
		s.after(d, func() { s.deliver(n.name, o, data, lost) })
	}
}

func (s *sim) deliver(from string, o quorum.Outgoing, data []byte, lost bool) {
	if lost || s.cut[[2]string{from, o.Address}] {
		return
	}
	for _, to := range s.nodes {
		if to.name != o.Address || to.core == nil {
			continue
		}
		m, err := quorum.Decode(to.id, o.Message.From, data)
		if err != nil {
			continue
		}
		s.bytes[to.id] += len(data)
		s.on(to, 0, func() {
			s.label("take "+kinds[m.Kind], to)
			if to.core != nil {
				s.step(to, quorum.Receive{Message: m})
			}
		})
	}
}

func hash(v ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, v...)
	return h.Sum64()
}

// apply is the control thread's replay of one entry.
func (s *sim) apply(n *node, e quorum.Entry) {
	if e.Index != n.index+1 {
		s.fail("%s applies %d after %d", n.id, e.Index, n.index)
	}
	if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.fail("%s: committed entry %d changed from %v to %v", n.id, e.Index, old, e)
	}
	n.index, n.digest = e.Index, hash(n.digest, e.Term, string(e.Data))
	s.committed[e.Index], s.digests[e.Index] = e, n.digest
	s.top = max(s.top, e.Index)
}

func (s *sim) report(n *node, r quorum.Report) {
	s.label(strings.TrimPrefix(fmt.Sprintf("%T", r), "quorum."), n)
	switch r := r.(type) {
	case quorum.Led:
		if n.index != r.Last {
			s.fail("%s leads from %d having applied %d", n.id, r.Last, n.index)
		}
		n.lead, n.next, n.mine = &r, r.Last+1, map[uint64]quorum.Entry{}
		n.confirmed = r.Elected
		s.elections = append(s.elections, r)
	case quorum.Followed:
		n.lead = nil
	case quorum.Applied:
		for _, e := range r.Entries {
			s.apply(n, e)
		}
	case quorum.Committed:
		for i := n.index + 1; i <= r.Index; i++ {
			s.apply(n, n.mine[i])
		}
	case quorum.RoundConfirmed:
		n.confirmed = r.Start
		// Leases rest on this: no later leader was elected before the round began.
		for _, e := range s.elections {
			if e.Term > r.Term && e.Elected < r.Start {
				s.fail("%s confirmed a round of %v in term %d, term %d elected at %v", n.id, r.Start, r.Term, e.Term, e.Elected)
			}
		}
	case quorum.Restored:
		n.index, n.digest, n.lead = r.Index, 0, nil
		if r.Index > 0 {
			fmt.Sscan(string(r.State), &n.digest)
		}
		if n.digest != s.digests[r.Index] {
			s.fail("%s restores another state at %d", n.id, r.Index)
		}
	case quorum.MembersChanged:
		s.memberships(n, r.Members)
	}
}

// memberships checks that one machine never counts twice.
func (s *sim) memberships(n *node, members []quorum.Member) {
	s.members = members
	seen := map[string]bool{}
	for _, m := range members {
		before, _, _ := strings.Cut(m.ID, "/")
		if !m.Learner && seen[before] {
			s.fail("%s: %s counts twice", n.id, before)
		}
		seen[before] = seen[before] || !m.Learner
	}
}

func (s *sim) invariants(n *node) {
	if mark := n.core.Mark(); mark != n.checked {
		n.checked = mark
		s.logMatching(n)
	}
	term, leads := n.core.Leads()
	if !leads {
		return
	}
	if n.lead != nil && s.now-n.confirmed > quorum.DefaultElection {
		s.fail("%s leads without a round confirmed since %v", n.id, n.confirmed)
	}
	if old, ok := s.leaders[term]; ok {
		if old != n.id {
			s.fail("%s and %s lead in term %d", old, n.id, term)
		}
		return
	}
	s.leaders[term] = n.id
	s.complete(n)
}

// logMatching holds when an index and a term stand for one content and one
// entry before it.
func (s *sim) logMatching(n *node) {
	base, before := n.core.Base()
	for i, e := range n.core.Entries() {
		if e.Index != base+uint64(i)+1 {
			s.fail("%s has entry %d in the place of %d", n.id, e.Index, base+uint64(i)+1)
		}
		is := [2]uint64{before, hash(e.Kind, string(e.Data))}
		key := [2]uint64{e.Index, e.Term}
		if was, ok := s.prefix[key]; ok && was != is {
			s.fail("%s: entry %d of term %d differs between logs", n.id, e.Index, e.Term)
		}
		s.prefix[key] = is
		before = e.Term
	}
}

// complete holds when a new leader has every committed entry.
func (s *sim) complete(n *node) {
	base, _ := n.core.Base()
	entries := n.core.Entries()
	for i := base + 1; i <= s.top; i++ {
		if i-base > uint64(len(entries)) || entries[i-base-1].Term != s.committed[i].Term {
			s.fail("%s leads without the committed entry %d", n.id, i)
			return
		}
	}
}

// leader is the node whose control thread was told that it leads in the latest term.
func (s *sim) leader() *node {
	var best *node
	for _, n := range s.nodes {
		if n.core != nil && !n.paused && n.lead != nil && (best == nil || n.lead.Term > best.lead.Term) {
			best = n
		}
	}
	return best
}

func (s *sim) propose(n *node, count int) {
	if n == nil || n.lead == nil || n.core.Transferring() {
		return
	}
	p := quorum.Propose{Term: n.lead.Term, First: n.next}
	for range count {
		s.proposed++
		data := fmt.Appendf(nil, "command %d", s.proposed)
		p.Commands = append(p.Commands, data)
		n.mine[n.next] = quorum.Entry{Index: n.next, Term: p.Term, Kind: quorum.Command, Data: data}
		n.next++
	}
	s.step(n, p)
}

func (s *sim) alter(n *node, m quorum.Member, remove bool) {
	if n == nil || n.lead == nil || n.core.Transferring() {
		return
	}
	index := n.next
	n.next++
	s.step(n, quorum.Alter{Term: n.lead.Term, First: index, Member: m, Remove: remove})
	if n.lead != nil {
		base, _ := n.core.Base()
		n.mine[index] = n.core.Entries()[index-base-1]
	}
}

func (s *sim) compact(n *node) {
	if n != nil && n.core != nil {
		s.step(n, quorum.Compact{Index: n.index, State: fmt.Append(nil, n.digest)})
	}
}

// repair lets the leader do the next step towards a membership without dead
// identities and with every replica as a voter.
func (s *sim) repair() {
	l := s.leader()
	if l == nil {
		return
	}
	members := l.core.Status().Members
	for _, n := range s.nodes {
		i := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == n.id })
		if i < 0 {
			s.alter(l, quorum.Member{ID: n.id, Address: n.name, Learner: true}, false)
			return
		}
	}
	for _, m := range members {
		if s.dead[m.ID] {
			s.alter(l, m, true)
			return
		}
	}
	for _, m := range members {
		if m.Learner {
			m.Learner = false
			s.alter(l, m, false)
			return
		}
	}
}

// settled tells that there is a leader, and no repair to do.
func (s *sim) settled() bool {
	l := s.leader()
	if l == nil || len(s.members) != len(s.nodes) {
		return false
	}
	for _, m := range s.members {
		if m.Learner || s.dead[m.ID] {
			return false
		}
	}
	for _, n := range s.nodes {
		if n.index != s.top {
			return false
		}
	}
	return true
}

// heal ends all faults, repairs the membership, and checks that new work is
// committed and that all replicas end in one state.
func (s *sim) heal() {
	s.cut, s.loss, s.double, s.jitter = map[[2]string]bool{}, 0, 0, 0
	for _, n := range s.nodes {
		n.paused = false
		if n.core == nil {
			s.start(n)
		}
	}
	for range 40 {
		s.run(250 * time.Millisecond)
		if s.settled() {
			break
		}
		s.repair()
	}
	if !s.settled() && s.failed == "" {
		s.fail("not settled 10 s after all faults ended")
		return
	}
	s.propose(s.leader(), 1)
	want := s.proposed
	s.run(time.Second)
	l := s.leader()
	if l == nil || s.failed != "" {
		s.fail("no leader after all faults ended")
		return
	}
	if got := string(s.committed[s.top].Data); got != fmt.Sprintf("command %d", want) {
		s.fail("work after all faults ended is not committed: %q instead of command %d", got, want)
	}
	for _, n := range s.nodes {
		if n.index != l.index || n.digest != l.digest || len(n.core.Status().Members) != len(s.nodes) {
			s.fail("%s ends at %d of %d: %+v", n.id, n.index, l.index, n.core.Status())
		}
	}
}
