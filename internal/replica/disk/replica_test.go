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

// The folders of the replica under test.
const (
	journalDir  = "/data/journal"
	snapshotDir = "/data/snapshot"
)

// preallocation is room for an append or two.
const preallocation = 120

// history is what the replica was told to keep, and how much of it must last.
type history struct {
	// states are all that the journal may hold, in order.
	states []journal.Recovered
	// oldestAllowed is the first of states that may be recovered.
	oldestAllowed int
	// snapshotStarted is the index of the newest snapshot that was begun, saved of the
	// newest that was finished.
	snapshotStarted, snapshotSaved uint64
}

// newestState returns the newest state.
func (h *history) newestState() journal.Recovered { return h.states[len(h.states)-1] }

// addAppend adds the state that an append makes.
func (h *history) addAppend(hard *quorum.Hard, entries []quorum.Entry) {
	next := h.newestState()
	if hard != nil {
		next.HardState = *hard
	}
	for _, e := range entries {
		next.Entries = append(append([]quorum.Entry(nil), next.Entries[:e.Index-1]...), e)
	}
	h.states = append(h.states, next)
}

// replica drives a journal and snapshots on one disk, as the group does.
type replica struct {
	disk    *disk.Memory
	history history
	journal *journal.Journal
	// segmentSize of the segments.
	segmentSize int64
	// savingSnapshot tells that a snapshot is being saved.
	savingSnapshot bool
}

func (r *replica) config() journal.Config {
	return journal.Config{Disk: r.disk, SegmentSize: r.segmentSize, Preallocation: preallocation}
}

func (r *replica) store() snapshot.Store { return snapshot.Store{Dir: snapshotDir, Disk: r.disk} }

// step is one thing that the group does.
type step struct {
	name string
	run  func(r *replica) error
}

func appendStep(term, first, last uint64) step {
	return step{fmt.Sprintf("append %d to %d", first, last), func(r *replica) error {
		hard := quorum.Hard{Term: term, Vote: fmt.Sprintf("vote of %d", term)}
		var entries []quorum.Entry
		for i := first; i <= last; i++ {
			entries = append(entries, quorum.Entry{Index: i, Term: term, Kind: quorum.Command, Data: fmt.Appendf(nil, "data of %d/%d", term, i)})
		}
		n := len(r.history.states)
		r.history.addAppend(&hard, entries)
		err := r.journal.Append(&hard, entries)
		if disk.IsRetryable(err) {
			r.history.states = r.history.states[:n]
		}
		return err
	}}
}

var syncStep = step{"sync", func(r *replica) error {
	err := r.journal.Sync()
	if err == nil {
		r.history.oldestAllowed = len(r.history.states) - 1
	}
	return err
}}

// snapshotStep saves a snapshot and drops the log that it replaces.
func snapshotStep(index uint64) step {
	return step{fmt.Sprintf("snapshot of %d", index), func(r *replica) error {
		r.history.snapshotStarted, r.savingSnapshot = index, true
		if err := r.store().Save(snapshot.Meta{Index: index, Term: 1}, fmt.Appendf(nil, "state at %d", index)); err != nil {
			return err
		}
		r.history.snapshotSaved, r.savingSnapshot = index, false
		return r.journal.Compact(index)
	}}
}

// script passes segments, an overwritten tail, snapshots inside and at the end
// of the log, and a close.
var script = []step{
	appendStep(1, 1, 2), syncStep, appendStep(1, 3, 6), syncStep, appendStep(1, 7, 9), appendStep(1, 10, 11), syncStep,
	snapshotStep(7), appendStep(1, 12, 14), syncStep, appendStep(2, 13, 15), syncStep, snapshotStep(15),
	appendStep(2, 16, 18), syncStep, appendStep(3, 17, 17), syncStep, snapshotStep(16), appendStep(3, 18, 19),
	{"close", func(r *replica) error { return r.journal.Close() }},
}

// open opens what the disk holds.
func (r *replica) open() (journal.Recovered, snapshot.Meta, error) {
	meta, state, err := r.store().Load()
	if err != nil {
		return journal.Recovered{}, meta, err
	}
	if meta.Index > 0 && string(state) != fmt.Sprintf("state at %d", meta.Index) {
		return journal.Recovered{}, meta, errors.Newf("snapshot of %d holds %q", meta.Index, state)
	}
	j, got, err := r.config().Open(journalDir)
	r.journal = j
	return got, meta, err
}

// runScript runs the script until a step fails.
func (r *replica) runScript() error {
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

// verify says what is wrong with what was recovered.
func (r *replica) verify(got journal.Recovered, meta snapshot.Meta) error {
	if meta.Index < r.history.snapshotSaved || meta.Index > r.history.snapshotStarted {
		return errors.Newf("snapshot of %d, saved was %d and begun %d", meta.Index, r.history.snapshotSaved, r.history.snapshotStarted)
	}
	if len(got.Entries) > 0 && got.Entries[0].Index > meta.Index+1 {
		return errors.Newf("entries from %d on, snapshot of %d", got.Entries[0].Index, meta.Index)
	}
	for _, want := range r.history.states[r.history.oldestAllowed:] {
		if equalAbove(want, got, meta.Index) {
			return nil
		}
	}
	return errors.Newf("recovered is none of the states that may be; the newest differs by %s", cmp.Diff(r.history.newestState(), got))
}

// equalAbove compares what stands after the snapshot, as a restarted replica sees it.
func equalAbove(a, b journal.Recovered, index uint64) bool {
	return a.HardState == b.HardState && slices.EqualFunc(entriesAbove(a.Entries, index), entriesAbove(b.Entries, index), func(x, y quorum.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
	})
}

// entriesAbove returns the entries above index.
func entriesAbove(entries []quorum.Entry, index uint64) []quorum.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}
