package turn

import (
	"bytes"
	"context"
	"fmt"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/policy/progress"
)

// lateAfter is the age of a turn or of a proposal above which it is logged. Callers of a status wait
// for about as long.
const lateAfter = time.Second

// Watch logs turns that do not end and proposals that are not committed, and then gives up the lead.
// The fields must be set before Run.
type Watch struct {
	Meter *Meter
	// Replica is the replica of the control thread; if it is nil, the watch only logs.
	Replica Replica
	// TellStood tells the other replicas what the turn that stood worked on, before one of them can
	// lead; it may be nil. It must not take long, since nobody leads meanwhile.
	TellStood func(subject fmt.Stringer)
	// Thread is the function that the control thread runs, as named in its stack.
	Thread string
	Now    func() time.Duration
	Log    logr.Logger

	// loggedTurn is the number of the turn that was logged last. proposalLogged is true while the
	// oldest proposal has been logged.
	loggedTurn     uint64
	proposalLogged bool
	judge          progress.Judge
	// abstaining is true from when the replica was told to abstain from leading until it may lead
	// again.
	abstaining bool
}

// Run watches until ctx ends. It returns ErrLost if the control thread has stood for so long that the
// process has to end.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(progress.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := w.Now()
			p := w.Meter.Progress(now)
			if err := w.checkLead(p, now); err != nil {
				return err
			}
			w.logLate(p)
		}
	}
}

// logLate logs the present turn and the oldest proposal once if they are late.
func (w *Watch) logLate(p Progress) {
	if p.TurnAge > lateAfter && p.Number != w.loggedTurn {
		w.loggedTurn = p.Number
		event.Log(w.Log, event.TurnLate, "step", p.Step.String(), "subject", p.Subject, "age", p.TurnAge.String(), "turn", p.Number, "proposal", p.ProposalAge.String(), "stack", Stack(w.Thread))
	}
	late := p.ProposalAge > lateAfter
	if late && !w.proposalLogged {
		event.Log(w.Log, event.CommitLate, "age", p.ProposalAge.String(), "step", p.Step.String(), "turn", p.Number)
	}
	w.proposalLogged = late
}

// Stack returns the stack of a goroutine that runs the function thread, innermost call first; empty
// if there is none. It works while that goroutine computes or waits.
func Stack(thread string) string {
	var profile bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&profile, 1); err != nil {
		return ""
	}
	for block := range strings.SplitSeq(profile.String(), "\n\n") {
		if strings.Contains(block, thread+"+") {
			return callsOf(block)
		}
	}
	return ""
}

// callsOf returns the calls of one stack of a goroutine profile, as function and line.
func callsOf(block string) string {
	var calls []string
	for line := range strings.Lines(block) {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[0] != "#" {
			continue // no call
		}
		function, _, _ := strings.Cut(fields[2], "+")
		_, file, _ := strings.Cut(fields[3], "/internal/")
		calls = append(calls, function+" "+file)
	}
	return strings.Join(calls, "; ")
}
