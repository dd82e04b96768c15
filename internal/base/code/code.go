// Package code defines the numbered result codes that callers, backend servers and
// operators receive. docs/CODES.md lists them; a test compares that page with the
// code.
package code

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Code is a result code. The hundreds digit gives the class of the result.
type Code uint32

// The result codes.
const (
	// OK means success.
	OK Code = 0

	// TaskFailed means that a task ended with an error of its program. The outcome is "done".
	TaskFailed Code = 101
	// Stopped means that a job was cancelled after some of its tasks had started. The outcome is "done".
	Stopped Code = 102
	// GivenUp means that a job is not retried any more after it failed on several healthy backend servers. The outcome is "done".
	GivenUp Code = 103

	// QueueFull means that the job was not run because the team has too many waiting jobs.
	QueueFull Code = 201
	// Unplaceable means that the job was not run because it exceeds the capacity of every announced backend server, or a limit.
	Unplaceable Code = 202
	// DeadlinePassed means that the job was not run because it was not placed before its deadline.
	DeadlinePassed Code = 203
	// Cancelled means that the job was not run because it was cancelled before any of its tasks started.
	Cancelled Code = 204
	// Overloaded means that the job was not run because the cell sheds load. The caller may retry after the time in the reply.
	Overloaded Code = 205
	// ControlUnreachable means that the request was not run because the entry could not send it to the control group.
	ControlUnreachable Code = 206

	// ServerLost means that the outcome is unknown because the backend server was lost while running a task that must not be repeated.
	ServerLost Code = 301
	// LeaderTimeout means that the outcome is not known yet because the leader did not answer in time. The caller may repeat the request with the same id.
	LeaderTimeout Code = 302

	// InvalidKey means that the key is unknown, wrong or withdrawn.
	InvalidKey Code = 401
	// Forbidden means that the key does not permit this call.
	Forbidden Code = 402
	// InvalidEnrolment means that a backend server presented no valid enrolment secret.
	InvalidEnrolment Code = 403

	// Malformed means that a field of the request has an invalid format or is out of range.
	Malformed Code = 501
	// IDReused means that the id was already used for a request with different content.
	IDReused Code = 502
	// NotFound means that no object of that name exists, or that it was removed.
	NotFound Code = 503
	// TooLarge means that the request exceeds a size limit.
	TooLarge Code = 504

	// RevisionConflict means that the change is not based on the current revision of the table.
	RevisionConflict Code = 601
	// InUse means that the object to remove still has work or keys.
	InUse Code = 602
	// SessionReplaced means that a newer incarnation of the client replaced the session.
	SessionReplaced Code = 603
	// MembershipChangePending means that another membership change is in progress.
	MembershipChangePending Code = 604

	// NoLeader means that no leader is known, or that the leader has no recent confirmation by a quorum. The request had no effect.
	NoLeader Code = 701
	// ShuttingDown means that this process is shutting down. The client should use another entry.
	ShuttingDown Code = 702
	// DiskFull means that the request was not run because the control group has no disk space left.
	DiskFull Code = 703
	// Internal means an internal error of the cell. The events in the log describe it.
	Internal Code = 704
)

// texts holds the fixed text of each code. Replies carry these texts, and metrics
// use them as values of the label "code".
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

// String returns the fixed text of the code.
func (c Code) String() string {
	if t, ok := texts[c]; ok {
		return t
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// Error is a result code with a description of the specific case.
type Error struct {
	Code   Code
	Detail string
}

// Error returns the number, the fixed text and the detail.
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

// All returns all codes in ascending order.
func All() []Code { return slices.Sorted(maps.Keys(texts)) }

// classes holds the names of the classes, indexed by the hundreds digit of the code.
var classes = [...]string{"success", "done", "not run", "unknown", "proof", "request", "change", "cell"}

// Class returns the name of the class that the code belongs to.
func (c Code) Class() string {
	const codesPerClass = 100
	if n := int(c / codesPerClass); n < len(classes) {
		return classes[n]
	}
	return "unclassed"
}

// Markdown returns the table of codes for docs/CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | class | text |\n|---|---|---|\n")
	for _, c := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", uint32(c), c.Class(), c)
	}
	return b.String()
}
