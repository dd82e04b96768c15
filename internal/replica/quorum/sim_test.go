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
	zoneOneWayDelay     = 1500 * time.Microsecond
	syncDuration        = time.Millisecond
	defaultTickInterval = 10 * time.Millisecond
)

// simReplica is a simulated replica with its disk. The content of the disk survives a crash.
type simReplica struct {
	name, id   string
	diskNumber int
	seed       uint64
	core       *quorum.Core
	// startCount counts starts and crashes. Events scheduled for an earlier value are dropped.
	startCount      int
	paused          bool
	disk            quorum.PersistedState
	pendingWrite    *quorum.JournalWrite
	pendingSnapshot *quorum.Snapshot

	// State of the control thread.
	appliedIndex, stateDigest uint64
	leadership                *quorum.BecameLeader
	confirmedAt               time.Duration
	nextIndex                 uint64
	proposedEntries           map[uint64]quorum.Entry
	checkedEntry              [2]uint64
	initialMembers            []quorum.Member
}

type scheduledEvent struct {
	dueAt  time.Duration
	order  int
	action func()
}

// simulation runs replicas on a virtual clock and checks the invariants after each event.
type simulation struct {
	now                  time.Duration
	seed                 uint64
	rng                  *rand.Rand
	replicas             []*simReplica
	events               []scheduledEvent
	eventCount           int
	cutLinks             map[[2]string]bool
	lossProbability      float64
	duplicateProbability float64
	maxJitter            time.Duration
	// syncDelay is the additional time that a sync of a journal takes.
	syncDelay time.Duration
	// oneWayDelay is the transmission time of a message.
	oneWayDelay  time.Duration
	tickInterval time.Duration
	onEvent      func(label string, n *simReplica)
	failure      string
	// config contains the timeouts of the replicas. Zero values select the defaults.
	config quorum.Config
	// messageDelay returns the additional delay of a message from or to a replica. nil means
	// no delay.
	messageDelay func(n *simReplica) time.Duration

	leaderByTerm     map[uint64]string
	elections        []quorum.BecameLeader
	knownEntries     map[[2]uint64][2]uint64
	committed        map[uint64]quorum.Entry
	digestByIndex    map[uint64]uint64
	commitIndex      uint64
	members          []quorum.Member
	proposedCommands int
	lostIdentities   map[string]bool
	sentMessages     int
	messageBytes     map[string]int
}

func newSimulation(replicaCount int, seed uint64) *simulation {
	s := &simulation{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), oneWayDelay: zoneOneWayDelay, tickInterval: defaultTickInterval, cutLinks: map[[2]string]bool{},
		leaderByTerm: map[uint64]string{}, knownEntries: map[[2]uint64][2]uint64{}, lostIdentities: map[string]bool{},
		committed: map[uint64]quorum.Entry{}, digestByIndex: map[uint64]uint64{0: 0}, messageBytes: map[string]int{},
	}
	s.bootstrap(replicaCount)
	return s
}

// bootstrap starts a new group of count replicas.
func (s *simulation) bootstrap(count int) {
	for i := range count {
		name := string(rune('a' + i))
		s.members = append(s.members, quorum.Member{ID: name + "/0", Address: name})
	}
	for i := range count {
		n := &simReplica{name: s.members[i].Address, id: s.members[i].ID, seed: s.seed*100 + uint64(i), initialMembers: s.members}
		s.replicas = append(s.replicas, n)
		s.start(n)
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) schedule(delay time.Duration, action func()) {
	s.eventCount++
	e := scheduledEvent{dueAt: s.now + delay, order: s.eventCount, action: action}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b scheduledEvent) int {
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.order, b.order))
	})
	s.events = slices.Insert(s.events, i, e)
}

// scheduleFor runs action for a replica after delay, unless the replica restarts meanwhile. If
// the replica is paused, action runs after the pause.
func (s *simulation) scheduleFor(n *simReplica, delay time.Duration, action func()) {
	startCount := n.startCount
	var attempt func()
	attempt = func() {
		switch {
		case n.startCount != startCount || n.core == nil:
		case n.paused:
			s.schedule(defaultTickInterval, attempt)
		default:
			action()
		}
	}
	s.schedule(delay, attempt)
}

func (s *simulation) runFor(duration time.Duration) {
	end := s.now + duration
	for len(s.events) > 0 && s.events[0].dueAt <= end && s.failure == "" {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.dueAt
		e.action()
	}
	s.now = end
}

func (s *simulation) start(n *simReplica) {
	n.startCount++
	n.paused = false
	n.leadership, n.checkedEntry = nil, [2]uint64{}
	cfg := quorum.Config{
		ID: n.id, Address: n.name, Seed: n.seed + uint64(n.startCount)*1000, InitialMembers: n.initialMembers,
		MaxMessageBytes: 256, LogTailBytes: 400, MaxInflightAppends: 4, MaxInflightBytes: 1000,
		HeartbeatInterval: s.config.HeartbeatInterval, ElectionTimeout: s.config.ElectionTimeout, MaxElectionTimeout: s.config.MaxElectionTimeout,
	}
	n.core = quorum.New(cfg, n.disk)
	s.step(n, quorum.ReloadState{})
	s.scheduleTick(n)
}

func (s *simulation) scheduleTick(n *simReplica) {
	s.scheduleFor(n, s.tickInterval, func() {
		s.step(n, quorum.Tick{})
		s.scheduleTick(n)
	})
}

