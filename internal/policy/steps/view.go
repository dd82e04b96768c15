package steps

import (
	"iter"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// Item is a step with tasks that may be placed now.
type Item struct {
	*flows.Step
	// Pool is where its queue sends it.
	Pool string
	// Priority is its queue's; 0 comes first.
	Priority uint32
	// Slack is the time that is left for waiting if the flow is to end in time;
	// negative when it will be late.
	Slack time.Duration
	// Late tells that the flow cannot end in time any more, and Hopeless that
	// its end is worth nothing more to its caller.
	Late      bool
	Worthless bool
	// Urgent tells that no queue of its pool comes before its own.
	Urgent bool
	// ExpectedRuntime is how long a task of it should run.
	ExpectedRuntime time.Duration
	// QuestionSize is how many servers a question about it names where no more are needed.
	QuestionSize int
	// OverShare tells that the customer sent it beyond what it can count on.
	OverShare bool
	// FailedOn are servers on which a task of the step failed; they come last.
	FailedOn map[string]bool
	// NeedsPermit tells that only servers with the adviser's permit may run it, and
	// Asked that the adviser was asked about some of them.
	NeedsPermit  bool
	AdviserAsked bool
}

// Server is a backend server that takes work now.
type Server struct {
	*flows.Server
	// Speed is how fast it works beside the others; 1 is the usual.
	Speed float64
	// Cold tells that it is still slow after its start.
	Cold bool
	// RecentlyStarted tells that its life began moments ago: it may crash again by itself.
	RecentlyStarted bool
	// OnProbation tells that a task has just begun there that may crash it: nothing else is
	// placed there meanwhile.
	OnProbation bool
	// ShortLease tells that urgent work is gathered there, where leases stay short.
	ShortLease bool
}

// Permission is what is known of one step on one server.
type Permission uint8

// The permissions.
const (
	// NotAsked means that the adviser was not asked yet.
	NotAsked Permission = iota
	// Denied means that the step may never run there.
	Denied
	// Stale means that it may, with a permit that has to be asked for anew.
	Stale
	// Granted means that a permit is at hand that holds long enough.
	Granted
)

// View is the picture that a plan is made of.
type View struct {
	Items   []Item
	Servers []Server
	// RemainingLimit is what a customer may still start.
	RemainingLimit func(customer string) capacity.Size
	// Permissions goes over the servers of which something is known for a step that needs
	// permits; the others are Unasked.
	Permissions func(id flow.StepID) iter.Seq2[string, Permission]
	// AllowedShare is the part of the servers asked about that the adviser lets run a
	// step of the item's queue; nil while nothing is known.
	AllowedShare func(it Item) float64
	// Headroom is what work that is not urgent leaves free in a pool; nil for nothing.
	Headroom func(pool string) Headroom
	// Releases tells what a server will have free again, and when; nil while
	// nothing is known.
	Releases func(server string) []Release
	// Yield is called now and then while a plan is made; nil for never.
	Yield func()
}

// Release is room that a server has again when a run should have ended.
type Release struct {
	After time.Duration
	Size  capacity.Size
}

// Assignment is one task and where it starts.
type Assignment struct {
	flow.TaskID
	Server string
}

// Placement is what is started at once of one step; a gang's is whole.
type Placement struct {
	Item        Item
	Assignments []Assignment
}

// Size returns what the placement takes.
func (p Placement) Size() capacity.Size {
	return flow.SizeOf(p.Item.Spec).Times(int64(len(p.Assignments)))
}

// Question is a question to the adviser, the most useful servers first.
type Question struct {
	Item    Item
	Servers []string
}

// Plan is what is decided.
type Plan struct {
	Placements []Placement
	Questions  []Question
}
