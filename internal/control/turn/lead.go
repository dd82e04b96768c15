package turn

import (
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/policy/progress"
)

// ErrLost is returned by Run when the control thread has stood for too long.
var ErrLost = errors.New("the control thread has not ended its turn for too long; start the process again, and report the error with the log")

// Replica is a replica whose lead the watch gives up. None of the methods may wait for the control
// thread.
type Replica interface {
	// IsLeading reports whether the replica leads, or takes over, and has not given up the lead.
	IsLeading() bool
	// GiveUpLead ends what the replica does as the leader. It returns false if there was nothing to
	// end.
	GiveUpLead() bool
	// HasGivenUp reports whether the replica gave up the lead and the group has not taken it yet.
	HasGivenUp() bool
	// Abstain begins or ends the abstention of the replica from leading.
	Abstain(on bool)
}

// checkLead gives up the lead while the control thread makes no progress. A follower abstains, too, as
// it could not lead.
func (w *Watch) checkLead(p Progress, now time.Duration) error {
	if w.Replica == nil {
		return nil
	}
	look := progress.Look{At: now, Leads: w.Replica.IsLeading(), InTurn: p.Step != Idle, Number: p.Number, Parts: p.Advances}
	if p.ProposalAge > 0 {
		look.ProposedAt = now - p.ProposalAge
	}
	switch verdict := w.judge.Look(look); {
	case verdict == progress.Lost:
		return ErrLost
	case verdict != progress.Well:
		w.giveUp(verdict, p)
	case w.abstaining && !w.Replica.HasGivenUp():
		w.abstaining = false
		w.Replica.Abstain(false)
		event.Log(w.Log, event.ControlBack, "turn", p.Number)
	}
	return nil
}

// giveUp lets another replica lead. The lead is given up first, so that this replica does nothing more
// when the next one begins, which must not stand at the same.
func (w *Watch) giveUp(cause progress.Verdict, p Progress) {
	led := w.Replica.GiveUpLead()
	if subject := w.Meter.Subject(); led && p.Step == Plan && subject != nil && w.TellStood != nil {
		w.TellStood(subject)
	}
	if led || !w.abstaining && !w.Replica.IsLeading() { // the only voter goes on leading
		w.abstaining = true
		w.Replica.Abstain(true)
	}
	if led {
		event.Log(w.Log, event.LeadGivenUp, "cause", cause.String(), "step", p.Step.String(), "subject", p.Subject, "age", max(p.TurnAge, p.ProposalAge).String(), "turn", p.Number, "stack", Stack(w.Thread))
	}
}
