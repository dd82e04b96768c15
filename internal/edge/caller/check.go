package caller

import (
	"time"
	"unicode"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// Bounds of what callers may ask.
const (
	// MaxJobsPerSubmit bounds the jobs of one submission.
	MaxJobsPerSubmit = 1000
	// MaxTasksPerJob bounds the tasks of one job.
	MaxTasksPerJob = 10_000
	// MaxNameLength bounds ids, names and the parts of a label, in bytes.
	MaxNameLength = 128
	// MaxLabels bounds the labels of one job or cancellation.
	MaxLabels = 16
	// MaxInputSize bounds the input of a job in bytes.
	MaxInputSize = 1 << 20
	// MaxIDsPerRequest bounds the ids in one call.
	MaxIDsPerRequest = 10_000
	// MaxListedJobs bounds the lines of one List.
	MaxListedJobs = 1000
	// MaxDeadline bounds the wait for a placement and the estimated run time.
	MaxDeadline = 365 * 24 * time.Hour
	// maxAmount bounds each field of a size, so that sums cannot overflow.
	maxAmount = 1 << 40
)

// checkSpec returns a *code.Error when the job breaks a stated bound.
func checkSpec(s *v1.Spec) error {
	if err := checkID(s.GetId()); err != nil {
		return err
	}
	switch {
	case s.GetKind() < v1.Kind_KIND_URGENT || s.GetKind() > v1.Kind_KIND_SERVICE:
		return code.New(code.Malformed, "kind %d", s.GetKind())
	case !printable(s.GetName()) || len(s.GetName()) > MaxNameLength:
		return code.New(code.Malformed, "the name has up to %d printable bytes", MaxNameLength)
	case s.GetCount() < 1 || s.GetCount() > MaxTasksPerJob:
		return code.New(code.Malformed, "1 to %d tasks", MaxTasksPerJob)
	case !IsValidSize(s.GetSize()):
		return code.New(code.Malformed, "the size needs fields from 0 to %d, and one above 0", maxAmount)
	case len(s.GetInput()) > MaxInputSize:
		return code.New(code.TooLarge, "the input has up to %d bytes", MaxInputSize)
	case s.GetDeadline() > uint64(MaxDeadline.Milliseconds()):
		return code.New(code.Malformed, "the deadline is at most %v", MaxDeadline)
	case s.GetRuntime() > uint64(MaxDeadline.Milliseconds()):
		return code.New(code.Malformed, "the run time is at most %v", MaxDeadline)
	case s.GetFloor() > s.GetCount():
		return code.New(code.Malformed, "the floor is above the count")
	}
	return CheckLabels(s.GetLabels())
}

// IsValidSize tells whether no field is negative or absurd and one is above zero.
func IsValidSize(s *v1.Size) bool {
	some := false
	for _, n := range []int64{s.GetCpu(), s.GetMemory(), s.GetAccel(), s.GetSlots()} {
		if n < 0 || n > maxAmount {
			return false
		}
		some = some || n > 0
	}
	return some
}

// CheckLabels returns a *code.Error when there are too many labels or one is malformed.
func CheckLabels(labels map[string]string) error {
	if len(labels) > MaxLabels {
		return code.New(code.Malformed, "up to %d labels", MaxLabels)
	}
	for k, v := range labels {
		if k == "" || len(k) > MaxNameLength || len(v) > MaxNameLength || !printable(k) || !printable(v) {
			return code.New(code.Malformed, "label %q", k)
		}
	}
	return nil
}

// CheckName returns a *code.Error unless the text is a usable name of the thing given.
func CheckName(what, name string) error {
	if name == "" || len(name) > MaxNameLength || !printable(name) {
		return code.New(code.Malformed, "the %s has 1 to %d printable bytes", what, MaxNameLength)
	}
	return nil
}

func checkID(id string) error { return CheckName("id", id) }

func checkIDs(ids []string) error {
	if len(ids) > MaxIDsPerRequest {
		return code.New(code.TooLarge, "up to %d ids", MaxIDsPerRequest)
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
		return code.New(code.Malformed, "a cancellation names ids or labels")
	}
	if err := checkIDs(m.GetIds()); err != nil {
		return err
	}
	return CheckLabels(m.GetLabels())
}

func printable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
