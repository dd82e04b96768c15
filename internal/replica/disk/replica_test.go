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

// reserve is room for an append or two.
const reserve = 120

// history is what the replica was told to keep, and how much of it must last.
type history struct {
	// states are all that the journal may hold, in order.
	states []journal.Recovered
	// synced is the first of states that may be recovered.
	synced int
	// saving is the index of the newest snapshot that was begun, saved of the
	// newest that was finished.
	saving, saved uint64
}

// last returns the newest state.
func (h *history) last() journal.Recovered { return h.states[len(h.states)-1] }

// append adds the state that an append makes.
func (h *history) append(hard *quorum.HardState, entries []quorum.Entry) {
	next := h.last()
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
	disk *disk.Memory
	h    history
	j    *journal.Journal
	// size of the segments.
	size int64
	// inSave tells that a snapshot is being saved.
	inSave bool
}

func (r *replica) config() journal.Config {
	return journal.Config{Disk: r.disk, SegmentSize: r.size, Preallocation: reserve}
}

func (r *replica) store() snapshot.Store { return snapshot.Store{Dir: snapshotDir, Disk: r.disk} }

// step is one thing that the group does.
type step struct {
	name string
	do   func(r *replica) error
}

func appendStep(term, first, last uint64) step {
	return step{fmt.Sprintf("append %d to %d", first, last), func(r *replica) error {
		hard := quorum.HardState{Term: term, Vote: fmt.Sprintf("vote of %d", term)}
		var entries []quorum.Entry
		for i := first; i <= last; i++ {
			entries = append(entries, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: fmt.Appendf(nil, "data of %d/%d", term, i)})
		}
		n := len(r.h.states)
		r.h.append(&hard, entries)
		err := r.j.Append(&hard, entries)
		if disk.IsRetryable(err) {
			r.h.states = r.h.states[:n]
		}
		return err
	}}
}

var syncStep = step{"sync", func(r *replica) error {
	err := r.j.Sync()
	if err == nil {
		r.h.synced = len(r.h.states) - 1
	}
	return err
}}

// compactStep saves a snapshot and drops the log that it replaces.
func compactStep(index uint64) step {
	return step{fmt.Sprintf("snapshot of %d", index), func(r *replica) error {
		r.h.saving, r.inSave = index, true
		if err := r.store().Save(snapshot.Meta{Index: index, Term: 1}, fmt.Appendf(nil, "state at %d", index)); err != nil {
			return err
		}
		r.h.saved, r.inSave = index, false
		return r.j.Compact(index)
	}}
}

// script passes segments, an overwritten tail, snapshots inside and at the end
// of the log, and a close.
var script = []step{
	appendStep(1, 1, 2), syncStep, appendStep(1, 3, 6), syncStep, appendStep(1, 7, 9), appendStep(1, 10, 11), syncStep,
	compactStep(7), appendStep(1, 12, 14), syncStep, appendStep(2, 13, 15), syncStep, compactStep(15),
	appendStep(2, 16, 18), syncStep, appendStep(3, 17, 17), syncStep, compactStep(16), appendStep(3, 18, 19),
	{"close", func(r *replica) error { return r.j.Close() }},
}

// start opens what the disk holds.
func (r *replica) start() (journal.Recovered, snapshot.Meta, error) {
	meta, state, err := r.store().Load()
	if err != nil {
		return journal.Recovered{}, meta, err
	}
	if meta.Index > 0 && string(state) != fmt.Sprintf("state at %d", meta.Index) {
		return journal.Recovered{}, meta, errors.Newf("snapshot of %d holds %q", meta.Index, state)
	}
	j, got, err := r.config().Open(journalDir)
	r.j = j
	return got, meta, err
}

// play runs the script until a step fails.
func (r *replica) play() error {
	r.h.states = []journal.Recovered{{}}
	if _, _, err := r.start(); err != nil {
		return err
	}
	for _, s := range script {
		if err := s.do(r); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// verify says what is wrong with what was recovered.
func (r *replica) verify(got journal.Recovered, meta snapshot.Meta) error {
	if meta.Index < r.h.saved || meta.Index > r.h.saving {
		return errors.Newf("snapshot of %d, saved was %d and begun %d", meta.Index, r.h.saved, r.h.saving)
	}
	if len(got.Entries) > 0 && got.Entries[0].Index > meta.Index+1 {
		return errors.Newf("entries from %d on, snapshot of %d", got.Entries[0].Index, meta.Index)
	}
	for _, want := range r.h.states[r.h.synced:] {
		if equal(want, got, meta.Index) {
			return nil
		}
	}
	return errors.Newf("recovered is none of the states that may be; the newest differs by %s", cmp.Diff(r.h.last(), got))
}

// equal compares what stands after the snapshot, as a restarted replica sees it.
func equal(a, b journal.Recovered, index uint64) bool {
	return a.HardState == b.HardState && slices.EqualFunc(after(a.Entries, index), after(b.Entries, index), func(x, y quorum.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
	})
}

// after returns the entries above index.
func after(entries []quorum.Entry, index uint64) []quorum.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}
