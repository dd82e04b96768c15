package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/report"
	"gypsumreel/internal/load/rig"
)

const (
	// tail is how long outcomes are waited for after the last arrival.
	tail = 20 * time.Second
	// crossings of an urgent request: caller and server each come and go, and
	// both the acceptance and the answer go to the leader, to a quorum and back.
	clientCrossings = 4
	zoneCrossings   = 8
	// mean bytes of an answer.
	answerBytes = 1000
)

// loaded is a row about a cell under load.
type loaded struct {
	Part            string  `json:"part"`
	Place           string  `json:"place"`
	Rate            float64 `json:"rate"`
	TasksPerJob     uint32  `json:"tasks_per_job"`
	StartsPerSecond float64 `json:"starts_per_s"`
	// NetworkDelay is the part of the injected delays in an answer's time, in ms.
	NetworkDelay float64 `json:"network_ms"`
	// MeasuredDelays are the one-way delays as measured beside the load, in ms: zone and
	// client, median and 99th percentile.
	MeasuredDelays [4]float64 `json:"delayed_ms"`
	// AddedLatency is a job's time from arrival to answer less its run time and
	// Network, in ms.
	AddedLatency report.WaitStats `json:"added"`
	Start        report.WaitStats `json:"start"`
	Lag          report.WaitStats `json:"lag"`
	// LongestGap is the longest time without an answer while jobs arrived, in ms.
	LongestGap float64           `json:"gap_ms"`
	Violations report.Violations `json:"promises"`
	Counts     report.Counts     `json:"counts"`
	Refusals   map[string]int    `json:"refusals"`
	Usage      costs             `json:"costs"`
	Fault      string            `json:"fault,omitempty"`
	// CutOff are the calls without an answer of Pinned ones at single entries.
	CutOff      *int64 `json:"cut_off,omitempty"`
	PinnedCalls int64  `json:"pinned,omitempty"`
}

// flow is a load of one kind.
type flow struct {
	rate     float64
	duration time.Duration
	kind     job.Kind
	count    uint32
	runtime  time.Duration
	once     float64
}

func (f flow) jobs(prefix string) []mix.Job {
	return mix.Plan{
		Rate: f.rate, Duration: f.duration, Seed: 1, Weights: mix.KindWeights{f.kind: 1},
		Shapes:       map[job.Kind]mix.Shape{f.kind: {Count: f.count, CPU: 500, Memory: 256, Runtime: f.runtime}},
		OnceFraction: f.once, MeanAnswerBytes: answerBytes, IDPrefix: prefix,
	}.Jobs()
}

// drive loads a cell with a flow and returns the row and what became of each job.
func (b *bench) drive(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, f flow, prefix string) (loaded, error) {
	from, err := take(r)
	if err != nil {
		return loaded{}, err
	}
	client := r.CallerClient(token)
	d := &drive.Driver{Client: client, Jobs: f.jobs(prefix), Tail: tail}
	row := loaded{Part: prefix, Place: b.DelaySet, Rate: f.rate, TasksPerJob: f.count}
	var beside sync.WaitGroup
	for i, delay := range delays[b.DelaySet] {
		beside.Go(func() {
			median, late, _ := r.MeasureDelay(ctx, delay, f.duration) // a failed one shows as 0
			row.MeasuredDelays[2*i], row.MeasuredDelays[2*i+1] = ms(median), ms(late)
		})
	}
	began := time.Now()
	seen := d.Run(ctx)
	beside.Wait()
	sum := report.Summarize(report.RunInfo{}, began, seen, fleet.TaskRuns)
	row.Violations, row.Counts, row.Refusals = sum.Violations, sum.Counts, sum.Refusals
	row.Violations.ServerFaults = append(row.Violations.ServerFaults, fleet.ServerRecord.Violations()...)
	row.Start, row.Lag = sum.Kinds[f.kind.String()].Start, sum.Kinds[f.kind.String()].Lag
	path := clientCrossings*delays[b.DelaySet][1] + zoneCrossings*delays[b.DelaySet][0]
	row.NetworkDelay = ms(path)
	row.AddedLatency, row.LongestGap = added(seen, path), gap(seen, f.duration)
	row.StartsPerSecond = startsPerSecond(seen)
	if to, err := take(r); err == nil {
		row.Usage = between(r, from, to)
	}
	client.Transport.Close()
	return row, nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// added sums up what the cell adds to run time and network.
func added(seen []drive.JobResult, path time.Duration) report.WaitStats {
	const digits = 3
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), digits)
	for i := range seen {
		if s := &seen[i]; s.AnsweredAt > 0 && s.Outcome == v1.Outcome_OUTCOME_DONE {
			d := s.AnsweredAt - s.Job.ArrivesAt - s.Job.Runtime - path
			_ = h.RecordValue(max(1, d.Microseconds())) // below the bound: never fails
		}
	}
	at := func(q float64) float64 { return ms(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond) }
	return report.WaitStats{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: ms(time.Duration(h.Max()) * time.Microsecond),
	}
}

