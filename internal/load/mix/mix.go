// Package mix generates the jobs of a load run: their arrival times, kinds and sizes.
// The same seed generates the same jobs.
package mix

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/job"
)

// KindWeights holds the relative weight of each kind among the arrivals.
type KindWeights map[job.Kind]float64

// Kinds lists all kinds in the order in which reports print them.
var Kinds = []job.Kind{job.Urgent, job.Batch, job.Gang, job.Service}

// maxWeight is the largest weight of a kind that is accepted.
const maxWeight = 1_000_000

// ParseKindWeights parses weights such as urgent=70,batch=25,gang=4,service=1.
func ParseKindWeights(text string) (KindWeights, error) {
	weights, sum := KindWeights{}, 0.0
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(strings.TrimSpace(part), "=")
		kind, ok := parseKind(name)
		value, err := strconv.ParseFloat(weight, 64)
		if _, duplicate := weights[kind]; !ok || duplicate || err != nil || !(value >= 0 && value <= maxWeight) {
			return nil, fmt.Errorf("%q is not allowed; allowed: each of urgent, batch, gang, service once, as NAME=WEIGHT", part)
		}
		weights[kind] = value
		sum += value
	}
	if sum == 0 {
		return nil, fmt.Errorf("all weights are 0; allowed: one above 0")
	}
	return weights, nil
}

func parseKind(name string) (job.Kind, bool) {
	for _, k := range Kinds {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// selectKind maps x, from 0 to 1, to a kind in proportion to the weights.
func (w KindWeights) selectKind(x float64) job.Kind {
	sum := 0.0
	for _, k := range Kinds {
		sum += w[k]
	}
	x *= sum
	for _, k := range Kinds {
		if x -= w[k]; x < 0 {
			return k
		}
	}
	return Kinds[0]
}

// TaskShape holds the size and the mean run time of the tasks of a kind. CPU is in
// millicores and Memory in MiB.
type TaskShape struct {
	Count   uint32
	CPU     int64
	Memory  int64
	Runtime time.Duration
}

// DefaultShapes models the jobs of an order service. Urgent tasks compute quotes, batch
// tasks process the stock, gangs plan a section together, and services run for several
// seconds.
func DefaultShapes() map[job.Kind]TaskShape {
	return map[job.Kind]TaskShape{
		job.Urgent:  {Count: 1, CPU: 500, Memory: 256, Runtime: 50 * time.Millisecond},
		job.Batch:   {Count: 1, CPU: 1_000, Memory: 1_024, Runtime: 500 * time.Millisecond},
		job.Gang:    {Count: 4, CPU: 1_000, Memory: 1_024, Runtime: 500 * time.Millisecond},
		job.Service: {Count: 2, CPU: 500, Memory: 512, Runtime: 5 * time.Second},
	}
}

// Plan describes the jobs of a load run. Set the fields, then call Jobs.
type Plan struct {
	// Rate is the mean number of arrivals per second. Arrivals are independent of each
	// other.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Weights  KindWeights
	Shapes   map[job.Kind]TaskShape
	// OnceFraction is the fraction of the jobs, from 0 to 1, that may run at most once.
	OnceFraction float64
	// MeanAnswerBytes is the mean length of a task's answer.
	MeanAnswerBytes int
	// Deadline is the deadline of urgent jobs; 0 means none.
	Deadline time.Duration
	// IDPrefix is the prefix of every job id.
	IDPrefix string
}

// Job is one job of a load run.
type Job struct {
	// ArrivesAt is the arrival time, relative to the start of the run.
	ArrivesAt time.Duration
	Spec      *v1.Spec
	Kind      job.Kind
	// Runtime is the real run time of each task. A service is cancelled after it.
	Runtime time.Duration
	// AnswerBytes is the length of each task's answer.
	AnswerBytes int
}

const (
	// maxMeanMultiple limits drawn values to this multiple of their mean.
	maxMeanMultiple = 5
	// runtimeErrorSigma is the standard deviation of the logarithm of the ratio of
	// declared to real run time.
	runtimeErrorSigma = 0.5
	// rngStream selects the generator's stream, so that other generators with the same
	// seed draw other values. It spells "load" in ASCII.
	rngStream = 0x6c6f6164
)

// Jobs draws all jobs, ordered by arrival time.
func (p Plan) Jobs() []Job {
	rng := rand.New(rand.NewPCG(p.Seed, rngStream))
	var jobs []Job
	arrivesAt := time.Duration(0)
	for {
		arrivesAt += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if arrivesAt >= p.Duration {
			return jobs
		}
		jobs = append(jobs, p.drawJob(rng, len(jobs), arrivesAt))
	}
}

func (p Plan) drawJob(rng *rand.Rand, index int, arrivesAt time.Duration) Job {
	kind := p.Weights.selectKind(rng.Float64())
	shape := p.Shapes[kind]
	j := Job{ArrivesAt: arrivesAt, Kind: kind, Runtime: drawExponential(rng, shape.Runtime), AnswerBytes: int(drawExponential(rng, time.Duration(p.MeanAnswerBytes)))}
	// Declared run times are often wrong, and the cell has to tolerate it.
	declared := float64(j.Runtime.Milliseconds()) * math.Exp(rng.NormFloat64()*runtimeErrorSigma)
	once := rng.Float64() < p.OnceFraction && kind != job.Service
	j.Spec = &v1.Spec{
		Id: p.IDPrefix + strconv.Itoa(index), Kind: v1.Kind(kind), Name: "load-" + kind.String(), Count: shape.Count,
		Size:    &v1.Size{Cpu: shape.CPU, Memory: shape.Memory, Slots: 1},
		Runtime: uint64(max(1, declared)), Once: once,
	}
	if kind == job.Urgent {
		j.Spec.Deadline = uint64(p.Deadline.Milliseconds())
	}
	return j
}

// drawExponential draws a value from an exponential distribution with the given mean,
// limited to maxMeanMultiple times the mean.
func drawExponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(min(rng.ExpFloat64(), maxMeanMultiple) * float64(mean))
}
