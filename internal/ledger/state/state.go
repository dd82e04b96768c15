// Package state holds the replicated ledger: teams, keys, the table, jobs, tasks,
// backend servers, and the results of operators' changes. It is a deterministic state
// machine: the same commands give the same state on every replica. It has no clock and
// does no I/O. Each command carries its time.
package state

import (
	"iter"
	"time"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/flows"
)

// RequestID identifies a job by the caller's team and id.
type RequestID struct {
	Team string
	ID   string
}

// State is the ledger. Its values are immutable and are replaced as a whole, so a
// shallow copy is consistent.
type State struct {
	// Observer is notified of every change. It is nil on followers.
	Observer Observer

	now           time.Duration
	nextJobNumber uint64
	digest        uint64
	table         table.Table
	keys          map[string]key.Key
	changeResults map[string]ChangeResult
	// snapshotBuilder is the snapshot copy in progress, or nil if there is none.
	snapshotBuilder *SnapshotBuilder
	servers         map[string]Server
	jobs            map[uint64]*Job
	tasks           map[task.ID]*Task
	jobNumbers      map[RequestID]uint64
	flows           *flows.Ledger
	// flowsSnapshot is the record of all flows if this state is a snapshot copy, and
	// nil otherwise.
	flowsSnapshot *record.FlowsRecord

	// The fields below are derived from the records and are not part of the digest.
	invalidTransitions int
	usageByTeam        map[string]*teamUsage
	placedTasks        map[string]map[task.ID]*Task
	serversByCapacity  map[capacity.Size]int
	totalCapacity      capacity.Size
	backlog            Backlog
	// The records that the retention period may remove, oldest first.
	endedJobs        retentionQueue[uint64]
	completedChanges retentionQueue[string]
	goneServers      retentionQueue[string]
}

// teamUsage counts what a team holds in the ledger.
type teamUsage struct {
	heldCapacity capacity.Size
	waitingJobs  int
	activeJobs   int
	jobs         map[uint64]*Job
}

// Server is a backend server with the data that the ledger adds to it.
type Server struct {
	backend.Server
	// HeldCapacity is the total declared size of the tasks that are not proved to have
	// stopped on the server.
	HeldCapacity capacity.Size
	// DrainRequested is true if an operator asked for no new work on the server.
	DrainRequested bool
	// ZoneDrained is true if the server's availability zone is drained. It is derived
	// from the zone and is not part of the server's record.
	ZoneDrained bool
}

// ChangeResult is the recorded result of an operator's change.
type ChangeResult struct {
	// RequestHash is the hash of the change. It distinguishes a resend from a different
	// change with the same id.
	RequestHash uint64
	Code        code.Code
	Detail      string
	Revision    uint64
	AppliedAt   time.Duration
}

// Backlog counts the work that waits in the cell.
type Backlog struct {
	// Jobs is the number of jobs with a waiting task. Teams is the number of teams that
	// have such jobs.
	Jobs  int
	Teams int
}

// Result is the answer to a command.
type Result struct {
	// Code is code.OK if the command took effect, now or on an earlier copy of the
	// request.
	Code   code.Code
	Detail string
	// Job is the job that an Accept or Refuse command recorded or found.
	Job *Job
	// Incarnation is the incarnation that an Announce command assigned.
	Incarnation uint64
	// Revision is the revision of the table after a Change command.
	Revision uint64
}

// New returns an empty ledger.
func New() *State {
	return &State{
		nextJobNumber:     1,
		keys:              map[string]key.Key{},
		changeResults:     map[string]ChangeResult{},
		servers:           map[string]Server{},
		jobs:              map[uint64]*Job{},
		tasks:             map[task.ID]*Task{},
		jobNumbers:        map[RequestID]uint64{},
		flows:             flows.New(),
		usageByTeam:       map[string]*teamUsage{},
		placedTasks:       map[string]map[task.ID]*Task{},
		serversByCapacity: map[capacity.Size]int{},
	}
}

// Apply applies one command. A command that the state does not allow changes nothing
// and returns the reason, so a bug in the planner cannot violate an invariant.
func (s *State) Apply(c *record.Command) Result {
	// The clock of a new leader may be behind that of its predecessor. The ledger's
	// time never goes back.
	s.now = max(s.now, time.Duration(c.GetAt()))
	switch w := c.GetWhat().(type) {
	case *record.Command_Accept:
		return s.acceptJob(w.Accept)
	case *record.Command_Refuse:
		return s.refuseJob(w.Refuse)
	case *record.Command_Place:
		return s.placeTasks(w.Place)
	case *record.Command_End:
		return s.recordEnd(w.End)
	case *record.Command_Halt:
		return s.haltTasks(w.Halt)
	case *record.Command_Cancel:
		return s.cancelJobs(w.Cancel)
	case *record.Command_Drop:
		return s.dropJob(w.Drop)
	case *record.Command_Announce:
		return s.announceServer(w.Announce)
	case *record.Command_Mark:
		return s.markServer(w.Mark)
	case *record.Command_Fence:
		return s.fenceServer(w.Fence)
	case *record.Command_Change:
		return s.applyChange(w.Change)
	case *record.Command_Forget:
		return s.forgetRecords(w.Forget)
	case *record.Command_Check:
		return s.checkDigest(w.Check)
	case *record.Command_Flow:
		return s.applyFlowCommand(w.Flow)
	}
	return refused(code.Internal, "empty command")
}

