// Package flows is the part of the ledger that holds flows (jobs of several
// steps), the backend servers that run their tasks, and the configuration
// document. It is a deterministic state machine: the same commands give the
// same state on every replica. It has no clock and does no I/O.
package flows

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
)

// Ledger holds everything about flows. What is derived is kept in step with
// the records and built anew when a snapshot is read.
type Ledger struct {
	config  *flow.Config
	flows   map[string]*Flow
	servers map[string]*Server
	waves   map[uint64]*Wave
	// drained are the drained availability zones, and since when.
	drained map[string]time.Duration
	digest  uint64
	faults  int

	// Derived.
	ready    map[flow.StepID]*Step
	unwanted map[flow.TaskID]*HeldRun
	used     map[string]capacity.Size
	pending  map[string]int
	open     int
}

// Flow is one accepted flow.
type Flow struct {
	ID       string
	Customer string
	// QueueName names its queue. Was is the queue as it was when the flow was
	// accepted; it counts when the document in force has none of that name.
	QueueName         string
	QueueAtAcceptance *v1.Queue
	Spec              *v1.FlowSpec
	// AcceptedAt and Ended are on the ledger's clock.
	AcceptedAt time.Duration
	EndedAt    time.Duration
	State      v1.FlowState
	// NextTurn is the number of the next turn of a flow that runs at times.
	NextTurn uint32
	// Turns are those under way, by number.
	Turns map[uint32]*Turn
	// HeldRuns counts the runs that servers may hold.
	HeldRuns int
}

// Final tells whether the flow's state never changes again.
func (f *Flow) Final() bool { return f.State >= v1.FlowState_FLOW_STATE_DONE }

// Turn is one pass through the steps of a flow.
type Turn struct {
	Number uint32
	Steps  []*Step
	// left counts the steps with a task that is not done.
	left int
}

// Step is one step of a turn.
type Step struct {
	flow.StepID
	Flow  *Flow
	Spec  *v1.FlowStep
	Tasks []Task
	// UnfinishedDependencies counts the steps before it that are not done.
	UnfinishedDependencies int
	// QueuedTasks, Placed and Done count the tasks by phase.
	QueuedTasks int
	PlacedTasks int
	DoneTasks   int
	// FailedRuns counts the failed runs of a gang, Counted is the last one counted.
	FailedRuns    uint32
	LastFailedRun uint32
	// ReadyAt is when the step could begin, on the ledger's clock.
	ReadyAt time.Duration
}

// Task is one task of a step.
type Task struct {
	Phase Phase
	// LatestRun is that of the latest run, 0 before the first.
	LatestRun uint32
	// FailedRuns counts the runs that ended as failed.
	FailedRuns uint32
	// ConsecutiveCrashes counts the servers in a row that crashed under it, Blamed those of them
	// that it may have crashed itself.
	ConsecutiveCrashes uint32
	BlamedCrashes      uint32
	// Checkpoint is where the next run goes on; empty for the beginning.
	Checkpoint string
	// Server and Born are where the latest run was placed.
	Server            string
	ServerStartedAtMs int64
}

// Server is one life of a backend server.
type Server struct {
	ID string
	// StartedAtMs is when this life began, milliseconds since 1970.
	StartedAtMs int64
	Address     string
	Zone        string
	Pool        string
	Machine     string
	Capacity    capacity.Size
	Labels      []string
	// ShuttingDown servers get no new work.
	ShuttingDown bool
	// WarmUpEndsAt is when it stops being slow after its start, on the ledger's clock.
	WarmUpEndsAt time.Duration
	// LastReport is the number of the latest report that changed anything.
	LastReport uint64
	// Ended tells that this life has ended.
	Ended bool
	// EndCursor is the number up to which this life's ends are recorded.
	EndCursor uint64
	// Used is the size of everything that is not proved to have ended.
	Used     capacity.Size
	HeldRuns map[flow.TaskID]*HeldRun
}

// HeldRun is a run that a server may hold.
type HeldRun struct {
	flow.RunID
	Server   string
	Customer string
	Size     capacity.Size
	// PlacedAt is when it was placed, on the ledger's clock.
	PlacedAt time.Duration
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		config: flow.NewConfig(nil), flows: map[string]*Flow{}, servers: map[string]*Server{}, waves: map[uint64]*Wave{}, drained: map[string]time.Duration{},
		ready: map[flow.StepID]*Step{}, unwanted: map[flow.TaskID]*HeldRun{}, used: map[string]capacity.Size{}, pending: map[string]int{},
	}
}

// Config returns the configuration in force.
func (l *Ledger) Config() *flow.Config { return l.config }

// Digest returns a hash over all commands applied.
func (l *Ledger) Digest() uint64 { return l.digest }

// InvalidTransitions returns how often an event came that the charts do not allow.
func (l *Ledger) InvalidTransitions() int { return l.faults }

// Flow returns a flow by its id.
func (l *Ledger) Flow(id string) (*Flow, bool) {
	f, ok := l.flows[id]
	return f, ok
}

// Flows returns all flows, to be read only.
func (l *Ledger) Flows() map[string]*Flow { return l.flows }

