// Package flows is the part of the ledger that holds flows (jobs of several steps), the
// backend servers that run their tasks, and the configuration document. It is a
// deterministic state machine: the same commands give the same state on every replica.
// It has no clock and does no I/O.
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

// Ledger holds the replicated state of all flows. Derived fields are updated together
// with the records and rebuilt when a snapshot is restored.
type Ledger struct {
	config  *flow.Config
	flows   map[string]*Flow
	servers map[string]*Server
	waves   map[uint64]*Wave
	// drainedZones maps each drained availability zone to the time of its drain.
	drainedZones map[string]time.Duration
	// speeds holds the observed speeds by SpeedKey. It does not enter the digest, because
	// replicas of an earlier build do not keep it.
	speeds             map[string]Speed
	digest             uint64
	invalidTransitions int

	// The fields below are derived from the records and are not part of a snapshot.
	readySteps    map[flow.StepID]*Step
	runsToStop    map[flow.TaskID]*HeldRun
	customerUsage map[string]capacity.Size
	pendingFlows  map[string]int
	openFlows     int
	openBytes     int64
}

// Flow is one accepted flow.
type Flow struct {
	ID       string
	Customer string
	// QueueName is the name of the flow's queue. QueueAtAcceptance is that queue's
	// configuration when the flow was accepted. It applies if the document in force no
	// longer has a queue of that name.
	QueueName         string
	QueueAtAcceptance *v1.Queue
	// Address is where the flow was accepted. It is zero for a flow that an earlier build has ended.
	Address Address
	Spec    *v1.FlowSpec
	// AcceptedAt and EndedAt are times on the ledger's clock.
	AcceptedAt time.Duration
	EndedAt    time.Duration
	State      v1.FlowState
	// NextTurn is the number of the next turn of a flow with scheduled repetitions.
	NextTurn uint32
	// Turns holds the turns in progress, by number.
	Turns map[uint32]*Turn
	// HeldRuns counts the flow's runs that servers may still hold.
	HeldRuns int
	// bytes is the flow's part of the ledger's openBytes.
	bytes int64
}

// Address is the address of a queue: its host and the prefix of its paths.
type Address struct{ Host, Path string }

// AddressOf returns the address of a queue.
func AddressOf(q *v1.Queue) Address { return Address{q.GetHost(), q.GetPath()} }

// Final reports whether the flow has reached a final state.
func (f *Flow) Final() bool { return f.State >= v1.FlowState_FLOW_STATE_DONE }

// Turn is one execution of all steps of a flow.
type Turn struct {
	Number uint32
	Steps  []*Step
	// unfinishedSteps counts the steps with at least one task that is not done.
	unfinishedSteps int
}

// Step is one step of a turn.
type Step struct {
	flow.StepID
	Flow  *Flow
	Spec  *v1.FlowStep
	Tasks []Task
	// UnfinishedDependencies counts the preceding steps that are not done.
	UnfinishedDependencies int
	// QueuedTasks, PlacedTasks and DoneTasks count the step's tasks by phase.
	QueuedTasks int
	PlacedTasks int
	DoneTasks   int
	// FailedRuns counts the failed runs of a gang. LastFailedRun is the number of the
	// last run counted, so that a run that fails on several members counts once.
	FailedRuns    uint32
	LastFailedRun uint32
	// FailedServers is the sum of the numbers of FailedServers of the tasks, and FailedTasks the
	// number of tasks that have any.
	FailedServers int
	FailedTasks   int
	// ReadyAt is the time at which the step could begin, on the ledger's clock.
	ReadyAt time.Duration
}

