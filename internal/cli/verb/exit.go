package verb

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"gypsumreel/internal/base/code"
)

// Exit is the exit code of the command; README lists them for scripts.
type Exit int

// The exit codes.
const (
	// OK means that what was asked is done.
	OK Exit = 0
	// Failed means that the cell refused or a job ended with a failure; the text has the result code.
	Failed Exit = 1
	// Usage means a mistake on the command line or in a file; nothing was sent.
	Usage Exit = 2
	// Unreachable means that no answer came; the same command may be run again.
	Unreachable Exit = 3
	// NotRun means that the job did not run and never will.
	NotRun Exit = 4
	// Unknown means that the job may or may not have run to its end.
	Unknown Exit = 5
	// Conflict means that the table has changed since the base revision.
	Conflict Exit = 6
	// Unfinished means that the job is still queued or running.
	Unfinished Exit = 7
)

// Error ends a verb with an exit code, a message and what to do next.
type Error struct {
	Exit Exit
	// Text may be empty when the verb has printed what there is to say.
	Text string
	// Next says what the reader can do about it; may be empty.
	Next string
}

// Error returns the message and the advice.
func (e *Error) Error() string {
	if e.Next == "" {
		return e.Text
	}
	return e.Text + "\n" + e.Next
}

// Misuse returns an Error for a mistake in what the user gave.
func Misuse(next, format string, args ...any) *Error {
	return &Error{Exit: Usage, Text: fmt.Sprintf(format, args...), Next: next}
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

// Refusal returns an Error for a result code of the cell.
func Refusal(c code.Code, detail string) *Error {
	text := fmt.Sprintf("%d: %s", uint32(c), c)
	if detail != "" {
		text += ": " + detail
	}
	return &Error{Exit: exitOf(c), Text: text, Next: advice[c]}
}

func exitOf(c code.Code) Exit {
	const class = 100
	switch {
	case c == code.OK:
		return OK
	case c == code.RevisionConflict:
		return Conflict
	case c == code.ControlUnreachable || c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown:
		return Unreachable
	case c/class == code.QueueFull/class:
		return NotRun
	case c/class == code.ServerLost/class:
		return Unknown
	}
	return Failed
}

// failure is what is printed with --json when a verb did not succeed.
type failure struct {
	Exit Exit   `json:"exit"`
	Text string `json:"error"`
	Next string `json:"next,omitempty"`
}

// conclude prints how a verb ended and returns its exit code.
func conclude(env Env, r Runner, err error) Exit {
	if err == nil {
		return OK
	}
	f := failure{Exit: Failed, Text: strings.TrimSpace(err.Error())}
	var known *Error
	if errors.As(err, &known) {
		f = failure{Exit: known.Exit, Text: strings.TrimSpace(known.Text), Next: known.Next}
	}
	asked, ok := r.(interface{ wantsJSON() bool })
	switch {
	case f.Text == "":
	case ok && asked.wantsJSON():
		_ = json.NewEncoder(env.Err).Encode(f)
	default:
		fmt.Fprintf(env.Err, "%s: %s\n", Program, strings.TrimSpace(err.Error()))
	}
	return f.Exit
}
