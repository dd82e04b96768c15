// Package health learns from the results of tasks: their run times, which jobs always fail, and
// which servers fail the tasks of every job.
package health

import (
	"time"

	"gypsumreel/internal/domain/job"
)

// Defaults of the run time estimates.
const (
	// DefaultRuntime is the expected run time of a task without a declared or observed run
	// time.
	DefaultRuntime = time.Minute
	// MaxNames limits the job names for which values are stored.
	MaxNames = 1 << 16
	// smoothing is the weight of a new observation in the moving average.
	smoothing = 0.2
)

// JobName identifies jobs that run the same program.
type JobName struct{ Team, Name string }

// JobNameOf returns the name of a job.
func JobNameOf(spec *job.Spec) JobName { return JobName{spec.Team, spec.Name} }

// Estimates holds the average run times of jobs. They affect the order of work only; placement
// relies on declared sizes.
type Estimates struct {
	// Disabled makes ExpectedRuntime return the declared run time. It is used to compare runs
	// with and without estimates.
	Disabled    bool
	meanSeconds map[JobName]float64
}

// NewEstimates returns estimates without observations.
func NewEstimates() *Estimates { return &Estimates{meanSeconds: map[JobName]float64{}} }

// Observe updates the average run time of a job with one run.
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

// ExpectedRuntime returns the expected run time of a task of the job.
func (e *Estimates) ExpectedRuntime(spec *job.Spec) time.Duration {
	if mean, known := e.meanSeconds[JobNameOf(spec)]; known && !e.Disabled {
		return time.Duration(mean * float64(time.Second))
	}
	return declaredRuntime(spec)
}

// declaredRuntime returns the declared run time of a job, or the default.
func declaredRuntime(spec *job.Spec) time.Duration {
	if spec.EstimatedRuntime > 0 {
		return spec.EstimatedRuntime
	}
	return DefaultRuntime
}