// crash stops a replica. State that is not synced is lost, except that tornTenths tenths of the
// entries in the pending write are on the disk.
func (s *simulation) crash(n *simReplica, tornTenths int) {
	n.core = nil
	if w := n.pendingWrite; w != nil && tornTenths > 0 {
		n.disk.HardState = *newestHardState(w.HardState, &n.disk.HardState)
		n.disk.Entries = writeJournal(n.disk.Entries, w.Entries[:len(w.Entries)*tornTenths/10])
	}
	n.pendingWrite, n.pendingSnapshot = nil, nil
	n.startCount++
}

// loseDisk replaces the disk of a replica and restarts the replica with a new identity.
func (s *simulation) loseDisk(n *simReplica) {
	s.crash(n, 0)
	s.lostIdentities[n.id] = true
	n.diskNumber++
	n.id = fmt.Sprintf("%s/%d", n.name, n.diskNumber)
	n.disk, n.initialMembers = quorum.PersistedState{}, nil
	s.start(n)
}

func newestHardState(written, stored *quorum.HardState) *quorum.HardState {
	if written == nil {
		return stored
	}
	return written
}

// writeJournal returns the journal after a write. A written entry replaces the old entries from
// its index on.
func writeJournal(journal, entries []quorum.Entry) []quorum.Entry {
	for _, e := range entries {
		i := slices.IndexFunc(journal, func(x quorum.Entry) bool { return x.Index >= e.Index })
		if i >= 0 {
			journal = journal[:i:i]
		}
		journal = append(journal, e)
	}
	return journal
}

func (s *simulation) step(n *simReplica, event quorum.Event) {
	effects := n.core.Step(s.now, event)
	if w := effects.Write; w != nil {
		n.pendingWrite = w
		s.trace("write", n)
		s.scheduleFor(n, syncDuration+s.syncDelay, func() { s.syncWrite(n, w) })
	}
	if snapshot := effects.SaveSnapshot; snapshot != nil {
		n.pendingSnapshot = snapshot
		s.trace("save", n)
		s.scheduleFor(n, 3*syncDuration, func() { s.saveSnapshot(n, snapshot) })
	}
	if effects.DropJournalUpTo > 0 {
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e quorum.Entry) bool { return e.Index <= effects.DropJournalUpTo })
		s.trace("drop", n)
	}
	startCount := n.startCount
	for _, r := range effects.Reports {
		s.report(n, r)
	}
	for _, o := range effects.Messages {
		s.send(n, o)
	}
	if n.startCount == startCount {
		s.checkInvariants(n)
	}
}

func (s *simulation) syncWrite(n *simReplica, w *quorum.JournalWrite) {
	n.disk.HardState = *newestHardState(w.HardState, &n.disk.HardState)
	n.disk.Entries = writeJournal(n.disk.Entries, w.Entries)
	n.pendingWrite = nil
	s.trace("synced", n)
	if n.core != nil {
		s.step(n, quorum.WriteSynced{Seq: w.Seq})
	}
}

func (s *simulation) saveSnapshot(n *simReplica, snapshot *quorum.Snapshot) {
	n.disk.Snapshot = *snapshot
	n.pendingSnapshot = nil
	s.trace("saved", n)
	if n.core != nil {
		s.step(n, quorum.SnapshotSaved{Index: snapshot.Index})
	}
}

func (s *simulation) trace(label string, n *simReplica) {
	if s.onEvent != nil {
		s.onEvent(label, n)
	}
}

func (s *simulation) delayAt(n *simReplica) time.Duration {
	if s.messageDelay == nil {
		return 0
	}
	return s.messageDelay(n)
}

var messageKindNames = []string{
	"", "pre-vote", "pre-vote reply", "vote", "vote reply", "append", "append reply",
	"heartbeat", "heartbeat reply", "chunk", "chunk reply", "timeout now",
}

func (s *simulation) send(n *simReplica, outgoing quorum.OutgoingMessage) {
	s.trace("send "+messageKindNames[outgoing.Message.Kind], n)
	data, err := quorum.EncodeMessage(outgoing.Message)
	if err != nil || len(data) > 256+400 {
		s.fail("encoded message of kind %d has %d bytes, want at most 656; error %v", outgoing.Message.Kind, len(data), err)
	}
	s.sentMessages++
	s.messageBytes[n.id] += len(data)
	copies := 1
	if s.rng.Float64() < s.duplicateProbability {
		copies = 2
	}
	for range copies {
		delay := s.oneWayDelay + s.delayAt(n)
		if s.maxJitter > 0 {
			delay += time.Duration(s.rng.Int64N(int64(s.maxJitter)))
		}
		lost := s.rng.Float64() < s.lossProbability
		s.schedule(delay, func() { s.deliver(n.name, outgoing, data, lost) })
	}
}

func (s *simulation) deliver(from string, outgoing quorum.OutgoingMessage, data []byte, lost bool) {
	if lost || s.cutLinks[[2]string{from, outgoing.Address}] {
		return
	}
	for _, to := range s.replicas {
		if to.name != outgoing.Address || to.core == nil {
			continue
		}
		m, err := quorum.DecodeMessage(to.id, outgoing.Message.From, data)
		if err != nil {
			continue
		}
		s.messageBytes[to.id] += len(data)
		s.scheduleFor(to, s.delayAt(to), func() {
			s.trace("receive "+messageKindNames[m.Kind], to)
			if to.core != nil {
				s.step(to, quorum.Receive{Message: m})
			}
		})
	}
}
