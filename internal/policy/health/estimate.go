// Package health learns what declared numbers and servers are worth: run times,
// jobs that always fail, and servers that fail what others run.
package health

import (
	"time"

	"gypsumreel/internal/domain/job"
)

// Defaults of the estimates.
const (
	// DefaultRuntime is expected of a task of which nothing is known.
	DefaultRuntime = time.Minute
	// MaxNames bounds the names that are learned.
	MaxNames = 1 << 16
	// gain is the weight of a new observation.
	gain = 0.2
)

// JobName is what runs of the same program are known by.
type JobName struct{ Team, Name string }

// JobNameOf returns the job's name.
func JobNameOf(spec *job.Spec) JobName { return JobName{spec.Team, spec.Name} }

// Estimates holds what was learned of run times. They order work; nothing is
// placed on their word beyond a declared size.
type Estimates struct {
	// Disabled makes every answer the declared one; for comparison only.
	Disabled bool
	names    map[JobName]float64
}

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates { return &Estimates{names: map[JobName]float64{}} }

// Observe notes that a run took the given time.
func (e *Estimates) Observe(spec *job.Spec, ran time.Duration) {
	n, s := JobNameOf(spec), ran.Seconds()
	mean, known := e.names[n]
	switch {
	case known:
		e.names[n] = mean + gain*(s-mean)
	case len(e.names) < MaxNames:
		e.names[n] = s
	}
}

// ExpectedRuntime returns how long a task of the job is expected to run.
func (e *Estimates) ExpectedRuntime(spec *job.Spec) time.Duration {
	if mean, known := e.names[JobNameOf(spec)]; known && !e.Disabled {
		return time.Duration(mean * float64(time.Second))
	}
	return declared(spec)
}

func declared(spec *job.Spec) time.Duration {
	if spec.Runtime > 0 {
		return spec.Runtime
	}
	return DefaultRuntime
}
