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

// Only the functions below write the records of the state. Each of them also updates
// the derived counts and the digest. The digest is the exclusive or of the hashes of
// all records, so a change of one record costs one hash.

// hashMessage returns the hash of a message whose strings come from a command. A command is applied
// only after it was encoded or decoded, so they are valid.
func hashMessage(m proto.Message) uint64 {
	b, err := command.Encode(m)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// hashSpec returns the hash that distinguishes a resend of a job from a different job
// with the same id. It covers the normalized form that snapshots store, so that a field
// absent in one encoding and zero in another makes no difference.
func hashSpec(teamName string, m *v1.Spec) uint64 {
	return hashMessage(command.SpecMessage(command.SpecFromMessage(teamName, m)))
}

// replaceInDigest replaces a record's hash in the digest.
func (s *State) replaceInDigest(oldHash, newHash uint64) { s.digest ^= oldHash ^ newHash }

func (s *State) putJob(j *Job) {
	old := s.jobs[j.Number]
	j.recordHash = hashMessage(jobRecord(j))
	if old != nil {
		s.replaceInDigest(old.recordHash, j.recordHash)
	} else {
		s.replaceInDigest(0, j.recordHash)
		s.jobNumbers[j.RequestID()] = j.Number
		u := s.usageOf(j.Spec.Team)
		u.jobs[j.Number] = j
	}
	s.storeJob(old, j)
}

// storeJob stores a job and updates the counts of waiting jobs.
func (s *State) storeJob(old, j *Job) {
	u := s.usageOf(j.Spec.Team)
	if old != nil {
		s.addToWaitingCounts(u, old, -1)
	}
	s.addToWaitingCounts(u, j, 1)
	u.jobs[j.Number] = j
	s.snapshotBuilder.beforeJobChange(j.Number)
	s.jobs[j.Number] = j
	if j.Final() && (old == nil || !old.Final()) {
		s.endedJobs.push(retained[uint64]{j.Number, j.EndedAt})
	}
}

// addToWaitingCounts adds a job (n = 1) to the counts of waiting jobs of its team and
// of the cell, or removes it (n = -1).
func (s *State) addToWaitingCounts(usage *teamUsage, j *Job, n int) {
	if j.Final() {
		return
	}
	usage.activeJobs += n
	if j.WaitingTasks == 0 {
		return
	}
	before := usage.waitingJobs > 0
	usage.waitingJobs += n
	s.backlog.Jobs += n
	switch after := usage.waitingJobs > 0; {
	case after && !before:
		s.backlog.Teams++
	case before && !after:
		s.backlog.Teams--
	}
}

func (s *State) removeJob(j *Job) {
	for i := range j.Spec.Count {
		if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok {
			s.replaceInDigest(t.recordHash, 0)
			s.snapshotBuilder.beforeTaskChange(t.ID)
			delete(s.tasks, t.ID)
		}
	}
	s.replaceInDigest(j.recordHash, 0)
	s.snapshotBuilder.beforeJobChange(j.Number)
	delete(s.jobs, j.Number)
	delete(s.jobNumbers, j.RequestID())
	u := s.usageOf(j.Spec.Team)
	s.addToWaitingCounts(u, j, -1)
	delete(u.jobs, j.Number)
}

func (s *State) putTask(t *Task) {
	old := s.tasks[t.ID]
	t.recordHash = hashMessage(taskRecord(t))
	j := *s.jobs[t.ID.Job]
	if old != nil {
		s.replaceInDigest(old.recordHash, t.recordHash)
		s.addToTaskCounts(&j, old, -1)
	} else {
		s.replaceInDigest(0, t.recordHash)
	}
	s.snapshotBuilder.beforeTaskChange(t.ID)
	s.tasks[t.ID] = t
	s.addToTaskCounts(&j, t, 1)
	s.storeJob(s.jobs[j.Number], &j)
}

// addToTaskCounts adds a task (n = 1) to all derived counts or removes it (n = -1).
func (s *State) addToTaskCounts(j *Job, t *Task, n int) {
	delta := uint32(n) // wraps around for n = -1, so that adding it subtracts 1
	switch {
	case t.Phase.HoldsCapacity():
		j.HeldTasks += delta
		s.addHeldCapacity(j, t, n)
	case t.Phase.Final():
		j.FinalTasks += delta
	default:
		j.WaitingTasks += delta
	}
}

func (s *State) addHeldCapacity(j *Job, t *Task, n int) {
	size := j.Spec.Size.Times(int64(n))
	u := s.usageOf(j.Spec.Team)
	u.heldCapacity = u.heldCapacity.Add(size)
	b := s.servers[t.Server]
	b.HeldCapacity = b.HeldCapacity.Add(size)
	s.servers[t.Server] = b
	if n < 0 {
		delete(s.placedTasks[t.Server], t.ID)
		return
	}
	if s.placedTasks[t.Server] == nil {
		s.placedTasks[t.Server] = map[task.ID]*Task{}
	}
	s.placedTasks[t.Server][t.ID] = t
}

func (s *State) putServer(b Server) {
	if old, ok := s.servers[b.ID]; ok && old.ID != "" {
		s.replaceInDigest(hashMessage(serverRecord(old)), 0)
	}
	s.replaceInDigest(0, hashMessage(serverRecord(b)))
	s.addToCapacityCounts(s.servers[b.ID], -1)
	s.addToCapacityCounts(b, 1)
	s.snapshotBuilder.beforeServerChange(b.ID)
	s.servers[b.ID] = b
	if b.Server.State == gone {
		s.goneServers.push(retained[string]{b.ID, b.StateSince})
	}
}

// addToCapacityCounts adds a server (n = 1) to the number of servers with its capacity
// or removes it (n = -1). With these counts the check whether any server could ever
// hold a task takes one step per distinct capacity instead of one per server.
func (s *State) addToCapacityCounts(b Server, n int) {
	if b.ID == "" || b.Server.State == gone {
		return
	}
	s.totalCapacity = s.totalCapacity.Add(b.Capacity.Times(int64(n)))
	if s.serversByCapacity[b.Capacity] += n; s.serversByCapacity[b.Capacity] == 0 {
		delete(s.serversByCapacity, b.Capacity)
	}
}

func (s *State) removeServer(id string) {
	s.replaceInDigest(hashMessage(serverRecord(s.servers[id])), 0)
	s.addToCapacityCounts(s.servers[id], -1)
	s.snapshotBuilder.beforeServerChange(id)
	delete(s.servers, id)
	delete(s.placedTasks, id)
}

func (s *State) putKey(k key.Key) {
	if old, ok := s.keys[k.ID]; ok {
		s.replaceInDigest(hashMessage(keyRecord(old)), 0)
	}
	s.replaceInDigest(0, hashMessage(keyRecord(k)))
	s.snapshotBuilder.beforeKeyChange(k.ID)
	s.keys[k.ID] = k
}

func (s *State) putChangeResult(id string, a ChangeResult) {
	s.replaceInDigest(0, hashMessage(changeResultRecord(id, a)))
	s.snapshotBuilder.beforeResultChange(id)
	s.changeResults[id] = a
	s.completedChanges.push(retained[string]{id, a.AppliedAt})
}

func (s *State) removeChangeResult(id string) {
	if a, ok := s.changeResults[id]; ok {
		s.replaceInDigest(hashMessage(changeResultRecord(id, a)), 0)
		s.snapshotBuilder.beforeResultChange(id)
		delete(s.changeResults, id)
	}
}

// putTable puts the next revision in force. Only changed rows are hashed, because
// hashing the whole table would make the cost of a change grow with the number of rows.
func (s *State) putTable(next table.Table, set []team.Row, removed []string) {
	for _, name := range removed {
		if old, ok := s.table.Row(name); ok {
			s.replaceInDigest(hashMessage(command.RowMessage(old)), 0)
		}
	}
	for _, row := range set {
		if old, ok := s.table.Row(row.Name); ok {
			s.replaceInDigest(hashMessage(command.RowMessage(old)), 0)
		}
		s.replaceInDigest(0, hashMessage(command.RowMessage(row)))
	}
	s.replaceInDigest(hashMessage(revisionRecord(s.table)), hashMessage(revisionRecord(next)))
	s.table = next
}

func revisionRecord(t table.Table) *record.Header {
	return &record.Header{Revision: t.Revision()}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string | ~uint64, V any](m map[K]V) []K {
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
