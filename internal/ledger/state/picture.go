package state

import (
	"iter"
	"math"

	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/task"
)

// SnapshotBuilder is a copy of a state as it was at one moment, taken in steps between
// which commands go on. Values are shared, since they are immutable. What a
// command is about to replace or remove is saved first; what it adds is left out.
type SnapshotBuilder struct {
	source        *State
	target        *State
	keys          *mapCopier[string, key.Key]
	changeResults *mapCopier[string, ChangeResult]
	servers       *mapCopier[string, Server]
	jobs          *mapCopier[uint64, *Job]
	tasks         *mapCopier[task.ID, *Task]
}

// BeginSnapshot begins a picture of the state as it is now; one begun before is
// dropped. The caller has Step called until it is true.
func (s *State) BeginSnapshot() *SnapshotBuilder {
	s.snapshotBuilder.Cancel()
	target := New()
	target.now, target.nextJobNumber, target.digest, target.table = s.now, s.nextJobNumber, s.digest, s.table
	target.flowsSnapshot = s.flows.Record()
	s.snapshotBuilder = &SnapshotBuilder{
		source: s, target: target, keys: newMapCopier(s.keys), changeResults: newMapCopier(s.changeResults),
		servers: newMapCopier(s.servers), jobs: newMapCopier(s.jobs), tasks: newMapCopier(s.tasks),
	}
	return s.snapshotBuilder
}

// CopyRecords copies up to n records and a few more; true when all are copied.
func (p *SnapshotBuilder) CopyRecords(n int) bool {
	for _, copier := range p.copiers() {
		if !copier.copyUpTo(n) {
			return false
		}
	}
	p.detach()
	return true
}

// Cancel ends a picture that is not wanted any more; nil has nothing to end.
func (p *SnapshotBuilder) Cancel() {
	if p == nil {
		return
	}
	for _, copier := range p.copiers() {
		copier.stop()
	}
	p.detach()
}

// detach lets commands go on without saving for this picture.
func (p *SnapshotBuilder) detach() {
	if p.source != nil && p.source.snapshotBuilder == p {
		p.source.snapshotBuilder = nil
	}
	p.source = nil
}

// The methods below are called before a record changes; nil has nothing to save.

func (p *SnapshotBuilder) beforeKeyChange(id string) {
	if p != nil {
		p.keys.beforeChange(id)
	}
}

func (p *SnapshotBuilder) beforeChangeResultChange(id string) {
	if p != nil {
		p.changeResults.beforeChange(id)
	}
}

func (p *SnapshotBuilder) beforeServerChange(id string) {
	if p != nil {
		p.servers.beforeChange(id)
	}
}

func (p *SnapshotBuilder) beforeJobChange(number uint64) {
	if p != nil {
		p.jobs.beforeChange(number)
	}
}

func (p *SnapshotBuilder) beforeTaskChange(id task.ID) {
	if p != nil {
		p.tasks.beforeChange(id)
	}
}

// recordCopier is one map of a picture.
type recordCopier interface {
	copyUpTo(n int) bool
	stop()
}

func (p *SnapshotBuilder) copiers() [5]recordCopier {
	return [5]recordCopier{p.keys, p.changeResults, p.servers, p.jobs, p.tasks}
}

// State returns the state of the picture once Step was true. It takes long and
// may be called on any goroutine, once.
func (p *SnapshotBuilder) State() *State {
	p.keys.copyInto(p.target.keys)
	p.changeResults.copyInto(p.target.changeResults)
	p.servers.copyInto(p.target.servers)
	p.jobs.copyInto(p.target.jobs)
	p.tasks.copyInto(p.target.tasks)
	return p.target
}

// mapEntry is one record of a map.
type mapEntry[K comparable, V any] struct {
	key   K
	value V
}

// mapCopier copies one map in steps. The iteration stands still between them, which
// a map allows: what is removed meanwhile does not come, and what is added may.
type mapCopier[K comparable, V any] struct {
	source map[K]V
	copied []mapEntry[K, V]
	// changedKeys are the keys that were changed meanwhile, and saved if they were there.
	changedKeys map[K]struct{}
	resumeWalk  func() (struct{}, bool)
	endWalk     func()
	// remaining is how many more records the step under way may copy.
	remaining int
	done      bool
}

func newMapCopier[K comparable, V any](m map[K]V) *mapCopier[K, V] {
	p := &mapCopier[K, V]{source: m, copied: make([]mapEntry[K, V], 0, len(m)), changedKeys: map[K]struct{}{}}
	p.resumeWalk, p.endWalk = iter.Pull(p.walk)
	return p
}

// walk goes over the map and yields after each full step.
func (p *mapCopier[K, V]) walk(yield func(struct{}) bool) {
	for k, v := range p.source {
		if _, ok := p.changedKeys[k]; !ok {
			p.copied = append(p.copied, mapEntry[K, V]{k, v})
		}
		if p.remaining--; p.remaining <= 0 && !yield(struct{}{}) {
			return
		}
	}
}

func (p *mapCopier[K, V]) copyUpTo(n int) bool {
	if p.done {
		return true
	}
	p.remaining = n
	if _, more := p.resumeWalk(); more {
		return false
	}
	p.done = true
	return true
}

func (p *mapCopier[K, V]) stop() { p.endWalk() }

// beforeChange is called before a key's value changes. It may save a record that was
// copied already; the value is the same, since this is its first change.
func (p *mapCopier[K, V]) beforeChange(k K) {
	if p.done {
		return
	}
	if _, ok := p.changedKeys[k]; ok {
		return
	}
	p.changedKeys[k] = struct{}{}
	if v, ok := p.source[k]; ok {
		p.copied = append(p.copied, mapEntry[K, V]{k, v})
	}
}

func (p *mapCopier[K, V]) copyInto(m map[K]V) {
	for _, entry := range p.copied {
		m[entry.key] = entry.value
	}
}

// Copy returns a picture of the state that later commands do not change, taken
// at once.
func (s *State) Copy() *State {
	p := s.BeginSnapshot()
	for !p.CopyRecords(math.MaxInt) {
		continue
	}
	return p.State()
}
