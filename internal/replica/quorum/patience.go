package quorum

import (
	"math"
	"time"
)

// Bounds of patience.
const (
	// silenceFactor is how many times as long as its longest silence of late a leader
	// may be silent.
	silenceFactor = 2
	// startSilenceDivisor is the part of the longest timeout that counts as the longest silence
	// at a start.
	startSilenceDivisor = 4
	// silenceDecayTime is the time in which a long silence loses two thirds of its weight.
	silenceDecayTime = 10 * time.Second
	// stableLeadershipTime is how long a leader has to last so that the next change of the lead
	// counts as the first.
	stableLeadershipTime = 5 * time.Second
	// maxTimeoutFactor is how many times the upper bound may be passed in a storm of
	// elections: a takeover may bring more work than the bound allows for.
	maxTimeoutFactor = 4
	// changesBeforeStorm is how many changes that follow one another are no storm yet: some
	// replicas fail one after the other.
	changesBeforeStorm = 3
	// maxCountedChanges bounds what is counted of changes that follow one another.
	maxCountedChanges = 16
)

// timeoutEstimator is how long a silent leader is waited for. A leader that is deposed for
// its load leaves it to the next one, together with the work of taking over: a
// timeout that is too short for the load makes a storm of elections. So it follows
// the silences that were seen of late, and doubles with each change of the lead that
// comes soon after the one before.
type timeoutEstimator struct {
	// longestSilence is the longest silence of late, as of the time seen.
	longestSilence    time.Duration
	silenceRecordedAt time.Duration
	// leaderChanges counts the changes of the lead that followed one another, changed is
	// when the last one was.
	leaderChanges int
	lastChangeAt  time.Duration
}

// recordSilence takes the time between two messages of a leader.
func (p *timeoutEstimator) recordSilence(silence, now time.Duration) {
	p.longestSilence, p.silenceRecordedAt = max(silence, p.decayedSilence(now)), now
}

// decayedSilence returns the longest silence of late with the weight that it still has.
func (p *timeoutEstimator) decayedSilence(now time.Duration) time.Duration {
	return time.Duration(float64(p.longestSilence) * math.Exp(-float64(now-p.silenceRecordedAt)/float64(silenceDecayTime)))
}

// recordLeaderChange notes a change of the lead that nobody planned, or a try of one.
func (p *timeoutEstimator) recordLeaderChange(now time.Duration) {
	if p.lastChangeAt > 0 && now-p.lastChangeAt < stableLeadershipTime {
		p.leaderChanges = min(p.leaderChanges+1, maxCountedChanges)
	} else {
		p.leaderChanges = 0
	}
	p.lastChangeAt = now
}

// timeout returns how long a silent leader is waited for: between two bounds, and
// beyond the upper one only while one leader follows the other. With both bounds the
// same it is fixed.
func (p *timeoutEstimator) timeout(minTimeout, maxTimeout, now time.Duration) time.Duration {
	if maxTimeout <= minTimeout {
		return minTimeout
	}
	timeout := max(minTimeout, silenceFactor*p.decayedSilence(now))
	if now-p.lastChangeAt >= stableLeadershipTime {
		return min(timeout, maxTimeout)
	}
	timeout = min(timeout<<min(p.leaderChanges, changesBeforeStorm), maxTimeout)
	return min(timeout<<max(p.leaderChanges-changesBeforeStorm, 0), maxTimeoutFactor*maxTimeout)
}
