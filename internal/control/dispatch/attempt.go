package dispatch

import (
	"maps"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/attempts"
	"gypsumreel/internal/policy/rack"
	"gypsumreel/internal/policy/steps"
)

// attemptWait is the wait of a step for a proven server.
type attemptWait struct {
	// since is when the wait began, on the leader's clock.
	since time.Duration
	// logged is true once the wait was logged.
	logged bool
}

// attemptWaits holds the steps at their last attempt that are queued. A new leader lets them
// wait anew, which their slack limits.
type attemptWaits map[flow.StepID]*attemptWait

// rackPositions holds the position of the rack in the labels of servers, by pool, as of the
// plan with the given number.
type rackPositions struct {
	planCount int
	byPool    map[string]int
}

// addAttempts adds to an item what is known of the failed runs of its step.
func (d *Dispatcher) addAttempts(item *steps.Item) {
	s := item.Step
	if !d.Options.ProvenAttempts || s.Spec.GetLasting() {
		return
	}
	if s.FailedServers > 0 {
		d.addFailedServers(item)
	}
	item.MaxAttempts = d.Host.Flows().MaxAttempts(s.Flow)
	if item.LastAttempt = isLastAttempt(s, item.MaxAttempts); !item.LastAttempt {
		return
	}
	item.ProofPeriod = attempts.ProofPeriod(item.ExpectedRuntime)
	d.addLatestFailure(item)
	if s.FailedServers > 0 {
		d.awaitProven(item)
	}
}

// addLatestFailure adds when the latest failed run of a queued task was placed, and how long a
// later run has to go on to prove its server.
func (d *Dispatcher) addLatestFailure(item *steps.Item) {
	lasted := time.Duration(0)
	for _, t := range item.Tasks {
		if t.Phase == flows.Queued && t.FailedAt >= item.FailedAt {
			item.FailedAt, lasted = t.FailedAt, max(lasted, t.FailedAfter)
		}
	}
	item.OutlastTime = attempts.OutlastTime(lasted, item.ExpectedRuntime)
	item.AwaitsLaterProof = attempts.AwaitsLaterProof(d.Host.LedgerTime()-item.FailedAt, lasted, item.ExpectedRuntime)
}

// isLastAttempt reports whether one more failed run of a queued task fails the flow.
func isLastAttempt(s *flows.Step, maxAttempts uint32) bool {
	if s.Spec.GetGang() || maxAttempts <= 1 || s.FailedServers == 0 {
		return s.FailedRuns+1 >= maxAttempts
	}
	for _, t := range s.Tasks {
		if t.Phase == flows.Queued && t.FailedRuns+1 >= maxAttempts {
			return true
		}
	}
	return false
}

// failedPlaces holds the servers and the racks in which a task of a step failed, as collected
// when the ledger had recorded the step's failures on recordedCount servers and this leader
// avoided avoidedCount servers for it. It is valid while these counts have not changed.
type failedPlaces struct {
	recordedCount, avoidedCount int
	servers, racks              map[string]bool
}

// addFailedServers adds the servers and the racks in which a task of the step failed. They are
// collected once for each failure, since every plan needs them.
func (d *Dispatcher) addFailedServers(item *steps.Item) {
	places := d.leader.failedPlaces[item.StepID]
	if places == nil || places.recordedCount != item.FailedServers || places.avoidedCount != len(item.FailedOn) {
		places = d.collectFailedPlaces(item)
		d.leader.failedPlaces[item.StepID] = places
	}
	item.FailedOn, item.FailedRacks = places.servers, places.racks
}

// collectFailedPlaces collects the places from the ledger and from what this leader avoids.
func (d *Dispatcher) collectFailedPlaces(item *steps.Item) *failedPlaces {
	places := &failedPlaces{recordedCount: item.FailedServers, avoidedCount: len(item.FailedOn), servers: map[string]bool{}, racks: map[string]bool{}}
	for id := range item.FailedOn { // the servers that this leader avoids, also those of moved runs
		places.servers[id] = true
	}
	for _, t := range item.Tasks {
		for _, id := range t.FailedServers {
			places.servers[id] = true
			if b, ok := d.Host.Flows().Server(id); ok {
				places.racks[d.rackOf(b)] = true
			}
		}
	}
	return places
}

// rackOf returns the rack of a server. It iterates over the servers of a pool once in a plan.
func (d *Dispatcher) rackOf(b *flows.Server) string {
	positions := &d.leader.rackPositions
	if positions.byPool == nil || positions.planCount != d.leader.planCount {
		positions.planCount, positions.byPool = d.leader.planCount, map[string]int{}
	}
	position, known := positions.byPool[b.Pool]
	if !known {
		position = rack.Position(func(yield func([]string) bool) {
			for _, other := range d.Host.Flows().Servers() {
				if other.Pool == b.Pool && !yield(other.Labels) {
					return
				}
			}
		})
		positions.byPool[b.Pool] = position
	}
	return rack.At(b.Labels, position)
}

