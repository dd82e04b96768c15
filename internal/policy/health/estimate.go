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

// Estimates holds what was learned of run times. They order work and choose what
// to backfill; nothing is placed on their word beyond a declared size.
type Estimates struct {
	// Off makes every answer the declared one; for comparison only.
	Off   bool
	names map[Name]*estimate
}

type estimate struct{ mean, dev float64 }

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates { return &Estimates{names: map[Name]*estimate{}} }

// Learn notes that a run took the given time.
func (e *Estimates) Learn(spec *job.Spec, ran time.Duration) {
	n := NameOf(spec)
	t, s := e.names[n], ran.Seconds()
	if t == nil {
		if len(e.names) < MostNames {
			e.names[n] = &estimate{mean: s, dev: s / 2}
		}
		return
	}
	off := s - t.mean
	t.mean += gain * off
	t.dev += gain * (max(off, -off) - t.dev)
}

// Runtime returns how long a task of the job is expected to run.
func (e *Estimates) Runtime(spec *job.Spec) time.Duration {
	if t := e.names[NameOf(spec)]; t != nil && !e.Off {
		return seconds(t.mean)
	}
	return declared(spec)
}

// Longest returns a time that most tasks of the job end within.
func (e *Estimates) Longest(spec *job.Spec) time.Duration {
	if t := e.names[NameOf(spec)]; t != nil && !e.Off {
		return seconds(t.mean + 2*t.dev)
	}
	return declared(spec)
}

func declared(spec *job.Spec) time.Duration {
	if spec.Runtime > 0 {
		return spec.Runtime
	}
	return DefaultRuntime
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
