package quorum

import (
	"math"
	"time"
)

// Bounds of patience.
const (
	// gapFactor is how many times as long as its longest silence of late a leader
	// may be silent.
	gapFactor = 2
	// startPart is the part of the longest timeout that counts as the longest silence
	// at a start.
	startPart = 4
	// gapMemory is the time in which a long silence loses two thirds of its weight.
	gapMemory = 10 * time.Second
	// calm is how long a leader has to last so that the next change of the lead
	// counts as the first.
	calm = 5 * time.Second
	// stormFactor is how many times the upper bound may be passed in a storm of
	// elections: a takeover may bring more work than the bound allows for.
	stormFactor = 4
	// stormChanges is how many changes that follow one another are no storm yet: some
	// replicas fail one after the other.
	stormChanges = 3
	// mostChanges bounds what is counted of changes that follow one another.
	mostChanges = 16
)

// patience is how long a silent leader is waited for. A leader that is deposed for
// its load leaves it to the next one, together with the work of taking over: a
// timeout that is too short for the load makes a storm of elections. So it follows
// the silences that were seen of late, and doubles with each change of the lead that
// comes soon after the one before.
type patience struct {
	// worst is the longest silence of late, as of the time seen.
	worst time.Duration
	seen  time.Duration
	// changes counts the changes of the lead that followed one another, changed is
	// when the last one was.
	changes int
	changed time.Duration
}

// silent takes the time between two messages of a leader.
func (p *patience) silent(gap, now time.Duration) {
	p.worst, p.seen = max(gap, p.faded(now)), now
}

// faded returns the longest silence of late with the weight that it still has.
func (p *patience) faded(now time.Duration) time.Duration {
	return time.Duration(float64(p.worst) * math.Exp(-float64(now-p.seen)/float64(gapMemory)))
}

// turned notes a change of the lead that nobody planned, or a try of one.
func (p *patience) turned(now time.Duration) {
	if p.changed > 0 && now-p.changed < calm {
		p.changes = min(p.changes+1, mostChanges)
	} else {
		p.changes = 0
	}
	p.changed = now
}

// timeout returns how long a silent leader is waited for: between two bounds, and
// beyond the upper one only while one leader follows the other. With both bounds the
// same it is fixed.
func (p *patience) timeout(least, most, now time.Duration) time.Duration {
	if most <= least {
		return least
	}
	t := max(least, gapFactor*p.faded(now))
	if now-p.changed >= calm {
		return min(t, most)
	}
	t = min(t<<min(p.changes, stormChanges), most)
	return min(t<<max(p.changes-stormChanges, 0), stormFactor*most)
}
