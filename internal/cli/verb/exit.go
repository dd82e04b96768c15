package verb

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"gypsumreel/internal/base/code"
)

// ExitCode is the exit code of the command; README lists them for scripts.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that what was asked is done.
	ExitOK ExitCode = 0
	// ExitFailed means that the cell refused or a job ended with a failure; the text has the result code.
	ExitFailed ExitCode = 1
	// ExitUsage means a mistake on the command line or in a file; nothing was sent.
	ExitUsage ExitCode = 2
	// ExitUnreachable means that no answer came; the same command may be run again.
	ExitUnreachable ExitCode = 3
	// ExitNotRun means that the job did not run and never will.
	ExitNotRun ExitCode = 4
	// ExitUnknown means that the job may or may not have run to its end.
	ExitUnknown ExitCode = 5
	// ExitConflict means that the table has changed since the base revision.
	ExitConflict ExitCode = 6
	// ExitUnfinished means that the job is still queued or running.
	ExitUnfinished ExitCode = 7
)

// Error ends a verb with an exit code, a message and what to do next.
type Error struct {
	ExitCode ExitCode
	// Message may be empty when the verb has printed what there is to say.
	Message string
	// Advice says what the reader can do about it; may be empty.
	Advice string
}

// Error returns the message and the advice.
func (e *Error) Error() string {
	if e.Advice == "" {
		return e.Message
	}
	return e.Message + "\n" + e.Advice
}

// UsageError returns an Error for a mistake in what the user gave.
func UsageError(next, format string, args ...any) *Error {
	return &Error{ExitCode: ExitUsage, Message: fmt.Sprintf(format, args...), Advice: next}
}

// advice says what to do about a result code.
var advice = map[code.Code]string{
	code.QueueFull:               "Wait for some of the team's jobs, or ask an operator for a longer queue.",
	code.Unplaceable:             "Make the tasks smaller, or ask an operator for the team's limit (`gypsumreel table show`).",
	code.Overloaded:              "Run the same command again later, with the same id.",
	code.ControlUnreachable:      "Run the same command again with the same id.",
	code.LeaderTimeout:           "Run the same command again with the same id: it is not done twice.",
	code.InvalidKey:              "Check --key or GYPSUMREEL_KEY; an operator grants keys with `gypsumreel key grant`.",
	code.Forbidden:               "Use a key of the right kind: a team's key for jobs, an operator's key for everything else.",
	code.IDReused:                "Choose another id, or ask what became of the earlier one (`gypsumreel wait` for a job).",
	code.NotFound:                "Check the name; outcomes are forgotten once acknowledged or past their retention.",
	code.RevisionConflict:        "Run `gypsumreel table show`, look at what has changed, and make the change again from the current revision.",
	code.InUse:                   "Withdraw the team's keys and let its jobs end first.",
	code.MembershipChangePending: "Wait until `gypsumreel member list` shows no change under way, then run the same command again.",
	code.NoLeader:                "Nothing was done. Run the same command again; if it lasts, see docs/operate/handbook.md.",
	code.ShuttingDown:            "Run the same command again: another entry answers.",
	code.DiskFull:                "An operator has to make room on the control instances' disks.",
	code.Internal:                "Look at the events of the control processes (docs/EVENTS.md).",
	code.TooLarge:                "Split the request.",
	code.InvalidEnrolment:        "Compare the secret with the entries' setting enrolment.",
}

// CodeError returns an Error for a result code of the cell.
func CodeError(c code.Code, detail string) *Error {
	text := fmt.Sprintf("%d: %s", uint32(c), c)
	if detail != "" {
		text += ": " + detail
	}
	return &Error{ExitCode: exitOf(c), Message: text, Advice: advice[c]}
}

func exitOf(c code.Code) ExitCode {
	const class = 100
	switch {
	case c == code.OK:
		return ExitOK
	case c == code.RevisionConflict:
		return ExitConflict
	case c == code.ControlUnreachable || c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown:
		return ExitUnreachable
	case c/class == code.QueueFull/class:
		return ExitNotRun
	case c/class == code.ServerLost/class:
		return ExitUnknown
	}
	return ExitFailed
}

// failure is what is printed with --json when a verb did not succeed.
type failure struct {
	ExitCode ExitCode `json:"exit"`
	Message  string   `json:"error"`
	Advice   string   `json:"next,omitempty"`
}

// conclude prints how a verb ended and returns its exit code.
func conclude(env Env, r Runner, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	f := failure{ExitCode: ExitFailed, Message: strings.TrimSpace(err.Error())}
	var known *Error
	if errors.As(err, &known) {
		f = failure{ExitCode: known.ExitCode, Message: strings.TrimSpace(known.Message), Advice: known.Advice}
	}
	asked, ok := r.(interface{ wantsJSON() bool })
	switch {
	case f.Message == "":
	case ok && asked.wantsJSON():
		_ = json.NewEncoder(env.Err).Encode(f)
	default:
		fmt.Fprintf(env.Err, "%s: %s\n", Program, strings.TrimSpace(err.Error()))
	}
	return f.ExitCode
}
