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
	of      *State
	head    *State
	keys    *pick[string, key.Key]
	answers *pick[string, ChangeResult]
	servers *pick[string, Server]
	jobs    *pick[uint64, *Job]
	tasks   *pick[task.ID, *Task]
}

// BeginSnapshot begins a picture of the state as it is now; one begun before is
// dropped. The caller has Step called until it is true.
func (s *State) BeginSnapshot() *SnapshotBuilder {
	s.picture.Cancel()
	head := New()
	head.at, head.next, head.digest, head.table = s.at, s.next, s.digest, s.table
	head.pictured = s.flows.Record()
	s.picture = &SnapshotBuilder{
		of: s, head: head, keys: newPick(s.keys), answers: newPick(s.answers),
		servers: newPick(s.servers), jobs: newPick(s.jobs), tasks: newPick(s.tasks),
	}
	return s.picture
}

// CopyRecords copies up to n records and a few more; true when all are copied.
func (p *SnapshotBuilder) CopyRecords(n int) bool {
	for _, one := range p.parts() {
		if !one.step(n) {
			return false
		}
	}
	p.leave()
	return true
}

// Cancel ends a picture that is not wanted any more; nil has nothing to end.
func (p *SnapshotBuilder) Cancel() {
	if p == nil {
		return
	}
	for _, one := range p.parts() {
		one.stop()
	}
	p.leave()
}

// leave lets commands go on without saving for this picture.
func (p *SnapshotBuilder) leave() {
	if p.of != nil && p.of.picture == p {
		p.of.picture = nil
	}
	p.of = nil
}

// The methods below are called before a record changes; nil has nothing to save.

func (p *SnapshotBuilder) key(id string) {
	if p != nil {
		p.keys.touch(id)
	}
}

func (p *SnapshotBuilder) answer(id string) {
	if p != nil {
		p.answers.touch(id)
	}
}

func (p *SnapshotBuilder) server(id string) {
	if p != nil {
		p.servers.touch(id)
	}
}

func (p *SnapshotBuilder) job(number uint64) {
	if p != nil {
		p.jobs.touch(number)
	}
}

func (p *SnapshotBuilder) task(id task.ID) {
	if p != nil {
		p.tasks.touch(id)
	}
}

// part is one map of a picture.
type part interface {
	step(n int) bool
	stop()
}

func (p *SnapshotBuilder) parts() [5]part {
	return [5]part{p.keys, p.answers, p.servers, p.jobs, p.tasks}
}

// State returns the state of the picture once Step was true. It takes long and
// may be called on any goroutine, once.
func (p *SnapshotBuilder) State() *State {
	p.keys.fill(p.head.keys)
	p.answers.fill(p.head.answers)
	p.servers.fill(p.head.servers)
	p.jobs.fill(p.head.jobs)
	p.tasks.fill(p.head.tasks)
	return p.head
}

// pair is one record of a map.
type pair[K comparable, V any] struct {
	k K
	v V
}

// pick copies one map in steps. The iteration stands still between them, which
// a map allows: what is removed meanwhile does not come, and what is added may.
type pick[K comparable, V any] struct {
	from map[K]V
	got  []pair[K, V]
	// touched are the keys that were changed meanwhile, and saved if they were there.
	touched map[K]struct{}
	next    func() (struct{}, bool)
	halt    func()
	// room is how many more records the step under way may copy.
	room int
	done bool
}

func newPick[K comparable, V any](m map[K]V) *pick[K, V] {
	p := &pick[K, V]{from: m, got: make([]pair[K, V], 0, len(m)), touched: map[K]struct{}{}}
	p.next, p.halt = iter.Pull(p.walk)
	return p
}

// walk goes over the map and yields after each full step.
func (p *pick[K, V]) walk(yield func(struct{}) bool) {
	for k, v := range p.from {
		if _, ok := p.touched[k]; !ok {
			p.got = append(p.got, pair[K, V]{k, v})
		}
		if p.room--; p.room <= 0 && !yield(struct{}{}) {
			return
		}
	}
}

func (p *pick[K, V]) step(n int) bool {
	if p.done {
		return true
	}
	p.room = n
	if _, more := p.next(); more {
		return false
	}
	p.done = true
	return true
}

func (p *pick[K, V]) stop() { p.halt() }

// touch is called before a key's value changes. It may save a record that was
// copied already; the value is the same, since this is its first change.
func (p *pick[K, V]) touch(k K) {
	if p.done {
		return
	}
	if _, ok := p.touched[k]; ok {
		return
	}
	p.touched[k] = struct{}{}
	if v, ok := p.from[k]; ok {
		p.got = append(p.got, pair[K, V]{k, v})
	}
}

func (p *pick[K, V]) fill(m map[K]V) {
	for _, one := range p.got {
		m[one.k] = one.v
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
