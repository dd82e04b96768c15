package verb

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"gypsumreel/internal/base/code"
)

// ExitCode is the exit code of the command. README lists the codes for scripts.
type ExitCode int

// Exit codes of the command.
const (
	// ExitOK means that the request succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the cell refused the request or that a job failed. The
	// message contains the result code.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line or a file is invalid. No request was sent.
	ExitUsage ExitCode = 2
	// ExitUnreachable means that no answer arrived. The same command can be run again.
	ExitUnreachable ExitCode = 3
	// ExitNotRun means that the job did not run and will never run.
	ExitNotRun ExitCode = 4
	// ExitUnknown means that the job may or may not have run to completion.
	ExitUnknown ExitCode = 5
	// ExitConflict means that the table has changed since the base revision.
	ExitConflict ExitCode = 6
	// ExitUnfinished means that the job is still queued or running.
	ExitUnfinished ExitCode = 7
)

// Error is the error of a verb with its exit code and advice for the user.
type Error struct {
	ExitCode ExitCode
	// Message describes the failure. It is empty when the verb has already printed the
	// reason.
	Message string
	// Advice tells the user how to proceed. It may be empty.
	Advice string
}

// Error returns the message, followed by the advice on a line of its own.
func (e *Error) Error() string {
	if e.Advice == "" {
		return e.Message
	}
	return e.Message + "\n" + e.Advice
}

// UsageError returns an Error with ExitUsage for invalid user input.
func UsageError(advice, format string, args ...any) *Error {
	return &Error{ExitCode: ExitUsage, Message: fmt.Sprintf(format, args...), Advice: advice}
}

// adviceByCode maps result codes of the cell to advice for the user.
var adviceByCode = map[code.Code]string{
	code.QueueFull:               "Wait until some of the team's jobs have ended, or ask an operator for a longer queue.",
	code.Unplaceable:             "Make the tasks smaller, or ask an operator for the team's limit (`gypsumreel table show`).",
	code.Overloaded:              "Run the same command again later, with the same id.",
	code.ControlUnreachable:      "Run the same command again with the same id.",
	code.LeaderTimeout:           "Run the same command again with the same id: it is not done twice.",
	code.InvalidKey:              "Check --key or GYPSUMREEL_KEY; an operator grants keys with `gypsumreel key grant`.",
	code.Forbidden:               "Use a key of the right kind: a team's key for jobs, an operator's key for everything else.",
	code.IDReused:                "Choose another id, or query the outcome of the earlier request (`gypsumreel wait` for a job).",
	code.NotFound:                "Check the name; outcomes are deleted when they are acknowledged or their retention time ends.",
	code.RevisionConflict:        "Run `gypsumreel table show`, check what has changed, and repeat the change with the current revision as its base.",
	code.InUse:                   "Withdraw the team's keys and let its jobs end first.",
	code.MembershipChangePending: "Wait until `gypsumreel member list` shows no change in progress, then run the same command again.",
	code.NoLeader:                "Nothing was done. Run the same command again; if it lasts, see docs/operate/handbook.md.",
	code.ShuttingDown:            "Run the same command again: another entry answers.",
	code.DiskFull:                "An operator has to free space on the disks of the control instances.",
	code.Internal:                "Look at the events of the control processes (docs/EVENTS.md).",
	code.TooLarge:                "Split the request.",
	code.InvalidEnrolment:        "Compare the secret with the entries' setting enrolment.",
}

// CodeError returns an Error for a result code of the cell, with the advice for it.
func CodeError(c code.Code, detail string) *Error {
	text := fmt.Sprintf("%d: %s", uint32(c), c)
	if detail != "" {
		text += ": " + detail
	}
	return &Error{ExitCode: exitCodeOf(c), Message: text, Advice: adviceByCode[c]}
}

// exitCodeOf returns the exit code for a result code. Codes that no case covers map to
// ExitFailed.
func exitCodeOf(c code.Code) ExitCode {
	// Codes with the same hundreds digit belong to one class of outcomes.
	const codesPerClass = 100
	switch {
	case c == code.OK:
		return ExitOK
	case c == code.RevisionConflict:
		return ExitConflict
	case c == code.ControlUnreachable || c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown:
		return ExitUnreachable
	case c/codesPerClass == code.QueueFull/codesPerClass:
		return ExitNotRun
	case c/codesPerClass == code.ServerLost/codesPerClass:
		return ExitUnknown
	}
	return ExitFailed
}

// failureReport is the JSON form of an error, printed with --json.
type failureReport struct {
	ExitCode ExitCode `json:"exit"`
	Message  string   `json:"error"`
	Advice   string   `json:"next,omitempty"`
}

// reportResult prints the error of a verb, if any, and returns the exit code.
func reportResult(env Env, runner Runner, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	report := failureReport{ExitCode: ExitFailed, Message: strings.TrimSpace(err.Error())}
	var verbErr *Error
	if errors.As(err, &verbErr) {
		report = failureReport{ExitCode: verbErr.ExitCode, Message: strings.TrimSpace(verbErr.Message), Advice: verbErr.Advice}
	}
	output, ok := runner.(interface{ wantsJSON() bool })
	switch {
	case report.Message == "":
	case ok && output.wantsJSON():
		_ = json.NewEncoder(env.Err).Encode(report)
	default:
		fmt.Fprintf(env.Err, "%s: %s\n", Program, strings.TrimSpace(err.Error()))
	}
	return report.ExitCode
}