// gap returns the longest time without an answer while jobs arrived, in ms.
func gap(seen []drive.JobResult, duration time.Duration) float64 {
	var at []time.Duration
	for i := range seen {
		if seen[i].AnsweredAt > 0 {
			at = append(at, seen[i].AnsweredAt)
		}
	}
	slices.Sort(at)
	longest, last := time.Duration(0), time.Duration(0)
	for _, t := range at {
		if last > duration {
			break
		}
		longest, last = max(longest, t-last), t
	}
	return ms(longest)
}

// startsPerSecond counts the tasks of jobs that ran, over the time to the last answer.
func startsPerSecond(seen []drive.JobResult) float64 {
	var last time.Duration
	n := 0.0
	for i := range seen {
		if s := &seen[i]; s.Outcome == v1.Outcome_OUTCOME_DONE && caller.IsFinal(s.Outcome) {
			n += float64(s.Job.Spec.GetCount())
			last = max(last, s.AnsweredAt)
		}
	}
	if last == 0 {
		return 0
	}
	return n / last.Seconds()
}

// served runs fn on a fresh cell with its backend servers and a team.
func (b *bench) served(ctx context.Context, fn func(context.Context, *rig.Rig, *rig.Fleet, string) error) error {
	return b.cell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
		token, err := r.CreateTeam(ctx, "measured")
		if err != nil {
			return err
		}
		fleet, err := r.StartFleet(ctx, b.Servers, size(b.Slots))
		if err != nil {
			return err
		}
		defer fleet.Close()
		return fn(ctx, r, fleet, token)
	})
}

// warm lets connections and estimates settle before a measure.
func (b *bench) warm(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
	_, err := b.drive(ctx, r, fleet, token, flow{rate: 200, duration: 2 * time.Second, kind: job.Urgent, count: 1, runtime: 20 * time.Millisecond}, "warm-")
	return err
}

// latency measures urgent requests.
func latency(ctx context.Context, b *bench) error {
	for _, rate := range b.Rates {
		err := b.served(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			if err := b.warm(ctx, r, fleet, token); err != nil {
				return err
			}
			row, err := b.drive(ctx, r, fleet, token, flow{rate: rate, duration: b.Duration, kind: job.Urgent, count: 1, runtime: 50 * time.Millisecond}, "latency-")
			if err != nil {
				return err
			}
			return emit(row)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// tasksPerJob are the sizes of jobs at which the most starts are looked for.
var tasksPerJob = []uint32{1, 10}

// starts measures how many tasks a cell starts a second: the rates are those of
// tasks, and what comes of them is the figure.
func starts(ctx context.Context, b *bench) error {
	for _, count := range tasksPerJob {
		for _, rate := range b.Rates {
			err := b.served(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
				if err := b.warm(ctx, r, fleet, token); err != nil {
					return err
				}
				f := flow{rate: rate / float64(count), duration: b.Duration, kind: job.Batch, count: count, runtime: 10 * time.Millisecond}
				row, err := b.drive(ctx, r, fleet, token, f, fmt.Sprintf("starts-%d-", count))
				if err != nil {
					return err
				}
				return emit(row)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
