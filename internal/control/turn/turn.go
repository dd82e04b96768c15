// Package turn shows how the control thread progresses. A turn is one iteration of its loop. None
// of the methods waits for the control thread, so that a turn that does not end can be seen.
package turn

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Step is a part of a turn.
type Step uint8

// Steps of a turn, in their order.
const (
	// Idle means that the control thread waits for work.
	Idle Step = iota
	// Notification handles a notification of the group.
	Notification
	// Function runs the functions that other goroutines have queued.
	Function
	// Timers runs expired timers and periodic work.
	Timers
	// Effects runs the effects of committed commands.
	Effects
	// Decisions applies the decisions of the planner of jobs.
	Decisions
	// Syncs answers backend servers.
	Syncs
	// Reads answers reads of which the leadership is confirmed.
	Reads
	// Plan makes and applies a plan of flows.
	Plan
	// Proposal hands commands to the group.
	Proposal
	// Replies delivers replies of which the commands are committed.
	Replies
	// Snapshot continues a snapshot.
	Snapshot
)

var stepNames = [...]string{"idle", "notification", "function", "timers", "effects", "decisions", "syncs", "reads", "plan", "proposal", "replies", "snapshot"}

func (s Step) String() string { return stepNames[s] }

// Progress is the progress of the control thread at a moment.
type Progress struct {
	// Number is the number of turns that have begun.
	Number uint64
	// Step is the present step, and Subject what it works on; empty if that is not known.
	Step    Step
	Subject string
	// TurnAge is the time since the present turn began; 0 while the control thread is idle.
	TurnAge time.Duration
	// Advances counts the parts of turns that ended: steps, and items within a step.
	Advances uint64
	// ProposalAge is the time since the oldest proposal without a commit was made; 0 if there
	// is none.
	ProposalAge time.Duration
}

// Meter records the progress of the control thread. The zero value is ready. Progress may be
// called by any goroutine, the other methods only by the control thread.
type Meter struct {
	number   atomic.Uint64
	step     atomic.Uint32
	subject  atomic.Pointer[fmt.Stringer]
	advances atomic.Uint64
	// begunAt is the time at which the present turn began, and proposedAt that of the oldest
	// proposal without a commit; 0 if there is none.
	begunAt    atomic.Int64
	proposedAt atomic.Int64
}

// Begin records that a turn begins with a step.
func (m *Meter) Begin(s Step, now time.Duration) {
	m.number.Add(1)
	m.begunAt.Store(int64(now))
	m.Enter(s)
}

// Enter records that the turn goes on with a step.
func (m *Meter) Enter(s Step) {
	m.step.Store(uint32(s))
	m.Advance()
}

// End records that the turn has ended, and returns how long it took.
func (m *Meter) End(now time.Duration) time.Duration {
	m.Enter(Idle)
	return now - time.Duration(m.begunAt.Load())
}

// Advance records that a part of a step has ended.
func (m *Meter) Advance() { m.advances.Add(1) }

// SetSubject records what the step works on; nil if that is not known. The subject must not
// change afterwards.
func (m *Meter) SetSubject(subject fmt.Stringer) {
	if subject == nil {
		m.subject.Store(nil)
		return
	}
	m.subject.Store(&subject)
}

// Subject returns what the step works on; nil if that is not known.
func (m *Meter) Subject() fmt.Stringer {
	if subject := m.subject.Load(); subject != nil {
		return *subject
	}
	return nil
}

// SetOldestProposal records when the oldest proposal without a commit was made; 0 if there is
// none.
func (m *Meter) SetOldestProposal(at time.Duration) { m.proposedAt.Store(int64(at)) }

// Progress returns the progress at the time now. The fields are read one after the other, so
// they may be of two consecutive steps.
func (m *Meter) Progress(now time.Duration) Progress {
	p := Progress{Number: m.number.Load(), Step: Step(m.step.Load()), Advances: m.advances.Load()}
	if p.Step != Idle {
		p.TurnAge = now - time.Duration(m.begunAt.Load())
		if subject := m.Subject(); subject != nil {
			p.Subject = subject.String()
		}
	}
	if at := m.proposedAt.Load(); at > 0 {
		p.ProposalAge = now - time.Duration(at)
	}
	return p
}
