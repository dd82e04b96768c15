package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/ledger/command"
)

// The functions below are the only ones that write the state. Each keeps the
// digest (the exclusive or of the hashes of all records, so that one change
// costs one hash) and the derived counts in step.

// sumOf returns the hash of a message.
func sumOf(m proto.Message) uint64 { return xxhash.Sum64(command.Encode(m)) }

// sumSpec returns the hash that tells a resend of a job from other content
// under the same id. It is taken over the form that a snapshot keeps: a field
// that is absent in one encoding and zero in another must not make a difference.
func sumSpec(owner string, m *v1.Spec) uint64 {
	return sumOf(command.SpecMessage(command.SpecFromMessage(owner, m)))
}

// swap replaces a record's hash in the digest.
func (s *State) swap(old, fresh uint64) { s.digest ^= old ^ fresh }

func (s *State) putJob(j *Job) {
	old := s.jobs[j.Number]
	j.hash = sumOf(jobRecord(j))
	if old != nil {
		s.swap(old.hash, j.hash)
	} else {
		s.swap(0, j.hash)
		s.ids[j.RequestID()] = j.Number
		u := s.usage(j.Spec.Team)
		u.jobs[j.Number] = j
	}
	s.storeJob(old, j)
}

// storeJob stores a job and keeps the team's count of waiting jobs.
func (s *State) storeJob(old, j *Job) {
	u := s.usage(j.Spec.Team)
	if old != nil {
		s.count(u, old, -1)
	}
	s.count(u, j, 1)
	u.jobs[j.Number] = j
	s.picture.job(j.Number)
	s.jobs[j.Number] = j
	if j.Final() && (old == nil || !old.Final()) {
		s.ended.push(aged[uint64]{j.Number, j.EndedAt})
	}
}

// count adds (n = 1) or takes away (n = -1) a job in what waits, for its team
// and for the cell.
func (s *State) count(u *usage, j *Job, n int) {
	if j.Final() {
		return
	}
	u.active += n
	if j.WaitingTasks == 0 {
		return
	}
	before := u.waiting > 0
	u.waiting += n
	s.backlog.Jobs += n
	switch after := u.waiting > 0; {
	case after && !before:
		s.backlog.Teams++
	case before && !after:
		s.backlog.Teams--
	}
}

func (s *State) removeJob(j *Job) {
	for i := range j.Spec.Count {
		if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok {
			s.swap(t.hash, 0)
			s.picture.task(t.ID)
			delete(s.tasks, t.ID)
		}
	}
	s.swap(j.hash, 0)
	s.picture.job(j.Number)
	delete(s.jobs, j.Number)
	delete(s.ids, j.RequestID())
	u := s.usage(j.Spec.Team)
	s.count(u, j, -1)
	delete(u.jobs, j.Number)
}

func (s *State) putTask(t *Task) {
	old := s.tasks[t.ID]
	t.hash = sumOf(taskRecord(t))
	j := *s.jobs[t.ID.Job]
	if old != nil {
		s.swap(old.hash, t.hash)
		s.tally(&j, old, -1)
	} else {
		s.swap(0, t.hash)
	}
	s.picture.task(t.ID)
	s.tasks[t.ID] = t
	s.tally(&j, t, 1)
	s.storeJob(s.jobs[j.Number], &j)
}

// tally adds (n = 1) or takes away (n = -1) a task in all derived counts.
func (s *State) tally(j *Job, t *Task, n int) {
	d := uint32(n) // wraps for -1, as meant
	switch {
	case t.Phase.HoldsCapacity():
		j.HeldTasks += d
		s.hold(j, t, n)
	case t.Phase.Final():
		j.FinalTasks += d
	default:
		j.WaitingTasks += d
	}
}

func (s *State) hold(j *Job, t *Task, n int) {
	size := j.Spec.Size.Times(int64(n))
	u := s.usage(j.Spec.Team)
	u.held = u.held.Add(size)
	b := s.servers[t.Server]
	b.HeldCapacity = b.HeldCapacity.Add(size)
	s.servers[t.Server] = b
	if n < 0 {
		delete(s.placed[t.Server], t.ID)
		return
	}
	if s.placed[t.Server] == nil {
		s.placed[t.Server] = map[task.ID]*Task{}
	}
	s.placed[t.Server][t.ID] = t
}

func (s *State) putServer(b Server) {
	if old, ok := s.servers[b.ID]; ok && old.ID != "" {
		s.swap(sumOf(serverRecord(old)), 0)
	}
	s.swap(0, sumOf(serverRecord(b)))
	s.classify(s.servers[b.ID], -1)
	s.classify(b, 1)
	s.picture.server(b.ID)
	s.servers[b.ID] = b
	if b.Server.State == gone {
		s.left.push(aged[string]{b.ID, b.Since})
	}
}

// classify counts the servers of each capacity, so that "could any server ever
// hold this" costs as many steps as there are kinds of server.
func (s *State) classify(b Server, n int) {
	if b.ID == "" || b.Server.State == gone {
		return
	}
	s.total = s.total.Add(b.Capacity.Times(int64(n)))
	if s.classes[b.Capacity] += n; s.classes[b.Capacity] == 0 {
		delete(s.classes, b.Capacity)
	}
}

func (s *State) removeServer(id string) {
	s.swap(sumOf(serverRecord(s.servers[id])), 0)
	s.classify(s.servers[id], -1)
	s.picture.server(id)
	delete(s.servers, id)
	delete(s.placed, id)
}

func (s *State) putKey(k key.Key) {
	if old, ok := s.keys[k.ID]; ok {
		s.swap(sumOf(keyRecord(old)), 0)
	}
	s.swap(0, sumOf(keyRecord(k)))
	s.picture.key(k.ID)
	s.keys[k.ID] = k
}

func (s *State) putAnswer(id string, a ChangeResult) {
	s.swap(0, sumOf(answerRecord(id, a)))
	s.picture.answer(id)
	s.answers[id] = a
	s.told.push(aged[string]{id, a.AppliedAt})
}

func (s *State) removeAnswer(id string) {
	if a, ok := s.answers[id]; ok {
		s.swap(sumOf(answerRecord(id, a)), 0)
		s.picture.answer(id)
		delete(s.answers, id)
	}
}

// putTable puts the next revision in force. Only rows that differ are hashed:
// with the whole table a change would cost as much as the table is long.
func (s *State) putTable(next table.Table, set []team.Row, removed []string) {
	for _, name := range removed {
		if old, ok := s.table.Row(name); ok {
			s.swap(sumOf(command.RowMessage(old)), 0)
		}
	}
	for _, row := range set {
		if old, ok := s.table.Row(row.Name); ok {
			s.swap(sumOf(command.RowMessage(old)), 0)
		}
		s.swap(0, sumOf(command.RowMessage(row)))
	}
	s.swap(sumOf(revisionRecord(s.table)), sumOf(revisionRecord(next)))
	s.table = next
}

func revisionRecord(t table.Table) *record.Header {
	return &record.Header{Revision: t.Revision()}
}

// sorted returns the keys of a map in a fixed order.
func sorted[K ~string | ~uint64, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

func tableRecord(t table.Table) *record.Header {
	h := &record.Header{Revision: t.Revision()}
	for _, r := range t.Rows() {
		h.Rows = append(h.Rows, command.RowMessage(r))
	}
	return h
}