// Server returns a server by its id.
func (l *Ledger) Server(id string) (*Server, bool) {
	s, ok := l.servers[id]
	return s, ok
}

// Servers returns all servers, to be read only.
func (l *Ledger) Servers() map[string]*Server { return l.servers }

// Step returns a step under way.
func (l *Ledger) Step(id flow.StepID) (*Step, bool) {
	f, ok := l.flows[id.Flow]
	if !ok || f.Turns[id.Turn] == nil {
		return nil, false
	}
	steps := f.Turns[id.Turn].Steps
	if int(id.Step) >= len(steps) {
		return nil, false
	}
	return steps[id.Step], true
}

// ReadySteps returns the steps with a task that may be placed now, to be read only.
func (l *Ledger) ReadySteps() map[flow.StepID]*Step { return l.ready }

// RunsToStop returns the runs that are to be stopped, to be read only.
func (l *Ledger) RunsToStop() map[flow.TaskID]*HeldRun { return l.unwanted }

// CustomerUsage returns what a customer has that is not proved to have ended.
func (l *Ledger) CustomerUsage(customer string) capacity.Size { return l.used[customer] }

// PendingFlows returns the number of a queue's flows of which no task has started.
func (l *Ledger) PendingFlows(queue string) int { return l.pending[queue] }

// OpenFlows returns the number of flows that have not ended.
func (l *Ledger) OpenFlows() int { return l.open }

// QueueOf returns the queue of a flow as the document in force has it. A queue
// that was taken away still has its flows: they were accepted.
func (l *Ledger) QueueOf(f *Flow) (*v1.Queue, bool) {
	if q, ok := l.config.Queue(f.QueueName); ok {
		return q, true
	}
	return f.QueueAtAcceptance, f.QueueAtAcceptance != nil
}

// CustomerLimit returns the most that a customer may have running; the fields of a
// customer without one are capacity.Unlimited.
func (l *Ledger) CustomerLimit(customer string) capacity.Size {
	none := func(n int64) int64 {
		if n == 0 {
			return capacity.Unlimited
		}
		return n
	}
	c, _ := l.config.Customer(customer)
	m := c.GetLimit()
	return capacity.Size{CPU: none(m.GetCpu()), Memory: none(m.GetMemory()), Accel: none(m.GetAccel()), Slots: capacity.Unlimited}
}

// Apply makes one command take effect, at a time on the ledger's clock. A
// command that the state does not allow changes nothing and says why.
func (l *Ledger) Apply(at time.Duration, c *record.Flow) *code.Error {
	err := l.apply(at, c)
	if err == nil {
		l.mix(uint64(at), uint64(len(l.flows)), uint64(len(l.ready)), uint64(l.open))
	}
	return err
}

func (l *Ledger) apply(at time.Duration, c *record.Flow) *code.Error {
	switch w := c.GetWhat().(type) {
	case *record.Flow_Document:
		return l.document(w.Document)
	case *record.Flow_Accept:
		return l.accept(at, w.Accept)
	case *record.Flow_Cancel:
		return l.cancel(at, w.Cancel)
	case *record.Flow_Server:
		return l.server(at, w.Server)
	case *record.Flow_Clear:
		return l.clear(at, w.Clear)
	case *record.Flow_Start:
		return l.start(at, w.Start)
	case *record.Flow_Ends:
		return l.ends(at, w.Ends)
	case *record.Flow_Forget:
		return l.forget(w.Forget)
	case *record.Flow_Due:
		return l.due(at, w.Due)
	case *record.Flow_Wave:
		return l.wave(at, w.Wave)
	case *record.Flow_Upkeep:
		return l.upkeep(w.Upkeep)
	case *record.Flow_Zone:
		return l.zone(at, w.Zone)
	}
	return code.New(code.Internal, "empty command")
}

// mix folds numbers into the digest. The chain depends on every command, so a
// replica that took another path is found at the next comparison.
func (l *Ledger) mix(numbers ...uint64) {
	const prime = 0x9E3779B185EBCA87 // the first prime of xxHash64
	for _, n := range numbers {
		l.digest = (l.digest ^ n) * prime
		l.digest ^= l.digest >> 29
	}
}

func (l *Ledger) mixText(s string) { l.mix(xxhash.Sum64String(s)) }

// document puts a document in force that is newer than the one held. One with
// a version that is not higher changes nothing; asking again is no fault.
func (l *Ledger) document(d *v1.Document) *code.Error {
	if err := flow.CheckDocument(d); err != nil {
		return err
	}
	if d.GetVersion() <= l.config.GetVersion() {
		return nil
	}
	l.config = flow.NewConfig(d)
	l.mix(d.GetVersion())
	return nil
}

// index puts a step among those that may be placed, or takes it out.
func (l *Ledger) index(s *Step) {
	if s.UnfinishedDependencies == 0 && s.QueuedTasks > 0 && !s.Flow.Final() && !(s.Spec.GetGang() && s.QueuedTasks < len(s.Tasks)) {
		l.ready[s.StepID] = s
		return
	}
	delete(l.ready, s.StepID)
}

// lasts tells whether a step's tasks run until their flow is cancelled.
func (s *Step) lasts() bool { return s.Spec.GetLasting() }