// Task is one task of a step.
type Task struct {
	Phase Phase
	// LatestRun is the number of the latest run. It is 0 before the first run.
	LatestRun uint32
	// FailedRuns counts the runs that ended as failed. FailedServers holds the servers of the
	// latest of them, each once. FailedAt is the time, on the ledger's clock, at which the latest
	// of them was placed, and FailedAfter the time from then to its end.
	FailedRuns    uint32
	FailedServers []string
	FailedAt      time.Duration
	FailedAfter   time.Duration
	// ConsecutiveCrashes counts the consecutive server crashes under the task.
	// BlamedCrashes counts those that the task may have caused.
	ConsecutiveCrashes uint32
	BlamedCrashes      uint32
	// Checkpoint is the point from which the next run continues. It is empty if the
	// next run starts from the beginning.
	Checkpoint string
	// Server and ServerStartedAtMs identify the server incarnation on which the latest
	// run was placed.
	Server            string
	ServerStartedAtMs int64
}

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// StartedAtMs is the start of this incarnation in milliseconds since 1970.
	StartedAtMs int64
	Address     string
	Zone        string
	Pool        string
	Machine     string
	Capacity    capacity.Size
	Labels      []string
	// ShuttingDown is true for a server in graceful shutdown, which gets no new work.
	ShuttingDown bool
	// SlowStartEndsAt is the time, on the ledger's clock, at which the server no longer
	// runs slowly after its start.
	SlowStartEndsAt time.Duration
	// LastReport is the number of the latest report that changed this record.
	LastReport uint64
	// Ended is true once this incarnation has ended.
	Ended bool
	// EndCursor is the number up to which the run ends listed by this incarnation are
	// recorded.
	EndCursor uint64
	// ConsecutiveFailures counts the failed runs of different flows since the latest
	// successful run. LastFailedFlow is the flow of the latest of them.
	ConsecutiveFailures uint32
	LastFailedFlow      string
	// ProvenAt is the time, on the ledger's clock, at which the latest successful run of this
	// incarnation was placed, or 0 if there is none. The time of its end would say less: a server
	// may fail what it starts while earlier runs go on.
	ProvenAt time.Duration
	// Used is the total size of the runs that are not proved to have ended.
	Used     capacity.Size
	HeldRuns map[flow.TaskID]*HeldRun
}

// HeldRun is a run that a server may still hold.
type HeldRun struct {
	flow.RunID
	Server   string
	Customer string
	Size     capacity.Size
	// PlacedAt is the time of the run's placement, on the ledger's clock.
	PlacedAt time.Duration
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		config: flow.NewConfig(nil), flows: map[string]*Flow{}, servers: map[string]*Server{}, waves: map[uint64]*Wave{}, drainedZones: map[string]time.Duration{}, speeds: map[string]Speed{},
		readySteps: map[flow.StepID]*Step{}, runsToStop: map[flow.TaskID]*HeldRun{}, customerUsage: map[string]capacity.Size{}, pendingFlows: map[string]int{},
	}
}

// Config returns the configuration in force.
func (l *Ledger) Config() *flow.Config { return l.config }

// Digest returns a hash over all applied commands. Replicas with equal state have equal
// digests.
func (l *Ledger) Digest() uint64 { return l.digest }

// InvalidTransitions returns the number of events that the state charts did not allow.
func (l *Ledger) InvalidTransitions() int { return l.invalidTransitions }

// Flow returns a flow by its id.
func (l *Ledger) Flow(id string) (*Flow, bool) {
	f, ok := l.flows[id]
	return f, ok
}

// Flows returns all flows by id. The caller must not change the map.
func (l *Ledger) Flows() map[string]*Flow { return l.flows }

// Server returns a server by its id.
func (l *Ledger) Server(id string) (*Server, bool) {
	s, ok := l.servers[id]
	return s, ok
}

// Servers returns all servers by id. The caller must not change the map.
func (l *Ledger) Servers() map[string]*Server { return l.servers }

// Step returns a step of a turn in progress.
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

// ReadySteps returns the steps with a task that may be placed now. The caller must not
// change the map.
func (l *Ledger) ReadySteps() map[flow.StepID]*Step { return l.readySteps }

// RunsToStop returns the runs that their servers have to stop. The caller must not
// change the map.
func (l *Ledger) RunsToStop() map[flow.TaskID]*HeldRun { return l.runsToStop }

// CustomerUsage returns the total size of a customer's runs that are not proved to have
// ended.
func (l *Ledger) CustomerUsage(customer string) capacity.Size { return l.customerUsage[customer] }

// PendingFlows returns the number of a queue's flows of which no task was ever placed.
func (l *Ledger) PendingFlows(queue string) int { return l.pendingFlows[queue] }

// OpenFlows returns the number of flows that have not ended.
func (l *Ledger) OpenFlows() int { return l.openFlows }

// OpenBytes returns the estimated memory of the flows that have not ended.
func (l *Ledger) OpenBytes() int64 { return l.openBytes }

// addBytes changes the estimated memory of a flow that has not ended.
func (l *Ledger) addBytes(f *Flow, n int64) {
	f.bytes += n
	l.openBytes += n
}

