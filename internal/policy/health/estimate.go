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
	// MostNames bounds the names that are learned.
	MostNames = 1 << 16
	// gain is the weight of a new observation.
	gain = 0.2
)

// Name is what runs of the same program are known by.
type Name struct{ Team, Name string }

// NameOf returns the job's name.
func NameOf(spec *job.Spec) Name { return Name{spec.Team, spec.Name} }

// Estimates holds what was learned of run times. They order work; nothing is
// placed on their word beyond a declared size.
type Estimates struct {
	// Off makes every answer the declared one; for comparison only.
	Off   bool
	names map[Name]float64
}

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates { return &Estimates{names: map[Name]float64{}} }

// Learn notes that a run took the given time.
func (e *Estimates) Learn(spec *job.Spec, ran time.Duration) {
	n, s := NameOf(spec), ran.Seconds()
	mean, known := e.names[n]
	switch {
	case known:
		e.names[n] = mean + gain*(s-mean)
	case len(e.names) < MostNames:
		e.names[n] = s
	}
}

// Runtime returns how long a task of the job is expected to run.
func (e *Estimates) Runtime(spec *job.Spec) time.Duration {
	if mean, known := e.names[NameOf(spec)]; known && !e.Off {
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
