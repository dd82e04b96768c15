// Package code numbers the results that callers, backend servers and operators
// see. docs/CODES.md lists them; a test keeps the two the same.
package code

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Code is the number of a result. The hundreds tell the class.
type Code uint32

// The result codes.
const (
	// OK is success.
	OK Code = 0

	// TaskFailed means that a task ended by itself with an error; the outcome is done.
	TaskFailed Code = 101
	// Stopped means that a job was stopped by cancellation after some of it had started; the outcome is done.
	Stopped Code = 102
	// GivenUp means that a job failed on several healthy servers and was given up; the outcome is done.
	GivenUp Code = 103

	// QueueFull means not run: the team has too many jobs waiting.
	QueueFull Code = 201
	// Unplaceable means not run: no announced server, or no limit, could ever hold it.
	Unplaceable Code = 202
	// DeadlinePassed means not run: it could not be placed in time.
	DeadlinePassed Code = 203
	// Cancelled means not run: cancelled before anything of it started.
	Cancelled Code = 204
	// Overloaded means not run: the cell sheds load, come back after the time given.
	Overloaded Code = 205
	// ControlUnreachable means not run: the request never left the entry that answers.
	ControlUnreachable Code = 206

	// ServerLost means unknown: the server went away under a task that may not be repeated.
	ServerLost Code = 301
	// LeaderTimeout means unknown for now: the leader did not answer in time; ask again with the same id.
	LeaderTimeout Code = 302

	// InvalidKey means that the key is unknown, wrong or withdrawn.
	InvalidKey Code = 401
	// Forbidden means that the key does not allow this call.
	Forbidden Code = 402
	// InvalidEnrolment means that a backend server showed no valid enrolment secret.
	InvalidEnrolment Code = 403

	// Malformed means that the request breaks a stated bound or form.
	Malformed Code = 501
	// IDReused means that the id stands for other content already.
	IDReused Code = 502
	// NotFound means that nothing of that name is known, or no longer.
	NotFound Code = 503
	// TooLarge means that the request exceeds a size bound.
	TooLarge Code = 504

	// RevisionConflict means that the change started from another revision than the current one.
	RevisionConflict Code = 601
	// InUse means that what is to be removed still has work or keys.
	InUse Code = 602
	// SessionReplaced means that the session was replaced by a newer incarnation.
	SessionReplaced Code = 603
	// MembershipChangePending means that another membership change is under way.
	MembershipChangePending Code = 604

	// NoLeader means that no leader is known or it cannot prove to be current; nothing was done.
	NoLeader Code = 701
	// ShuttingDown means that this process is stopping; turn to another entry.
	ShuttingDown Code = 702
	// DiskFull means not run: the control group cannot store more.
	DiskFull Code = 703
	// Internal means a fault in the cell itself; events tell more.
	Internal Code = 704
)

// texts gives each code its standing text.
var texts = map[Code]string{
	OK:                      "ok",
	TaskFailed:              "a task ended with an error",
	Stopped:                 "stopped after cancellation",
	GivenUp:                 "given up after failing on several servers",
	QueueFull:               "the team has too many jobs waiting",
	Unplaceable:             "no server or limit could ever hold it",
	DeadlinePassed:          "not placed before its deadline",
	Cancelled:               "cancelled before it started",
	Overloaded:              "the cell sheds load",
	ControlUnreachable:      "the request did not reach the control group",
	ServerLost:              "the server went away under a task that may not be repeated",
	LeaderTimeout:           "no answer in time; ask again with the same id",
	InvalidKey:              "the key is unknown, wrong or withdrawn",
	Forbidden:               "the key does not allow this",
	InvalidEnrolment:        "the enrolment secret is missing or wrong",
	Malformed:               "the request is malformed",
	IDReused:                "the id stands for other content",
	NotFound:                "nothing of that name is known",
	TooLarge:                "the request is too large",
	RevisionConflict:        "the change starts from another revision",
	InUse:                   "still in use",
	SessionReplaced:         "replaced by a newer session",
	MembershipChangePending: "another membership change is under way",
	NoLeader:                "no leader can prove to be current",
	ShuttingDown:            "this process is stopping",
	DiskFull:                "the control group cannot store more",
	Internal:                "internal fault",
}

// String returns the standing text of the code.
func (c Code) String() string {
	if t, ok := texts[c]; ok {
		return t
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// Error is a result code with what it is about.
type Error struct {
	Code   Code
	Detail string
}

// Error returns the number, the standing text and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d: %s", uint32(e.Code), e.Code)
	}
	return fmt.Sprintf("%d: %s: %s", uint32(e.Code), e.Code, e.Detail)
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// All returns every code in the order of numbers.
func All() []Code { return slices.Sorted(maps.Keys(texts)) }

// classes names the hundreds.
var classes = [...]string{"success", "done", "not run", "unknown", "proof", "request", "change", "cell"}

// Class returns the name of the code's class.
func (c Code) Class() string {
	const size = 100
	if n := int(c / size); n < len(classes) {
		return classes[n]
	}
	return "unclassed"
}

// Markdown returns the table that docs/CODES.md holds.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | class | text |\n|---|---|---|\n")
	for _, c := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", uint32(c), c.Class(), c)
	}
	return b.String()
}