// QueueOf returns the configuration of a flow's queue from the document in force. If
// the queue was removed, its accepted flows keep the configuration of their acceptance.
func (l *Ledger) QueueOf(f *Flow) (*v1.Queue, bool) {
	if q, ok := l.config.Queue(f.QueueName); ok {
		return q, true
	}
	return f.QueueAtAcceptance, f.QueueAtAcceptance != nil
}

// CustomerLimit returns the maximum total size of a customer's runs. Resources without
// a limit are capacity.Unlimited.
func (l *Ledger) CustomerLimit(customer string) capacity.Size {
	zeroToUnlimited := func(n int64) int64 {
		if n == 0 {
			return capacity.Unlimited
		}
		return n
	}
	c, _ := l.config.Customer(customer)
	m := c.GetLimit()
	return capacity.Size{CPU: zeroToUnlimited(m.GetCpu()), Memory: zeroToUnlimited(m.GetMemory()), Accel: zeroToUnlimited(m.GetAccel()), Slots: capacity.Unlimited}
}

// Apply applies one command at the given time on the ledger's clock. A command that the
// state does not allow changes nothing and returns the reason.
func (l *Ledger) Apply(now time.Duration, c *record.Flow) *code.Error {
	if m := c.GetSpeeds(); m != nil {
		return l.recordSpeeds(m) // without a change of the digest
	}
	err := l.apply(now, c)
	if err == nil {
		l.addToDigest(uint64(now), uint64(len(l.flows)), uint64(len(l.readySteps)), uint64(l.openFlows))
	}
	return err
}

func (l *Ledger) apply(now time.Duration, c *record.Flow) *code.Error {
	switch w := c.GetWhat().(type) {
	case *record.Flow_Document:
		return l.applyDocument(w.Document)
	case *record.Flow_Accept:
		return l.acceptFlow(now, w.Accept)
	case *record.Flow_Cancel:
		return l.cancelFlow(now, w.Cancel)
	case *record.Flow_Server:
		return l.applyServerReport(now, w.Server)
	case *record.Flow_Clear:
		return l.clearServer(now, w.Clear)
	case *record.Flow_Start:
		return l.startRuns(now, w.Start)
	case *record.Flow_Ends:
		return l.recordEnds(now, w.Ends)
	case *record.Flow_Forget:
		return l.forgetRecords(w.Forget)
	case *record.Flow_Due:
		return l.beginDueTurn(now, w.Due)
	case *record.Flow_Wave:
		return l.addWave(now, w.Wave)
	case *record.Flow_Upkeep:
		return l.recordMaintenance(w.Upkeep)
	case *record.Flow_Zone:
		return l.setZoneDrain(now, w.Zone)
	}
	return code.New(code.Internal, "empty command")
}

// addToDigest folds numbers into the digest. The digest depends on every command
// applied, so the next comparison finds a replica that applied different commands.
func (l *Ledger) addToDigest(numbers ...uint64) {
	const prime = 0x9E3779B185EBCA87 // first prime constant of xxHash64
	for _, n := range numbers {
		l.digest = (l.digest ^ n) * prime
		l.digest ^= l.digest >> 29
	}
}

func (l *Ledger) addTextToDigest(s string) { l.addToDigest(xxhash.Sum64String(s)) }

// applyDocument puts a newer document in force. A document whose version is not higher
// changes nothing and is not an error, so a resend is harmless.
func (l *Ledger) applyDocument(d *v1.Document) *code.Error {
	if err := flow.CheckDocument(d); err != nil {
		return err
	}
	if d.GetVersion() <= l.config.GetVersion() {
		return nil
	}
	l.config = flow.NewConfig(d)
	l.addToDigest(d.GetVersion())
	return nil
}

// updateReadySteps adds a step to the steps ready for placement or removes it.
func (l *Ledger) updateReadySteps(s *Step) {
	if s.UnfinishedDependencies == 0 && s.QueuedTasks > 0 && !s.Flow.Final() && !(s.Spec.GetGang() && s.QueuedTasks < len(s.Tasks)) {
		l.readySteps[s.StepID] = s
		return
	}
	delete(l.readySteps, s.StepID)
}

// runsUntilCancelled reports whether the step's tasks run until their flow is
// cancelled.
func (s *Step) runsUntilCancelled() bool { return s.Spec.GetLasting() }
