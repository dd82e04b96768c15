package quorum

import (
	"math"
	"time"
)

// Parameters of the timeout estimator.
const (
	// silenceFactor is the ratio of the election timeout to the longest recent silence of a
	// leader.
	silenceFactor = 2
	// startSilenceDivisor divides MaxElectionTimeout to give the longest silence that a
	// replica assumes when it starts.
	startSilenceDivisor = 4
	// silenceDecayTime is the time in which a recorded silence loses two thirds of its
	// weight.
	silenceDecayTime = 10 * time.Second
	// stableLeadershipTime is how long a leader must lead without interruption to reset the
	// count of consecutive leader changes.
	stableLeadershipTime = 5 * time.Second
	// maxTimeoutFactor limits the timeout during an election storm, as a multiple of
	// MaxElectionTimeout. A takeover can cause more work than MaxElectionTimeout allows for.
	maxTimeoutFactor = 4
	// changesBeforeStorm is the number of consecutive leader changes that do not yet count
	// as an election storm, because several replicas can fail one after the other.
	changesBeforeStorm = 3
	// maxCountedChanges limits the count of consecutive leader changes.
	maxCountedChanges = 16
)

// timeoutEstimator adapts the election timeout to the load. An overloaded leader that is
// deposed passes its load to the next leader, in addition to the work of the takeover. A
// timeout that is too short for the load therefore causes an election storm. The timeout
// follows the recent silences of leaders, and doubles with each leader change that comes
// soon after the previous one.
type timeoutEstimator struct {
	// longestSilence is the longest recent silence of a leader, decayed up to
	// silenceRecordedAt.
	longestSilence    time.Duration
	silenceRecordedAt time.Duration
	// leaderChanges counts consecutive leader changes. lastChangeAt is the time of the last
	// one.
	leaderChanges int
	lastChangeAt  time.Duration
}

// recordSilence records the time between two messages of a leader.
func (e *timeoutEstimator) recordSilence(silence, now time.Duration) {
	e.longestSilence, e.silenceRecordedAt = max(silence, e.decayedSilence(now)), now
}

// decayedSilence returns the longest recent silence, reduced exponentially by its age.
func (e *timeoutEstimator) decayedSilence(now time.Duration) time.Duration {
	return time.Duration(float64(e.longestSilence) * math.Exp(-float64(now-e.silenceRecordedAt)/float64(silenceDecayTime)))
}

// recordLeaderChange counts an unplanned leader change or an attempt at one.
func (e *timeoutEstimator) recordLeaderChange(now time.Duration) {
	if e.lastChangeAt > 0 && now-e.lastChangeAt < stableLeadershipTime {
		e.leaderChanges = min(e.leaderChanges+1, maxCountedChanges)
	} else {
		e.leaderChanges = 0
	}
	e.lastChangeAt = now
}

// voteTimeout returns the time after which a candidate retries, between minTimeout and maxTimeout.
func (e *timeoutEstimator) voteTimeout(minTimeout, maxTimeout time.Duration) time.Duration {
	return min(minTimeout<<max(e.leaderChanges-changesBeforeStorm, 0), max(minTimeout, maxTimeout))
}

// timeout returns the election timeout, between minTimeout and maxTimeout. It exceeds
// maxTimeout only during an election storm. If both bounds are equal, the timeout is
// fixed.
func (e *timeoutEstimator) timeout(minTimeout, maxTimeout, now time.Duration) time.Duration {
	if maxTimeout <= minTimeout {
		return minTimeout
	}
	timeout := max(minTimeout, silenceFactor*e.decayedSilence(now))
	if now-e.lastChangeAt >= stableLeadershipTime {
		return min(timeout, maxTimeout)
	}
	timeout = min(timeout<<min(e.leaderChanges, changesBeforeStorm), maxTimeout)
	return min(timeout<<max(e.leaderChanges-changesBeforeStorm, 0), maxTimeoutFactor*maxTimeout)
}