// applyFlowCommand applies a command of the flow ledger.
func (s *State) applyFlowCommand(c *record.Flow) Result {
	if m := c.GetZone(); m != nil {
		return s.setZoneDrain(m)
	}
	if err := s.flows.Apply(s.now, c); err != nil {
		return refused(err.Code, err.Detail)
	}
	return Result{}
}

// Flows returns the flow ledger. The caller must not change it.
func (s *State) Flows() *flows.Ledger { return s.flows }

func refused(c code.Code, detail string) Result { return Result{Code: c, Detail: detail} }

// checkDigest compares the leader's digest with the digest of this replica. A replica
// whose state differs because of a fault in memory, on disk or in this program must
// stop. Otherwise it could become leader with a state that no quorum agreed on.
func (s *State) checkDigest(c *record.Check) Result {
	if c.GetDigest() != s.Digest() {
		return refused(code.Internal, "digest of this replica differs from the leader's")
	}
	return Result{}
}

// Digest returns a hash over all records. Replicas with equal state have equal digests.
func (s *State) Digest() uint64 { return s.digest ^ s.flows.Digest() }

// Now returns the time of the latest command.
func (s *State) Now() time.Duration { return s.now }

// Table returns the current revision of the table.
func (s *State) Table() table.Table { return s.table }

// Key returns a key by its id.
func (s *State) Key(id string) (key.Key, bool) {
	k, ok := s.keys[id]
	return k, ok
}

// Job returns a job by its number.
func (s *State) Job(number uint64) (*Job, bool) {
	j, ok := s.jobs[number]
	return j, ok
}

// FindJob returns a job by the identifiers that its caller uses.
func (s *State) FindJob(id RequestID) (*Job, bool) {
	return s.Job(s.jobNumbers[id])
}

// Task returns a task by its id.
func (s *State) Task(id task.ID) (*Task, bool) {
	t, ok := s.tasks[id]
	return t, ok
}

// Server returns a backend server by its id.
func (s *State) Server(id string) (Server, bool) {
	b, ok := s.servers[id]
	return s.withZoneDrain(b), ok
}

// TeamHeldCapacity returns the total declared size of a team's tasks that are not
// proved to have stopped.
func (s *State) TeamHeldCapacity(team string) capacity.Size {
	if u := s.usageByTeam[team]; u != nil {
		return u.heldCapacity
	}
	return capacity.Size{}
}

// TeamWaitingJobs returns the number of a team's jobs with a waiting task.
func (s *State) TeamWaitingJobs(team string) int {
	if u := s.usageByTeam[team]; u != nil {
		return u.waitingJobs
	}
	return 0
}

// EachPlacedTask calls fn for each task held on a server, in no particular order.
func (s *State) EachPlacedTask(server string, fn func(*Task)) {
	for _, t := range s.placedTasks[server] {
		fn(t)
	}
}

func (s *State) usageOf(team string) *teamUsage {
	u := s.usageByTeam[team]
	if u == nil {
		u = &teamUsage{jobs: map[uint64]*Job{}}
		s.usageByTeam[team] = u
	}
	return u
}

// PlacedTaskCount returns the number of tasks held on a server.
func (s *State) PlacedTaskCount(server string) int { return len(s.placedTasks[server]) }

// EachTask calls fn for each task of a job in the order of the task indexes.
func (s *State) EachTask(j *Job, fn func(*Task)) {
	for i := range j.Spec.Count {
		if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok {
			fn(t)
		}
	}
}

// TaskAnswers yields the answers of a job's tasks in the order of the task indexes.
func (s *State) TaskAnswers(j *Job) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for i := range j.Spec.Count {
			if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok && !yield(t.Answer) {
				return
			}
		}
	}
}

// JobAnswer returns the answers of all tasks of a job, concatenated in the order of the
// task indexes.
func (s *State) JobAnswer(j *Job) []byte {
	if j.Spec.Count == 1 {
		return s.tasks[task.ID{Job: j.Number}].Answer
	}
	var out []byte
	s.EachTask(j, func(t *Task) { out = append(out, t.Answer...) })
	return out
}
