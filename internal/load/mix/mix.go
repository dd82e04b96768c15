// Package mix makes the jobs of a load run: which kinds, when, how large. The
// same seed makes the same jobs.
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

// KindWeights holds the weight of each kind among the arrivals.
type KindWeights map[job.Kind]float64

// Kinds are all kinds in the order of reports.
var Kinds = []job.Kind{job.Urgent, job.Batch, job.Gang, job.Service}

// maxWeight bounds the weight of a kind.
const maxWeight = 1_000_000

// ParseKindWeights reads weights such as urgent=70,batch=25,gang=4,service=1.
func ParseKindWeights(text string) (KindWeights, error) {
	out, sum := KindWeights{}, 0.0
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(strings.TrimSpace(part), "=")
		kind, ok := kindOf(name)
		f, err := strconv.ParseFloat(weight, 64)
		if _, twice := out[kind]; !ok || twice || err != nil || !(f >= 0 && f <= maxWeight) {
			return nil, fmt.Errorf("%q is not allowed; allowed: each of urgent, batch, gang, service once, as NAME=WEIGHT", part)
		}
		out[kind] = f
		sum += f
	}
	if sum == 0 {
		return nil, fmt.Errorf("all weights are 0; allowed: one above 0")
	}
	return out, nil
}

func kindOf(name string) (job.Kind, bool) {
	for _, k := range Kinds {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// pick returns a kind for x from 0 to 1.
func (s KindWeights) pick(x float64) job.Kind {
	sum := 0.0
	for _, k := range Kinds {
		sum += s[k]
	}
	x *= sum
	for _, k := range Kinds {
		if x -= s[k]; x < 0 {
			return k
		}
	}
	return Kinds[0]
}

// Shape is the size and mean run time of a kind's tasks.
type Shape struct {
	Count   uint32
	CPU     int64
	Memory  int64
	Runtime time.Duration
}

// DefaultShapes are like the work of an order service: quotes, stock runs,
// plans for whole sections, and a service that stays for a while.
func DefaultShapes() map[job.Kind]Shape {
	return map[job.Kind]Shape{
		job.Urgent:  {Count: 1, CPU: 500, Memory: 256, Runtime: 50 * time.Millisecond},
		job.Batch:   {Count: 1, CPU: 1_000, Memory: 1_024, Runtime: 500 * time.Millisecond},
		job.Gang:    {Count: 4, CPU: 1_000, Memory: 1_024, Runtime: 500 * time.Millisecond},
		job.Service: {Count: 2, CPU: 500, Memory: 512, Runtime: 5 * time.Second},
	}
}

// Plan says what a run submits. Set the fields, then call Jobs.
type Plan struct {
	// Rate is the mean number of arrivals a second; they are independent.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Weights  KindWeights
	Shapes   map[job.Kind]Shape
	// OnceFraction is the part of the jobs, 0 to 1, that may run at most once.
	OnceFraction float64
	// MeanAnswerBytes is the mean length of a task's answer in bytes.
	MeanAnswerBytes int
	// Deadline is that of urgent jobs; 0 for none.
	Deadline time.Duration
	// IDPrefix begins every id.
	IDPrefix string
}

// Job is one arrival.
type Job struct {
	// ArrivesAt is when it arrives, from the start of the run.
	ArrivesAt time.Duration
	Spec      *v1.Spec
	Kind      job.Kind
	// Runtime is how long each task really runs; a service is cancelled then.
	Runtime time.Duration
	// AnswerBytes is the length of each task's answer in bytes.
	AnswerBytes int
}

const (
	// longest bounds a drawn value in multiples of its mean.
	longest = 5
	// spread is the standard deviation of the logarithm of declared over real run time.
	spread = 0.5
	// streams keeps the generator apart from others of the same seed.
	streams = 0x6c6f6164
)

// Jobs draws all arrivals in the order of their times.
func (p Plan) Jobs() []Job {
	r := rand.New(rand.NewPCG(p.Seed, streams))
	var out []Job
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		out = append(out, p.job(r, len(out), at))
	}
}

func (p Plan) job(r *rand.Rand, n int, at time.Duration) Job {
	kind := p.Weights.pick(r.Float64())
	shape := p.Shapes[kind]
	j := Job{ArrivesAt: at, Kind: kind, Runtime: drawn(r, shape.Runtime), AnswerBytes: int(drawn(r, time.Duration(p.MeanAnswerBytes)))}
	// Declared run times are often far off; the cell has to live with it.
	declared := float64(j.Runtime.Milliseconds()) * math.Exp(r.NormFloat64()*spread)
	once := r.Float64() < p.OnceFraction && kind != job.Service
	j.Spec = &v1.Spec{
		Id: p.IDPrefix + strconv.Itoa(n), Kind: v1.Kind(kind), Name: "load-" + kind.String(), Count: shape.Count,
		Size:    &v1.Size{Cpu: shape.CPU, Memory: shape.Memory, Slots: 1},
		Runtime: uint64(max(1, declared)), Once: once,
	}
	if kind == job.Urgent {
		j.Spec.Deadline = uint64(p.Deadline.Milliseconds())
	}
	return j
}

// drawn returns a value with an exponential distribution of the mean given.
func drawn(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(min(r.ExpFloat64(), longest) * float64(mean))
}
