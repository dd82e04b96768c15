package disk_test

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/journal"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/snapshot"
)

// Folders of the replica under test.
const (
	journalDir  = "/data/journal"
	snapshotDir = "/data/snapshot"
)

// preallocation is the preallocated space in bytes, enough for one or two appends.
const preallocation = 120

// history records the states that a replica went through and which of them a
// recovery may return.
type history struct {
	// states holds the state of the journal after each append, oldest first.
	states []journal.Recovered
	// oldestAllowed is the position in states of the last synced state. Recovery must
	// return this state or a later one.
	oldestAllowed int
	// snapshotStarted is the log index of the newest snapshot whose Save was called.
	snapshotStarted uint64
	// snapshotSaved is the log index of the newest snapshot whose Save succeeded.
	snapshotSaved uint64
}

func (h *history) newestState() journal.Recovered { return h.states[len(h.states)-1] }

// addAppend adds the state of the journal after an append.
func (h *history) addAppend(hardState *quorum.HardState, entries []quorum.Entry) {
	state := h.newestState()
	if hardState != nil {
		state.HardState = *hardState
	}
	for _, e := range entries {
		state.Entries = append(append([]quorum.Entry(nil), state.Entries[:e.Index-1]...), e)
	}
	h.states = append(h.states, state)
}

// testReplica uses a journal and a snapshot store on one disk in the same way as package group.
type testReplica struct {
	disk    *disk.Memory
	history history
	journal *journal.Journal
	// segmentSize is the segment size of the journal in bytes.
	segmentSize int64
	// savingSnapshot reports that a Save of a snapshot has not succeeded yet.
	savingSnapshot bool
}

func (r *testReplica) config() journal.Config {
	return journal.Config{Disk: r.disk, SegmentSize: r.segmentSize, Preallocation: preallocation}
}

func (r *testReplica) store() snapshot.Store { return snapshot.Store{Dir: snapshotDir, Disk: r.disk} }

// scriptStep is one storage operation of the script.
type scriptStep struct {
	name string
	run  func(r *testReplica) error
}

// appendStep appends a hard state and the entries with the indexes first to last.
func appendStep(term, first, last uint64) scriptStep {
	return scriptStep{fmt.Sprintf("append %d to %d", first, last), func(r *testReplica) error {
		hardState := quorum.HardState{Term: term, Vote: fmt.Sprintf("vote of %d", term)}
		var entries []quorum.Entry
		for i := first; i <= last; i++ {
			entries = append(entries, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: fmt.Appendf(nil, "data of %d/%d", term, i)})
		}
		stateCount := len(r.history.states)
		r.history.addAppend(&hardState, entries)
		err := r.journal.Append(&hardState, entries)
		if disk.IsRetryable(err) {
			r.history.states = r.history.states[:stateCount]
		}
		return err
	}}
}

// syncStep syncs the journal.
var syncStep = scriptStep{"sync", func(r *testReplica) error {
	err := r.journal.Sync()
	if err == nil {
		r.history.oldestAllowed = len(r.history.states) - 1
	}
	return err
}}

// snapshotStep saves a snapshot and compacts the log up to its index.
func snapshotStep(index uint64) scriptStep {
	return scriptStep{fmt.Sprintf("snapshot of %d", index), func(r *testReplica) error {
		r.history.snapshotStarted, r.savingSnapshot = index, true
		if err := r.store().Save(snapshot.Meta{Index: index, Term: 1}, fmt.Appendf(nil, "state at %d", index)); err != nil {
			return err
		}
		r.history.snapshotSaved, r.savingSnapshot = index, false
		return r.journal.Compact(index)
	}}
}

// script covers segment rollover, replaced entries at the end of the log, snapshots
// in the middle and at the end of the log, and a close.
var script = []scriptStep{
	appendStep(1, 1, 2), syncStep, appendStep(1, 3, 6), syncStep, appendStep(1, 7, 9), appendStep(1, 10, 11), syncStep,
	snapshotStep(7), appendStep(1, 12, 14), syncStep, appendStep(2, 13, 15), syncStep, snapshotStep(15),
	appendStep(2, 16, 18), syncStep, appendStep(3, 17, 17), syncStep, snapshotStep(16), appendStep(3, 18, 19),
	{"close", func(r *testReplica) error { return r.journal.Close() }},
}

// open loads the snapshot and opens the journal.
func (r *testReplica) open() (journal.Recovered, snapshot.Meta, error) {
	meta, state, err := r.store().Load()
	if err != nil {
		return journal.Recovered{}, meta, err
	}
	if meta.Index > 0 && string(state) != fmt.Sprintf("state at %d", meta.Index) {
		return journal.Recovered{}, meta, errors.Newf("snapshot with index %d contains the wrong state %q", meta.Index, state)
	}
	j, got, err := r.config().Open(journalDir)
	r.journal = j
	return got, meta, err
}

// runScript runs the script until a step fails.
func (r *testReplica) runScript() error {
	r.history.states = []journal.Recovered{{}}
	if _, _, err := r.open(); err != nil {
		return err
	}
	for _, s := range script {
		if err := s.run(r); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// verify returns an error if the recovered journal or snapshot is not one that the
// history allows.
func (r *testReplica) verify(got journal.Recovered, meta snapshot.Meta) error {
	if meta.Index < r.history.snapshotSaved || meta.Index > r.history.snapshotStarted {
		return errors.Newf("recovered the snapshot with index %d, want at least %d (saved) and at most %d (started)", meta.Index, r.history.snapshotSaved, r.history.snapshotStarted)
	}
	if len(got.Entries) > 0 && got.Entries[0].Index > meta.Index+1 {
		return errors.Newf("gap: the first recovered entry is %d and the snapshot has index %d", got.Entries[0].Index, meta.Index)
	}
	for _, want := range r.history.states[r.history.oldestAllowed:] {
		if equalAbove(want, got, meta.Index) {
			return nil
		}
	}
	return errors.Newf("the recovered state is none of the allowed ones; difference to the newest: %s", cmp.Diff(r.history.newestState(), got))
}

// equalAbove reports whether two recovered states have equal hard states and equal
// entries above index. Entries up to index are covered by the snapshot and ignored.
func equalAbove(a, b journal.Recovered, index uint64) bool {
	return a.HardState == b.HardState && slices.EqualFunc(entriesAbove(a.Entries, index), entriesAbove(b.Entries, index), func(x, y quorum.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
	})
}

// entriesAbove returns the entries with an index above the given one.
func entriesAbove(entries []quorum.Entry, index uint64) []quorum.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}
