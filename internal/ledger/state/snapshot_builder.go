package state

import (
	"iter"
	"math"

	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/task"
)

// SnapshotBuilder copies the state of one moment in several steps. Commands are applied
// between the steps. Immutable values are shared with the state. Before a command
// replaces or removes a record, the builder saves the old value. Records added since
// the beginning are left out.
type SnapshotBuilder struct {
	source        *State
	target        *State
	keys          *mapCopier[string, key.Key]
	changeResults *mapCopier[string, ChangeResult]
	servers       *mapCopier[string, Server]
	jobs          *mapCopier[uint64, *Job]
	tasks         *mapCopier[task.ID, *Task]
}

// BeginSnapshot starts a snapshot of the current state and cancels the previous
// snapshot if it is still in progress. The caller calls CopyRecords until it returns
// true.
func (s *State) BeginSnapshot() *SnapshotBuilder { return s.BeginSnapshotYielding(func() {}) }

// BeginSnapshotYielding is BeginSnapshot for a caller that must not compute for long: it calls yield
// after each few flows, which are copied at once. The state must not change meanwhile.
func (s *State) BeginSnapshotYielding(yield func()) *SnapshotBuilder {
	s.snapshotBuilder.Cancel()
	target := New()
	target.now, target.nextJobNumber, target.digest, target.table = s.now, s.nextJobNumber, s.digest, s.table
	target.flowsSnapshot = s.flows.RecordYielding(yield)
	s.snapshotBuilder = &SnapshotBuilder{
		source: s, target: target, keys: newMapCopier(s.keys), changeResults: newMapCopier(s.changeResults),
		servers: newMapCopier(s.servers), jobs: newMapCopier(s.jobs), tasks: newMapCopier(s.tasks),
	}
	return s.snapshotBuilder
}

// CopyRecords copies about n records and returns true once all records are copied.
func (p *SnapshotBuilder) CopyRecords(n int) bool {
	for _, copier := range p.copiers() {
		if !copier.copyUpTo(n) {
			return false
		}
	}
	p.detach()
	return true
}

// Cancel ends a snapshot that is no longer needed. It may be called on a nil builder.
func (p *SnapshotBuilder) Cancel() {
	if p == nil {
		return
	}
	for _, copier := range p.copiers() {
		copier.stop()
	}
	p.detach()
}

// detach removes the builder from the state, so that commands no longer save records
// for it.
func (p *SnapshotBuilder) detach() {
	if p.source != nil && p.source.snapshotBuilder == p {
		p.source.snapshotBuilder = nil
	}
	p.source = nil
}

// The methods below are called before a record changes. They do nothing on a nil
// builder.

func (p *SnapshotBuilder) beforeKeyChange(id string) {
	if p != nil {
		p.keys.beforeChange(id)
	}
}

func (p *SnapshotBuilder) beforeResultChange(id string) {
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

// recordCopier copies one of the maps of a state.
type recordCopier interface {
	copyUpTo(n int) bool
	stop()
}

func (p *SnapshotBuilder) copiers() [5]recordCopier {
	return [5]recordCopier{p.keys, p.changeResults, p.servers, p.jobs, p.tasks}
}

// State returns the copied state after CopyRecords returned true. It takes long on a
// large state. It must be called only once, on any goroutine.
func (p *SnapshotBuilder) State() *State {
	p.keys.copyInto(p.target.keys)
	p.changeResults.copyInto(p.target.changeResults)
	p.servers.copyInto(p.target.servers)
	p.jobs.copyInto(p.target.jobs)
	p.tasks.copyInto(p.target.tasks)
	return p.target
}

// mapEntry is one key and value of a map.
type mapEntry[K comparable, V any] struct {
	key   K
	value V
}

// mapCopier copies one map in several steps and suspends the map iteration between
// them. Go allows changes during an iteration: a removed entry is not visited, and an
// added entry may be visited.
type mapCopier[K comparable, V any] struct {
	source map[K]V
	copied []mapEntry[K, V]
	// changedKeys holds the keys that changed since the beginning. Their old values
	// were saved if they existed.
	changedKeys map[K]struct{}
	resumeWalk  func() (struct{}, bool)
	endWalk     func()
	// remaining is the number of records that the current step may still copy.
	remaining int
	done      bool
}

func newMapCopier[K comparable, V any](m map[K]V) *mapCopier[K, V] {
	p := &mapCopier[K, V]{source: m, copied: make([]mapEntry[K, V], 0, len(m)), changedKeys: map[K]struct{}{}}
	p.resumeWalk, p.endWalk = iter.Pull(p.walk)
	return p
}

// walk iterates over the map and yields after each step.
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

// beforeChange saves the value of a key before its first change. If the value was
// already copied it is saved again, which does no harm because it is the same value.
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

// Copy returns a copy of the state that later commands do not change.
func (s *State) Copy() *State {
	p := s.BeginSnapshot()
	for !p.CopyRecords(math.MaxInt) {
		continue
	}
	return p.State()
}
