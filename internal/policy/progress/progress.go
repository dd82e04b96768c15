// Package progress judges whether the control thread of a replica goes on, so that a leader that
// decides nothing gives up the lead. A leader that is slow under load, paused or short of processor
// time must not lose the lead: the next one would have the same load and the takeover in addition.
// The package has no side effects.
package progress

import "time"

// Interval is the interval between two looks at the control thread.
const Interval = 100 * time.Millisecond

const (
	// maxLookGap is the time between two looks above which the process was paused or got no
	// processor time. The control thread then had none either, so such a look counts for nothing.
	maxLookGap = 2 * Interval
	// standingLooks is the number of looks without the end of any part after which the control
	// thread stands. Callers of a status wait about a second and repeat the call for some more.
	standingLooks = 20
	// endlessLooks is the number of looks after which a turn stands although its parts end. Sane
	// parts may be many, as after an election.
	endlessLooks = 100
	// uncommittedLooks is the number of looks with the same oldest proposal after which the leader
	// commits nothing.
	uncommittedLooks = 20
	// lostLooks is the number of looks for which the control thread stands, after the verdict, before
	// the process has to start again. What the group reports is kept in memory meanwhile.
	lostLooks = 300
	// lostTurnLooks is the same for a whole turn. A replica that starts may apply a long log in one
	// turn, and would have to do so again.
	lostTurnLooks = 3000
	// maxDoublings limits how often the three numbers of looks double.
	maxDoublings = 5
	// forgetAfter is for how long a leader has to go on well until the doublings are forgotten.
	forgetAfter = time.Minute
)

// Look is what one look sees. Number and Parts only grow.
type Look struct {
	// At is the time of the look.
	At time.Duration
	// Leads is true while the replica leads.
	Leads bool
	// InTurn is true while the control thread is in a turn. Number counts the turns, and Parts the
	// parts of turns that have ended.
	InTurn bool
	Number uint64
	Parts  uint64
	// ProposedAt is when the oldest proposal without a commit was made; 0 if there is none.
	ProposedAt time.Duration
}

// Verdict is the judgement of the control thread.
type Verdict uint8

// Verdicts. From Stands to Uncommitted, the replica must not lead.
const (
	// Well means that the control thread goes on.
	Well Verdict = iota
	// Stands means that no part of the turn ends.
	Stands
	// Endless means that parts end, but not the turn.
	Endless
	// Uncommitted means that turns end, but the leader's proposals are not committed.
	Uncommitted
	// Lost means that the control thread has stood for so long that the process has to start again.
	Lost
)

var verdictNames = [...]string{"well", "no part of the turn ends", "the turn does not end", "nothing is committed", "the turn has not ended for too long"}

func (v Verdict) String() string { return verdictNames[v] }

// Judge judges consecutive looks. The zero value has seen none.
type Judge struct {
	last    Look
	verdict Verdict
	// samePart, sameTurn and sameProposal count the looks that saw what the look before saw, and
	// standingOn those after the verdict that saw the same part.
	samePart, sameTurn, sameProposal, standingOn int
	// doublings is how often the leader has given up the lead of late. Slow disks and an overload
	// that outlasts a leader would otherwise cause election after election.
	doublings int
	wellSince time.Duration
}

// Look judges the next look.
func (j *Judge) Look(l Look) Verdict {
	previous := j.last
	j.last = l
	inTime := l.At-previous.At <= maxLookGap
	sameTurn := l.InTurn && previous.InTurn && l.Number == previous.Number
	sameProposal := l.ProposedAt > 0 && l.ProposedAt == previous.ProposedAt
	count(&j.sameTurn, sameTurn, inTime)
	samePart := sameTurn && l.Parts == previous.Parts
	count(&j.samePart, samePart, inTime)
	count(&j.standingOn, samePart && j.verdict != Well, inTime)
	// The control thread learns of commits between turns only.
	count(&j.sameProposal, sameProposal, inTime && !sameTurn)
	j.verdict = j.judge(sameTurn, sameProposal)
	j.rememberWell(l)
	return j.verdict
}

// count counts a look that sees the same as the one before, if it counts.
func count(n *int, same, counts bool) {
	switch {
	case !same:
		*n = 0
	case counts:
		*n++
	}
}

func (j *Judge) judge(sameTurn, sameProposal bool) Verdict {
	switch j.verdict {
	case Stands, Endless, Lost:
		if sameTurn && (j.standingOn >= lostLooks || j.sameTurn >= lostTurnLooks) {
			return Lost
		}
		if sameTurn {
			return j.verdict
		}
	case Uncommitted:
		if sameProposal && !j.standing() {
			return Uncommitted
		}
	case Well:
	}
	switch {
	case j.standing():
		return Stands
	case j.sameTurn >= endlessLooks<<j.doublings:
		return Endless
	case j.sameProposal >= uncommittedLooks<<j.doublings:
		return Uncommitted
	}
	return Well
}

// standing reports whether no part has ended for too long.
func (j *Judge) standing() bool { return j.samePart >= standingLooks<<j.doublings }

// rememberWell doubles the looks before the next verdict when a leader gets one, and forgets that
// after it has led well.
func (j *Judge) rememberWell(l Look) {
	switch {
	case j.verdict != Well:
		if l.Leads && j.wellSince > 0 {
			j.doublings = min(j.doublings+1, maxDoublings)
		}
		j.wellSince = 0
	case !l.Leads || j.wellSince == 0:
		j.wellSince = l.At
	case l.At-j.wellSince >= forgetAfter:
		j.doublings = 0
	}
}
