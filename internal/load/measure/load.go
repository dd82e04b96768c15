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
	// outcomeTimeout is how long outcomes are awaited after the last arrival.
	outcomeTimeout = 20 * time.Second
	// An urgent request crosses the client link four times: the request and the answer
	// of the caller, and the order to and the result from the backend server. It crosses
	// the zone link eight times, because both the acceptance and the answer go to the
	// leader, from there to a quorum, and back.
	clientCrossings = 4
	zoneCrossings   = 8
	// answerBytes is the mean length of an answer.
	answerBytes = 1000
)

// loadRow is the output row of a cell under load.
type loadRow struct {
	Measurement     string  `json:"part"`
	DelaySet        string  `json:"place"`
	Rate            float64 `json:"rate"`
	TasksPerJob     uint32  `json:"tasks_per_job"`
	StartsPerSecond float64 `json:"starts_per_s"`
	// NetworkDelay is the sum of the injected delays on the path of a request, in ms.
	NetworkDelay float64 `json:"network_ms"`
	// MeasuredDelays holds the one-way delays measured during the load, in ms: median
	// and 99th percentile of the zone delay, then of the client delay.
	MeasuredDelays [4]float64 `json:"delayed_ms"`
	// AddedLatency is the time from arrival to answer minus the run time and
	// NetworkDelay, in ms.
	AddedLatency report.WaitStats `json:"added"`
	Start        report.WaitStats `json:"start"`
	Lag          report.WaitStats `json:"lag"`
	// LongestGap is the longest time without an answer while jobs arrived, in ms.
	LongestGap float64           `json:"gap_ms"`
	Violations report.Violations `json:"promises"`
	Counts     report.Counts     `json:"counts"`
	Refusals   map[string]int    `json:"refusals"`
	Usage      cellUsage         `json:"costs"`
	Fault      string            `json:"fault,omitempty"`
	// PinnedCalls counts the calls of callers that use one entry each, and
	// UnansweredPinnedCalls counts those of them that got no answer.
	UnansweredPinnedCalls *int64 `json:"cut_off,omitempty"`
	PinnedCalls           int64  `json:"pinned,omitempty"`
}

// loadSpec describes a load with jobs of one kind.
type loadSpec struct {
	rate         float64
	duration     time.Duration
	kind         job.Kind
	tasksPerJob  uint32
	runtime      time.Duration
	onceFraction float64
}

func (s loadSpec) drawJobs(prefix string) []mix.Job {
	return mix.Plan{
		Rate: s.rate, Duration: s.duration, Seed: 1, Weights: mix.KindWeights{s.kind: 1},
		Shapes:       map[job.Kind]mix.TaskShape{s.kind: {Count: s.tasksPerJob, CPU: 500, Memory: 256, Runtime: s.runtime}},
		OnceFraction: s.onceFraction, MeanAnswerBytes: answerBytes, IDPrefix: prefix,
	}.Jobs()
}

// runLoad puts a cell under the load of spec and returns the output row.
func (m *measurement) runLoad(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, spec loadSpec, prefix string) (loadRow, error) {
	before, err := takeSample(r)
	if err != nil {
		return loadRow{}, err
	}
	client := r.CallerClient(token)
	driver := &drive.Driver{Client: client, Jobs: spec.drawJobs(prefix), OutcomeTimeout: outcomeTimeout}
	row := loadRow{Measurement: prefix, DelaySet: m.DelaySet, Rate: spec.rate, TasksPerJob: spec.tasksPerJob}
	var delayMeasurements sync.WaitGroup
	for i, delay := range delays[m.DelaySet] {
		delayMeasurements.Go(func() {
			median, p99, _ := r.MeasureDelay(ctx, delay, spec.duration) // a failed measurement shows as 0
			row.MeasuredDelays[2*i], row.MeasuredDelays[2*i+1] = toMillis(median), toMillis(p99)
		})
	}
	startedAt := time.Now()
	results := driver.Run(ctx)
	delayMeasurements.Wait()
	summary := report.Summarize(report.RunInfo{}, startedAt, results, fleet.TaskRecorder)
	row.Violations, row.Counts, row.Refusals = summary.Violations, summary.Counts, summary.Refusals
	row.Violations.ServerFaults = append(row.Violations.ServerFaults, fleet.ServerRecorder.Violations()...)
	row.Start, row.Lag = summary.Kinds[spec.kind.String()].Start, summary.Kinds[spec.kind.String()].Lag
	networkDelay := clientCrossings*delays[m.DelaySet][1] + zoneCrossings*delays[m.DelaySet][0]
	row.NetworkDelay = toMillis(networkDelay)
	row.AddedLatency, row.LongestGap = addedLatency(results, networkDelay), longestGap(results, spec.duration)
	row.StartsPerSecond = startsPerSecond(results)
	if after, err := takeSample(r); err == nil {
		row.Usage = usageBetween(r, before, after)
	}
	client.Transport.Close()
	return row, nil
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// addedLatency returns the statistics of the time that the cell adds to run time and
// network delay.
func addedLatency(results []drive.JobResult, networkDelay time.Duration) report.WaitStats {
	const digits = 3
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), digits)
	for i := range results {
		if result := &results[i]; result.AnsweredAt > 0 && result.Outcome == v1.Outcome_OUTCOME_DONE {
			d := result.AnsweredAt - result.Job.ArrivesAt - result.Job.Runtime - networkDelay
			_ = h.RecordValue(max(1, d.Microseconds())) // cannot fail: the value is below the maximum
		}
	}
	quantile := func(q float64) float64 { return toMillis(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond) }
	return report.WaitStats{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: toMillis(time.Duration(h.Max()) * time.Microsecond),
	}
}

