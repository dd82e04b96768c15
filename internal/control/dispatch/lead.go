package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/brief"
	"gypsumreel/internal/policy/intake"
	"gypsumreel/internal/policy/steps"
)

// leaderState is what is kept only while this replica leads.
type leaderState struct {
	term      uint64
	electedAt time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	callPool  *callPool

	sessions map[string]*session
	// sortedSessions are the sessions by id: a plan goes over all of them.
	sortedSessions []*session
	// tickSessions is the room for going over all of them.
	tickSessions []*session
	// firstHoldQueue are the servers that were not asked yet what they hold.
	firstHoldQueue intake.Queue[*session]
	// relayedSessions counts the sessions whose calls go through a helper.
	relayedSessions int
	adviceByStep    map[flow.StepID]*stepAdvice
	// pendingQuestions are the questions of the latest plan that found no helper, the most
	// pressing first.
	pendingQuestions []steps.Want
	// permitShares is the part of the servers asked about that may run a step, by queue.
	permitShares   map[string]float64
	recurringFlows map[string]bool
	// urgentDemand is what urgent work starts, by pool.
	urgentDemand map[string]*startDemand
	// urgentServers are the servers on which urgent work is gathered, by pool.
	urgentServers map[string]*brief.Choice
	// ranks tells which places are urgent by the configuration ranked.
	ranksConfig  *flow.Config
	urgentRanks  map[queueRank]bool
	rateBuckets  map[string]*rateBucket
	surplusFlows map[string]bool
	serverSpeeds map[string]*serverSpeed
	// runtimeRatio is how long runs take beside what was declared, on the whole.
	runtimeRatio float64
	stepTimes    map[flow.StepID]steps.Times
	// avoidedServers are the servers on which a task of a step failed.
	avoidedServers map[flow.StepID]map[string]bool
	// pendingRequests are the requests that wait for a commit or a proof; each is told
	// when this replica is deposed before.
	pendingRequests map[uint64]func()
	lastRequestID   uint64

	// drainingForUpkeep are the servers that are to run empty for an upkeep, ordered is
	// until when the last order about a machine is waited for.
	drainingForUpkeep map[string]bool
	// drainedZones are the drained zones as the latest look found them.
	drainedZones   map[string]time.Duration
	upkeepRetryAt  map[string]time.Duration
	wavesCheckedAt time.Duration
	zonesCheckedAt time.Duration

	// pendingStops are the runs whose stop is asked again until it is answered.
	pendingStops map[*run]*session
	// usualLatency is how long answers to orders usually take.
	usualLatency time.Duration

	// plannedAt is when the last plan was made, plans counts them.
	plannedAt  time.Duration
	planCount  int
	planPacer  steps.Pacer
	planner    steps.Planner
	planView   steps.View
	planNeeded bool
	// clockSkewed tells that this machine's time of day is off.
	clockSkewed         bool
	sweptAt             time.Duration
	membershipCheckedAt time.Duration
}
