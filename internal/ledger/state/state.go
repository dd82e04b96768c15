// Package state is the ledger: teams, keys, the table, jobs, tasks, backend
// servers and the answers given to changes. It is a deterministic state
// machine: the same commands give the same state on every replica. It has no
// clock and does no I/O; time comes in with each command.
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

// RequestID names a job as its caller does.
type RequestID struct {
	Team string
	ID   string
}

// State is the ledger. Its values are immutable and replaced whole, so that a
// shallow copy is a consistent picture.
type State struct {
	// Observer is told of every change; nil on replicas that only follow.
	Observer Observer

	at      time.Duration
	next    uint64
	digest  uint64
	table   table.Table
	keys    map[string]key.Key
	answers map[string]ChangeResult
	// picture is the copy that is being taken; nil for none.
	picture *SnapshotBuilder
	servers map[string]Server
	jobs    map[uint64]*Job
	tasks   map[task.ID]*Task
	ids     map[RequestID]uint64
	flows   *flows.Ledger
	// pictured is the record of all flows in a state that is a picture.
	pictured *record.FlowsRecord

	// Derived, not part of the digest.
	faults  int
	teams   map[string]*usage
	placed  map[string]map[task.ID]*Task
	classes map[capacity.Size]int
	total   capacity.Size
	backlog Backlog
	// What retention looks at, the oldest first.
	ended queue[uint64]
	told  queue[string]
	left  queue[string]
}

// usage is what a team has in the ledger.
type usage struct {
	held    capacity.Size
	waiting int
	active  int
	jobs    map[uint64]*Job
}

// Server is a backend server with what the ledger adds to it.
type Server struct {
	backend.Server
	// HeldCapacity is the declared size of everything that is not proved stopped on it.
	HeldCapacity capacity.Size
	// DrainRequested tells that an operator or the server itself asked for no new work.
	DrainRequested bool
	// ZoneDrained tells that its availability zone is drained. It follows from the zone's
	// mark and is no part of the server's record.
	ZoneDrained bool
}

// ChangeResult is what an operator's change was told.
type ChangeResult struct {
	// RequestHash is the hash of the change, to tell a resend from other content.
	RequestHash uint64
	Code        code.Code
	Detail      string
	Revision    uint64
	AppliedAt   time.Duration
}

// Backlog is what waits in the cell.
type Backlog struct {
	// Jobs counts the jobs that have a task waiting, Teams those who have such jobs.
	Jobs  int
	Teams int
}

// Result is what the one who asked for a command is told.
type Result struct {
	// Code is code.OK when the command took effect (or had before).
	Code   code.Code
	Detail string
	// Job is the job accepted or found by Accept and Refuse.
	Job *Job
	// Incarnation is the one given by Announce.
	Incarnation uint64
	// Revision is the table's revision after a Change.
	Revision uint64
}

// New returns an empty ledger.
func New() *State {
	return &State{
		next:    1,
		keys:    map[string]key.Key{},
		answers: map[string]ChangeResult{},
		servers: map[string]Server{},
		jobs:    map[uint64]*Job{},
		tasks:   map[task.ID]*Task{},
		ids:     map[RequestID]uint64{},
		flows:   flows.New(),
		teams:   map[string]*usage{},
		placed:  map[string]map[task.ID]*Task{},
		classes: map[capacity.Size]int{},
	}
}

// Apply makes one command take effect. A command that the state does not allow
// changes nothing and says why: a planner's fault never breaks a promise.
func (s *State) Apply(c *record.Command) Result {
	// A leader's clock may be behind its predecessor's; the ledger's never goes back.
	s.at = max(s.at, time.Duration(c.GetAt()))
	switch w := c.GetWhat().(type) {
	case *record.Command_Accept:
		return s.accept(w.Accept)
	case *record.Command_Refuse:
		return s.refuse(w.Refuse)
	case *record.Command_Place:
		return s.place(w.Place)
	case *record.Command_End:
		return s.end(w.End)
	case *record.Command_Halt:
		return s.halt(w.Halt)
	case *record.Command_Cancel:
		return s.cancel(w.Cancel)
	case *record.Command_Drop:
		return s.drop(w.Drop)
	case *record.Command_Announce:
		return s.announce(w.Announce)
	case *record.Command_Mark:
		return s.mark(w.Mark)
	case *record.Command_Fence:
		return s.fence(w.Fence)
	case *record.Command_Change:
		return s.change(w.Change)
	case *record.Command_Forget:
		return s.forget(w.Forget)
	case *record.Command_Check:
		return s.check(w.Check)
	case *record.Command_Flow:
		return s.flow(w.Flow)
	}
	return refused(code.Internal, "empty command")
}

