// Package attempts decides where a task with one attempt left may run: which servers have proved
// themselves, which racks are left out, and how long the task waits. It has no side effects.
package attempts

import "time"

// Parameters of the evidence about servers.
const (
	// proofRuntimes is the time from the start of a successful run for which the run proves its
	// server, in run times: the run itself, and about as long until the next one ends.
	proofRuntimes = 2
	// minProofPeriod and MaxProofPeriod are the bounds of that time. Within a second few servers
	// of a pool end a run. Servers that fail their runs while their health is good do so for
	// seconds, so an older start says little.
	minProofPeriod = 2 * time.Second
	MaxProofPeriod = 10 * time.Second
	// outlastShare is the part of a run time by which a run has to outlast a failed one to prove
	// its server.
	outlastShare = 0.2
	// minWait and maxWait are the bounds of the longest wait for a proven server. Within a run
	// time most servers in use end a run.
	minWait = time.Second
	maxWait = 5 * time.Second
	// probeFailures is the number of failures in a row, of different flows, after which a server
	// takes one task at a time. Tasks also fail by their own fault, but two such tasks rarely
	// end one after the other on one server.
	probeFailures = 2
)

// ProofPeriod returns the time from its start for which a successful run proves a server to a
// task with the given run time. A server in use starts and ends a run in about that time.
func ProofPeriod(runtime time.Duration) time.Duration {
	return min(max(proofRuntimes*runtime, minProofPeriod), MaxProofPeriod)
}

// OutlastTime returns for how long a run has to go on to prove its server to a task whose failed
// run lasted for the given time. Servers that fail their runs do so after similar times.
func OutlastTime(lasted, runtime time.Duration) time.Duration {
	return lasted + time.Duration(outlastShare*float64(runtime))
}

// AwaitsLaterProof reports whether runs that were placed after a failed run may still prove their
// servers. sincePlaced is the time since the failed run was placed.
func AwaitsLaterProof(sincePlaced, lasted, runtime time.Duration) bool {
	return sincePlaced < OutlastTime(lasted, 2*runtime)
}

// ProbeTime returns for how long a server takes no other task beside the one that probes it, if that
// one neither ends nor fails. lasted is the time that the latest failed run took.
func ProbeTime(lasted time.Duration) time.Duration {
	return min(lasted+minProofPeriod, MaxProofPeriod)
}

// Evidence is what the ends of runs tell about a server.
type Evidence struct {
	// Failures is the number of failures of different flows since the latest success.
	Failures uint32
	// SinceSuccess is the time since the start of the latest successful run. Succeeded is false
	// when there is none.
	SinceSuccess time.Duration
	Succeeded    bool
}

// Proven reports whether a run that started within the period ended successfully on the server
// and none has failed there since.
func (e Evidence) Proven(period time.Duration) bool {
	return e.Succeeded && e.Failures == 0 && e.SinceSuccess <= period
}

// Probing reports whether the server takes one task at a time, of work with attempts left,
// until a run ends successfully there.
func (e Evidence) Probing() bool { return e.Failures >= probeFailures }

// Wait is the state of a step that waits for a proven server.
type Wait struct {
	// Waited is the time since the step began to wait, Slack the time that it can still wait
	// without being late.
	Waited, Slack time.Duration
	// Runtime is the expected run time of a task.
	Runtime time.Duration
	// RunsExpected is true when runs of the pool are in progress whose success would prove a
	// server.
	RunsExpected bool
}

// Continues reports whether the step waits longer. It stops waiting, and may start on any server,
// when more waiting makes it late, when no run in progress can prove a server, or when the servers
// in use had the time to end a run and there is still no room on a proven one.
func (w Wait) Continues() bool {
	return w.RunsExpected && w.Slack > 0 && w.Waited < min(max(w.Runtime, minWait), maxWait)
}
