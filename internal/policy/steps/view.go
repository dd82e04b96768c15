package steps

import (
	"iter"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/speed"
)

// Item is a step with queued tasks that can be placed now.
type Item struct {
	*flows.Step
	// Pool is the server pool that the queue of the flow uses.
	Pool string
	// Priority is the priority of the queue. 0 is the highest.
	Priority uint32
	// Slack is the time that the step can still wait without missing the objective of its flow.
	// It is negative when the flow will be late.
	Slack time.Duration
	// Late is true when the flow can no longer end within its objective. Worthless is true when
	// the end of the flow has no value to its caller any more.
	Late      bool
	Worthless bool
	// Urgent is true when no queue of the same pool has a higher priority.
	Urgent bool
	// ExpectedRuntime is the expected run time of one task.
	ExpectedRuntime time.Duration
	// Demand tells which speeds suit the step. It is zero while speeds are not uneven.
	Demand speed.Step
	// QuestionSize is the number of servers in a question about the step when the step does not
	// need more.
	QuestionSize int
	// Surplus is true when the flow is beyond the guaranteed rate of its customer.
	Surplus bool
	// Overdue is true when the flow can probably not end within its objective while customers
	// compete. Unlike Late it also covers urgent items.
	Overdue bool
	// AtRisk is true when the flow has spent so much of its slack that it needs the floor of its
	// queue to end in time.
	AtRisk bool
	// Begun is true when a task of the flow has started.
	Begun bool
	// CustomerUse is the CPU that the runs of the flow's customer hold, divided by the guaranteed
	// rate of the customer, relative to the average of all customers.
	CustomerUse float64
	// BelowFloor is true when the queue uses less of a contended pool than its floor and the
	// item has a part of what it lacks.
	BelowFloor bool
	// Starved is true when room is short, nothing of the queue runs, and the item is the first of
	// its queue.
	Starved bool
	// LastAttempt is true when one more failed run of a queued task fails the flow. Such a
	// step is placed on proven servers.
	LastAttempt bool
	// MaxAttempts is the number of failed runs of a task that fails the flow.
	MaxAttempts uint32
	// AwaitsProven is true while a step at its last attempt waits for proven servers. ProofPeriod
	// is the time for which a successful run proves a server to the step.
	AwaitsProven bool
	ProofPeriod  time.Duration
	// FailedAt is the time, on the ledger's clock, at which the latest failed run of a queued task
	// was placed. A run placed before it proves little: the servers that fail may have begun to
	// since. A run that was placed later and goes on for OutlastTime proves its server as well as
	// one that ended. AwaitsLaterProof is true while such runs are expected.
	FailedAt         time.Duration
	OutlastTime      time.Duration
	AwaitsLaterProof bool
	// FailedRacks holds the racks in which a task of the step failed.
	FailedRacks map[string]bool
	// FailedOn holds the servers on which a task of the step failed. They are used last.
	FailedOn map[string]bool
	// NeedsPermit is true when only servers with a permit from the adviser may run the step.
	// AdviserAsked is true when the adviser was asked about some servers.
	NeedsPermit  bool
	AdviserAsked bool
}

// Server is a backend server that accepts new tasks.
type Server struct {
	*flows.Server
	// Speed is the speed relative to the other servers; 1 is the average.
	Speed float64
	// InSlowStart is true while the server is slow because it has just started.
	InSlowStart bool
	// RecentlyStarted is true just after a start of the server, when it may crash again without
	// a fault of its tasks.
	RecentlyStarted bool
	// OnProbation is true while a task that is suspected of crashing servers starts there.
	// Nothing else is placed on the server during that time.
	OnProbation bool
	// QuietIn is the time until no run on the server may still crash it by its start; 0 if none
	// may now. A suspect task that started meanwhile would be blamed for the other.
	QuietIn time.Duration
	// Proven is true when a run recently ended successfully on the server and none has failed
	// there since. SinceSuccess is the time since the start of that run.
	Proven       bool
	SinceSuccess time.Duration
	// Probing is true when the latest runs on the server failed. It takes one task at a time, of
	// work with attempts left.
	Probing bool
	// ShortLease is true when the server is set aside for urgent work and has a short lease.
	ShortLease bool
}

// Permission is the known answer of the adviser for one step on one server.
type Permission uint8

// Values of Permission.
const (
	// NotAsked means that the adviser was not asked yet.
	NotAsked Permission = iota
	// Denied means that the step may never run on the server.
	Denied
	// Stale means that the step may run on the server but needs a new permit.
	Stale
	// Granted means that there is a permit that is valid for long enough.
	Granted
)

// View is the input of a plan.
type View struct {
	Items   []Item
	Servers []Server
	// Contended is true when customers compete for too little room. Uneven is true when the
	// speeds of the servers differ so much that they decide where work goes.
	Contended bool
	Uneven    bool
	// MaxQuestions limits the questions of a plan while customers compete: no more can be sent
	// before the next plan. 0 means no limit.
	MaxQuestions int
	// RemainingLimit returns the size of the tasks that a customer may still start.
	RemainingLimit func(customer string) capacity.Size
	// Permissions iterates over the servers with a known permission for a step that needs
	// permits. All other servers are NotAsked.
	Permissions func(id flow.StepID) iter.Seq2[string, Permission]
	// AllowedShare returns the share of servers on which the adviser allows steps of the queue
	// of the item. It is nil while no share is known.
	AllowedShare func(item Item) float64
	// Headroom returns the room in a pool that work which is not urgent leaves free. It is nil
	// if no headroom is kept.
	Headroom func(pool string) Headroom
	// Releases returns the room that a server is expected to release, and when. It is nil while
	// nothing is known.
	Releases func(server string) []Release
	// BeginItem is called before each item is placed. It may be nil.
	BeginItem func(id flow.StepID)
	// Yield is called at intervals during planning so that other work can run. It may be nil.
	Yield func()
}

// Release is room that becomes free on a server when a run is expected to end.
type Release struct {
	After time.Duration
	Size  capacity.Size
}

// Assignment is a task and the server on which it starts.
type Assignment struct {
	flow.TaskID
	Server string
}

// Placement holds the tasks of one step that start together. A gang is always complete.
type Placement struct {
	Item        Item
	Assignments []Assignment
}

// Size returns the total size of the tasks in the placement.
func (p Placement) Size() capacity.Size {
	return flow.TaskSize(p.Item.Spec).Times(int64(len(p.Assignments)))
}

// Question asks the adviser for permits of one step. The most useful servers come first.
type Question struct {
	Item    Item
	Servers []string
}

// Plan holds the tasks to start and the questions to send.
type Plan struct {
	Placements []Placement
	Questions  []Question
	// GivenUp holds the steps that were left out because the work for them went beyond all
	// bounds.
	GivenUp []GivenUp
}