// flow hands a command to the part of the ledger that holds flows.
func (s *State) flow(c *record.Flow) Result {
	if m := c.GetZone(); m != nil {
		return s.zone(m)
	}
	if err := s.flows.Apply(s.at, c); err != nil {
		return refused(err.Code, err.Detail)
	}
	return Result{}
}

// Flows returns the part of the ledger that holds flows, to be read only.
func (s *State) Flows() *flows.Ledger { return s.flows }

func refused(c code.Code, detail string) Result { return Result{Code: c, Detail: detail} }

// check compares the leader's digest of the state with this replica's own. A
// replica whose state differs (a fault in memory, on disk or in this program)
// must not go on: it would lead with a ledger that nobody agreed on.
func (s *State) check(c *record.Check) Result {
	if c.GetDigest() != s.Digest() {
		return refused(code.Internal, "digest differs")
	}
	return Result{}
}

// Digest returns a hash over all records, the same on replicas in the same state.
func (s *State) Digest() uint64 { return s.digest ^ s.flows.Digest() }

// Now returns the time of the latest command.
func (s *State) Now() time.Duration { return s.at }

// Table returns the table in force.
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

// FindJob returns a job by its caller's id.
func (s *State) FindJob(id RequestID) (*Job, bool) {
	return s.Job(s.ids[id])
}

// Task returns a task by its id.
func (s *State) Task(id task.ID) (*Task, bool) {
	t, ok := s.tasks[id]
	return t, ok
}

// Server returns a backend server by its id.
func (s *State) Server(id string) (Server, bool) {
	b, ok := s.servers[id]
	return s.zoned(b), ok
}

// TeamHeldCapacity returns the declared size of everything of a team that is not proved stopped.
func (s *State) TeamHeldCapacity(team string) capacity.Size {
	if u := s.teams[team]; u != nil {
		return u.held
	}
	return capacity.Size{}
}

// TeamWaitingJobs returns the number of a team's jobs that have a task waiting.
func (s *State) TeamWaitingJobs(team string) int {
	if u := s.teams[team]; u != nil {
		return u.waiting
	}
	return 0
}

// EachPlacedTask calls fn for each task held on a server, in no fixed order.
func (s *State) EachPlacedTask(server string, fn func(*Task)) {
	for _, t := range s.placed[server] {
		fn(t)
	}
}

func (s *State) usage(team string) *usage {
	u := s.teams[team]
	if u == nil {
		u = &usage{jobs: map[uint64]*Job{}}
		s.teams[team] = u
	}
	return u
}

// PlacedTaskCount returns the number of tasks held on a server.
func (s *State) PlacedTaskCount(server string) int { return len(s.placed[server]) }

// EachTask calls fn for each task of a job, in the order of their indexes.
func (s *State) EachTask(j *Job, fn func(*Task)) {
	for i := range j.Spec.Count {
		if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok {
			fn(t)
		}
	}
}

// TaskAnswers yields the answers of a job's tasks in the order of their indexes.
func (s *State) TaskAnswers(j *Job) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for i := range j.Spec.Count {
			if t, ok := s.tasks[task.ID{Job: j.Number, Index: i}]; ok && !yield(t.Answer) {
				return
			}
		}
	}
}

// JobAnswer returns a job's whole answer: its tasks' answers in the order of their indexes.
func (s *State) JobAnswer(j *Job) []byte {
	if j.Spec.Count == 1 {
		return s.tasks[task.ID{Job: j.Number}].Answer
	}
	var out []byte
	s.EachTask(j, func(t *Task) { out = append(out, t.Answer...) })
	return out
}
