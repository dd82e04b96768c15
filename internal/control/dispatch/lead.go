package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/recovery"
	"gypsumreel/internal/policy/shortlease"
	"gypsumreel/internal/policy/steps"
	"gypsumreel/internal/policy/watchdog"
)

// leaderState is the state that exists only while this replica leads.
type leaderState struct {
	term      uint64
	electedAt time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	callPool  *callPool

	sessions map[string]*session
	// sessionsClosedAt holds when the latest session of a server was closed, by id. hasPredecessor
	// reports whether an earlier leader had servers.
	sessionsClosedAt map[string]time.Duration
	hasPredecessor   bool
	// fences is the number of fencing tokens given in this term.
	fences uint64
	// sortedSessions holds the sessions ordered by server id. Each plan iterates over all
	// of them.
	sortedSessions []*session
	// tickSessions is the reused copy of sortedSessions over which a tick iterates.
	tickSessions []*session
	// firstHoldQueue holds the servers that have not been asked for their runs yet.
	firstHoldQueue recovery.Queue[*session]
	// relayedSessions is the number of sessions whose calls go through a helper.
	relayedSessions int
	held            heldState
	adviceByStep    map[flow.StepID]*stepAdvice
	// pendingQuestions holds the questions of the latest plan that found no free helper,
	// the most urgent first.
	pendingQuestions []steps.Question
	// permitShares is, by queue, the average share of servers that the adviser permits.
	permitShares   map[string]float64
	recurringFlows map[string]bool
	// urgentDemand is the recent demand of urgent tasks, by pool.
	urgentDemand map[string]*startDemand
	// urgentServers holds, by pool, the servers on which urgent tasks are concentrated.
	urgentServers map[string]*shortlease.Selection
	// urgentRanks caches which ranks are urgent according to ranksConfig.
	ranksConfig  *flow.Config
	urgentRanks  map[queueRank]bool
	surplusFlows map[string]bool
	// begunFlows holds the open flows of which a server has confirmed or listed a run to this leader,
	// and placedPending, by queue, the number of those with placed tasks and no such run.
	begunFlows    map[string]bool
	placedPending map[string]int
	// rateBuckets measures, by customer, the use of the guaranteed rate while customers do not
	// compete.
	rateBuckets map[string]*rateBucket
	// serverSpeeds holds, by server, the speeds that count where machineSpeeds does not.
	serverSpeeds map[string]*serverSpeed
	// runtimeRatio is the average ratio of actual to declared runtimes over all servers.
	runtimeRatio float64
	// machineSpeeds is nil unless the options ask for it.
	machineSpeeds *machineSpeeds
	stepTimes     map[flow.StepID]steps.Timing
	// contended reports whether the customers compete for too little room, according to
	// contentionRatio: the sum of their CPU limits relative to the CPU of the servers.
	contended       bool
	contentionRatio float64
	admission       admissionState
	load            loadState
	// deferrableSteps is the number of ready steps at the last plan that get only what others
	// leave.
	deferrableSteps int
	// avoidedServers holds, by step, the servers on which a task of the step failed.
	avoidedServers map[flow.StepID]map[string]bool
	attemptWaits   attemptWaits
	// restarts holds, by step, the pauses between the runs of lasting tasks that fail at once.
	restarts      map[flow.StepID]*watchdog.Restarts
	failedPlaces  map[flow.StepID]*failedPlaces
	rackPositions rackPositions
	// pendingRequests holds the requests that wait for a commit or a proof of leadership.
	// Each function is called if this replica is deposed first.
	pendingRequests map[uint64]func()
	lastRequestID   uint64

	// nextForMaintenance holds the servers whose machines are next for maintenance. They
	// get no new tasks. maintenanceRetryAt holds, by machine name, the time at which an
	// unanswered maintenance order is sent again.
	nextForMaintenance map[string]bool
	// maintenanceConfirmedAt holds when the platform confirmed to this leader that a maintenance
	// has begun.
	maintenanceConfirmedAt map[maintenanceID]time.Duration
	// drainedZones holds the drained zones as of the last check.
	drainedZones       map[string]time.Duration
	maintenanceRetryAt map[string]time.Duration
	machineCheck       machineCheck
	wavesCheckedAt     time.Duration
	zonesCheckedAt     time.Duration

	// pendingStops holds the runs whose stop is repeated until it is answered.
	pendingStops map[*run]*session
	// usualLatency is the moving average of the latency of orders.
	usualLatency time.Duration

	// plannedAt is the time of the last plan, planCount the number of plans in this term.
	plannedAt  time.Duration
	planCount  int
	planPacer  steps.Pacer
	planView   steps.View
	planNeeded bool
	// clockSkewed reports whether this machine's wall clock differs from the agreed time.
	clockSkewed         bool
	sweptAt             time.Duration
	membershipCheckedAt time.Duration
}