// awaitProven decides whether a step at its last attempt waits for a proven server, and logs
// the first plan after which it still waits.
func (d *Dispatcher) awaitProven(item *steps.Item) {
	wait, known := d.leader.attemptWaits[item.StepID]
	if !known {
		wait = &attemptWait{since: d.leader.plannedAt}
		d.leader.attemptWaits[item.StepID] = wait
	}
	state := attempts.Wait{Waited: d.leader.plannedAt - wait.since, Slack: item.Slack, Runtime: item.ExpectedRuntime, RunsExpected: d.poolIsInUse(item.Pool)}
	item.AwaitsProven = state.Continues()
	if item.AwaitsProven && known && !wait.logged {
		wait.logged = true
		event.Log(d.Log, event.LastAttemptWaits, "flow", item.Flow.ID, "step", item.StepID.String(), "queue", item.Flow.QueueName, "attempts", item.MaxAttempts, "failedOn", len(item.FailedOn), "slack", item.Slack.String(), "term", d.leader.term)
	}
}

// poolIsInUse reports whether a run is in progress on a server of the pool.
func (d *Dispatcher) poolIsInUse(pool string) bool {
	for _, s := range d.leader.sortedSessions {
		if len(s.runs) == 0 {
			continue
		}
		if b, ok := d.Host.Flows().Server(s.id); ok && b.Pool == pool {
			return true
		}
	}
	return false
}

// addEvidence adds to a server of a plan what the ends of its runs tell about it. It returns
// false if the server takes no task because a run that probes it is in progress.
func (d *Dispatcher) addEvidence(server *steps.Server, s *session, clock time.Duration) bool {
	if !d.Options.ProvenAttempts {
		return true
	}
	evidence := attempts.Evidence{Failures: server.ConsecutiveFailures, SinceSuccess: clock - server.ProvenAt, Succeeded: server.ProvenAt > 0}
	server.Proven, server.SinceSuccess, server.Probing = evidence.Proven(attempts.MaxProofPeriod), evidence.SinceSuccess, evidence.Probing()
	return !server.Probing || !d.isProbed(s, d.leader.plannedAt)
}

// isProbed reports whether a run is in progress that was placed on the server after its latest
// failure, ends by itself and has not outlasted the failed run. Earlier runs may take long, and
// their room is not lost meanwhile.
func (d *Dispatcher) isProbed(s *session, now time.Duration) bool {
	for _, r := range s.runs {
		step, ok := d.Host.Flows().Step(r.StepID)
		lasts := ok && step.Spec.GetLasting()
		if r.placedAt > s.lastFailureAt && !lasts && now-r.placedAt < attempts.ProbeTime(s.lastFailureTook) {
			return true
		}
	}
	return false
}

// lastAttemptServer is the kind of server on which a run was placed as the last attempt of its
// task.
type lastAttemptServer string

// Kinds of servers of last attempts. The empty value is a run that is not a last attempt, or
// that another leader placed.
const (
	onProvenServer lastAttemptServer = "proven"
	onOtherServer  lastAttemptServer = "other"
)

// lastAttemptOf returns on which kind of server the run of a placement is a last attempt.
func lastAttemptOf(placement steps.Placement, place steps.Assignment, servers []steps.Server) lastAttemptServer {
	if !placement.Item.IsLastAttempt(place.Index) {
		return ""
	}
	for _, s := range servers {
		if s.ID == place.Server && placement.Item.Proves(s) {
			return onProvenServer
		}
	}
	return onOtherServer
}

// markLastAttempts marks the runs of a placement that are last attempts, counts and logs them.
func (d *Dispatcher) markLastAttempts(placement steps.Placement, runs []*run, now time.Duration) {
	if !placement.Item.LastAttempt {
		return
	}
	counts := map[lastAttemptServer]int{}
	for i, place := range placement.Assignments {
		runs[i].lastAttempt = lastAttemptOf(placement, place, d.leader.planView.Servers)
		if runs[i].lastAttempt != "" {
			counts[runs[i].lastAttempt]++
			d.flowMetrics.incrementCounter("last_attempts_total", serverLabel(runs[i].lastAttempt))
		}
	}
	wait := d.leader.attemptWaits[placement.Item.StepID]
	if len(counts) == 0 || wait == nil {
		return
	}
	delete(d.leader.attemptWaits, placement.Item.StepID)
	id, queue, waited := placement.Item.StepID, placement.Item.Flow.QueueName, now-wait.since
	d.Host.AfterCommit(func() {
		event.Log(d.Log, event.LastAttemptPlaced, "flow", id.Flow, "step", id.String(), "queue", queue, "proven", counts[onProvenServer], "other", counts[onOtherServer], "waited", waited.String(), "term", d.leader.term)
	})
}

// countLastAttemptEnd counts the end of a run that was a last attempt.
func (d *Dispatcher) countLastAttemptEnd(r *run, end inner.RunEnd) {
	if r.lastAttempt != "" {
		d.flowMetrics.incrementCounter("last_attempt_ends_total", serverLabel(r.lastAttempt), meter.Label{Name: "how", Value: end.String()})
	}
}

// serverLabel returns the metric label for a kind of server.
func serverLabel(kind lastAttemptServer) meter.Label {
	return meter.Label{Name: "server", Value: string(kind)}
}

// removeAttemptState removes what is kept of steps that have ended or are no longer queued.
func (d *Dispatcher) removeAttemptState() {
	ready := d.Host.Flows().ReadySteps()
	isReady := func(id flow.StepID) bool { _, ok := ready[id]; return ok }
	maps.DeleteFunc(d.leader.failedPlaces, func(id flow.StepID, _ *failedPlaces) bool { return !isReady(id) })
	maps.DeleteFunc(d.leader.attemptWaits, func(id flow.StepID, _ *attemptWait) bool { return !isReady(id) })
}
