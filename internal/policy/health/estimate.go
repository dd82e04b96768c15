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
	// smoothing is the weight of a new observation.
	smoothing = 0.2
)

// JobName is what runs of the same program are known by.
type JobName struct{ Team, Name string }

// JobNameOf returns the job's name.
func JobNameOf(spec *job.Spec) JobName { return JobName{spec.Team, spec.Name} }

// Estimates holds what was learned of run times. They order work; nothing is
// placed on their word beyond a declared size.
type Estimates struct {
	// Disabled makes every answer the declared one; for comparison only.
	Disabled    bool
	meanSeconds map[JobName]float64
}

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates { return &Estimates{meanSeconds: map[JobName]float64{}} }

// Observe notes that a run took the given time.
func (e *Estimates) Observe(spec *job.Spec, runtime time.Duration) {
	n, seconds := JobNameOf(spec), runtime.Seconds()
	mean, known := e.meanSeconds[n]
	switch {
	case known:
		e.meanSeconds[n] = mean + smoothing*(seconds-mean)
	case len(e.meanSeconds) < MaxNames:
		e.meanSeconds[n] = seconds
	}
}

// ExpectedRuntime returns how long a task of the job is expected to run.
func (e *Estimates) ExpectedRuntime(spec *job.Spec) time.Duration {
	if mean, known := e.meanSeconds[JobNameOf(spec)]; known && !e.Disabled {
		return time.Duration(mean * float64(time.Second))
	}
	return declaredRuntime(spec)
}

func declaredRuntime(spec *job.Spec) time.Duration {
	if spec.Runtime > 0 {
		return spec.Runtime
	}
	return DefaultRuntime
}
