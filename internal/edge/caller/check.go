package caller

import (
	"time"
	"unicode"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// Limits on the requests of callers.
const (
	// MaxJobsPerSubmit bounds the jobs in one Submit request.
	MaxJobsPerSubmit = 1000
	// MaxTasksPerJob bounds the number of tasks of one job.
	MaxTasksPerJob = 10_000
	// MaxNameLength bounds the length of ids, names, label keys and label values in bytes.
	MaxNameLength = 128
	// MaxLabels bounds the labels of one job, cancellation or backend server.
	MaxLabels = 16
	// MaxInputSize bounds the size of a job's input in bytes.
	MaxInputSize = 1 << 20
	// MaxIDsPerRequest bounds the job ids in one request.
	MaxIDsPerRequest = 10_000
	// MaxListedJobs bounds the jobs in one List reply.
	MaxListedJobs = 1000
	// MaxDeadline bounds both the placement deadline and the estimated run time of a job.
	MaxDeadline = 365 * 24 * time.Hour
	// maxSizeValue bounds each field of a size, so that sums of sizes cannot overflow.
	maxSizeValue = 1 << 40
)

// checkSpec returns a *code.Error if the job is malformed or exceeds a limit.
func checkSpec(s *v1.Spec) error {
	if err := checkID(s.GetId()); err != nil {
		return err
	}
	switch {
	case s.GetKind() < v1.Kind_KIND_URGENT || s.GetKind() > v1.Kind_KIND_SERVICE:
		return code.New(code.Malformed, "the job has the unknown kind %d", s.GetKind())
	case !isPrintable(s.GetName()) || len(s.GetName()) > MaxNameLength:
		return code.New(code.Malformed, "the name must have at most %d bytes, all of them printable characters", MaxNameLength)
	case s.GetCount() < 1 || s.GetCount() > MaxTasksPerJob:
		return code.New(code.Malformed, "the job has %d tasks, 1 to %d are allowed", s.GetCount(), MaxTasksPerJob)
	case !IsValidSize(s.GetSize()):
		return code.New(code.Malformed, "every field of the size must be from 0 to %d, and at least one above 0", maxSizeValue)
	case len(s.GetInput()) > MaxInputSize:
		return code.New(code.TooLarge, "the input has %d bytes, at most %d are allowed", len(s.GetInput()), MaxInputSize)
	case s.GetDeadline() > uint64(MaxDeadline.Milliseconds()):
		return code.New(code.Malformed, "the deadline must be at most %v", MaxDeadline)
	case s.GetRuntime() > uint64(MaxDeadline.Milliseconds()):
		return code.New(code.Malformed, "the estimated run time must be at most %v", MaxDeadline)
	case s.GetFloor() > s.GetCount():
		return code.New(code.Malformed, "the floor %d is above the count %d", s.GetFloor(), s.GetCount())
	}
	return CheckLabels(s.GetLabels())
}

// IsValidSize reports whether every field is within its limits and at least one is above zero.
func IsValidSize(s *v1.Size) bool {
	anyPositive := false
	for _, n := range []int64{s.GetCpu(), s.GetMemory(), s.GetAccel(), s.GetSlots()} {
		if n < 0 || n > maxSizeValue {
			return false
		}
		anyPositive = anyPositive || n > 0
	}
	return anyPositive
}

// CheckLabels returns a *code.Error if there are too many labels or one is malformed.
func CheckLabels(labels map[string]string) error {
	if len(labels) > MaxLabels {
		return code.New(code.Malformed, "%d labels given, at most %d are allowed", len(labels), MaxLabels)
	}
	for k, v := range labels {
		if k == "" || len(k) > MaxNameLength || len(v) > MaxNameLength || !isPrintable(k) || !isPrintable(v) {
			return code.New(code.Malformed, "label %q: key and value must have at most %d bytes, all of them printable characters, and the key at least 1", k, MaxNameLength)
		}
	}
	return nil
}

// CheckName returns a *code.Error unless the name has 1 to MaxNameLength bytes and
// only printable characters. The kind says in the error which name it is.
func CheckName(kind, name string) error {
	if name == "" || len(name) > MaxNameLength || !isPrintable(name) {
		return code.New(code.Malformed, "the %s must have 1 to %d bytes, all of them printable characters", kind, MaxNameLength)
	}
	return nil
}

func checkID(id string) error { return CheckName("id", id) }

func checkIDs(ids []string) error {
	if len(ids) > MaxIDsPerRequest {
		return code.New(code.TooLarge, "%d ids given, at most %d are allowed", len(ids), MaxIDsPerRequest)
	}
	for _, id := range ids {
		if err := checkID(id); err != nil {
			return err
		}
	}
	return nil
}

func checkCancel(m *v1.CancelRequest) error {
	if len(m.GetIds()) == 0 && len(m.GetLabels()) == 0 {
		return code.New(code.Malformed, "a cancellation must name ids or labels")
	}
	if err := checkIDs(m.GetIds()); err != nil {
		return err
	}
	return CheckLabels(m.GetLabels())
}

func isPrintable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