// longestGap returns the longest time without an answer while jobs arrived, in ms.
func longestGap(results []drive.JobResult, duration time.Duration) float64 {
	var answeredAt []time.Duration
	for i := range results {
		if results[i].AnsweredAt > 0 {
			answeredAt = append(answeredAt, results[i].AnsweredAt)
		}
	}
	slices.Sort(answeredAt)
	longest, previous := time.Duration(0), time.Duration(0)
	for _, t := range answeredAt {
		if previous > duration {
			break
		}
		longest, previous = max(longest, t-previous), t
	}
	return toMillis(longest)
}

// startsPerSecond returns the number of tasks of finished jobs divided by the time
// until the last answer.
func startsPerSecond(results []drive.JobResult) float64 {
	var lastAnswer time.Duration
	startedTasks := 0.0
	for i := range results {
		if result := &results[i]; result.Outcome == v1.Outcome_OUTCOME_DONE && caller.IsFinal(result.Outcome) {
			startedTasks += float64(result.Job.Spec.GetCount())
			lastAnswer = max(lastAnswer, result.AnsweredAt)
		}
	}
	if lastAnswer == 0 {
		return 0
	}
	return startedTasks / lastAnswer.Seconds()
}

// withServers runs fn on a new cell with a team and backend servers.
func (m *measurement) withServers(ctx context.Context, fn func(context.Context, *rig.Rig, *rig.Fleet, string) error) error {
	return m.withCell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
		token, err := r.CreateTeam(ctx, "measured")
		if err != nil {
			return err
		}
		fleet, err := r.StartFleet(ctx, m.Servers, serverCapacity(m.Slots))
		if err != nil {
			return err
		}
		defer fleet.Close()
		return fn(ctx, r, fleet, token)
	})
}

// warmUp runs a short load before a measurement, so that connections are open and
// run-time estimates exist.
func (m *measurement) warmUp(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
	_, err := m.runLoad(ctx, r, fleet, token, loadSpec{rate: 200, duration: 2 * time.Second, kind: job.Urgent, tasksPerJob: 1, runtime: 20 * time.Millisecond}, "warm-")
	return err
}

// measureLatency measures the latency of urgent requests at each rate.
func measureLatency(ctx context.Context, m *measurement) error {
	for _, rate := range m.Rates {
		err := m.withServers(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			if err := m.warmUp(ctx, r, fleet, token); err != nil {
				return err
			}
			row, err := m.runLoad(ctx, r, fleet, token, loadSpec{rate: rate, duration: m.Duration, kind: job.Urgent, tasksPerJob: 1, runtime: 50 * time.Millisecond}, "latency-")
			if err != nil {
				return err
			}
			return printRow(row)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// taskCountsPerJob holds the numbers of tasks per job at which the start rate is measured.
var taskCountsPerJob = []uint32{1, 10}

// measureStarts measures how many tasks a cell starts per second. The offered rates
// count tasks, and the result is the reached rate.
func measureStarts(ctx context.Context, m *measurement) error {
	for _, count := range taskCountsPerJob {
		for _, rate := range m.Rates {
			err := m.withServers(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
				if err := m.warmUp(ctx, r, fleet, token); err != nil {
					return err
				}
				spec := loadSpec{rate: rate / float64(count), duration: m.Duration, kind: job.Batch, tasksPerJob: count, runtime: 10 * time.Millisecond}
				row, err := m.runLoad(ctx, r, fleet, token, spec, fmt.Sprintf("starts-%d-", count))
				if err != nil {
					return err
				}
				return printRow(row)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
