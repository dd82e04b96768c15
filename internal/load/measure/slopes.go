package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/rig"
	"gypsumreel/internal/load/work"
)

// The slopes are measured at these sizes.
var (
	slopeRates        = []float64{50, 200, 800, 1600}
	slopeServerCounts = []int{0, 50, 100, 200}
	slopeTaskCounts   = []int{0, 1000, 2000, 3000}
	slopeFleetSizes   = []int{0, 100, 200, 400}
)

// point is a measured value at one size.
type point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// slope is a straight line fitted to measured points.
type slope struct {
	Name string `json:"what"`
	Unit string `json:"unit"`
	// Slope is the cost of one more unit of size, and Intercept the cost at size 0.
	Slope     float64 `json:"per"`
	Intercept float64 `json:"at0"`
	Points    []point `json:"points"`
}

// fitLine fits a line by least squares.
func fitLine(name, unit string, points []point) slope {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+p.Size, sumY+p.Value, sumXX+p.Size*p.Size, sumXY+p.Size*p.Value
	}
	gradient := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope{Name: name, Unit: unit, Slope: gradient, Intercept: (sumY - gradient*sumX) / n, Points: points}
}

// lineSet collects points by name and fits a line for each name, in the order of first
// use.
type lineSet struct {
	names  []string
	units  map[string]string
	points map[string][]point
}

func (l *lineSet) add(name, unit string, size, value float64) {
	if l.points == nil {
		l.units, l.points = map[string]string{}, map[string][]point{}
	}
	if l.points[name] == nil {
		l.names = append(l.names, name)
	}
	l.units[name] = unit
	l.points[name] = append(l.points[name], point{size, value})
}

func (l *lineSet) print() error {
	for _, name := range l.names {
		if err := printRow(fitLine(name, l.units[name], l.points[name])); err != nil {
			return err
		}
	}
	return nil
}

// measureSlopes measures the cost of one more start, idle server and running task.
func measureSlopes(ctx context.Context, m *measurement) error {
	lines := &lineSet{}
	for _, part := range strings.Split(m.Slopes, ",") {
		fn, ok := map[string]func(context.Context, *measurement, *lineSet) error{"start": measureStartCost, "server": measureIdleServerCost, "memory": measureMemory}[part]
		if !ok {
			return fmt.Errorf("unknown slope %q", part)
		}
		if err := fn(ctx, m, lines); err != nil {
			return err
		}
	}
	return lines.print()
}

// microsPerSecond converts cores, which are seconds per second, to microseconds per
// second.
const microsPerSecond = 1e6

// measureStartCost measures the processor time and traffic per started task.
func measureStartCost(ctx context.Context, m *measurement, lines *lineSet) error {
	for _, rate := range slopeRates {
		err := m.withServers(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			if err := m.warmUp(ctx, r, fleet, token); err != nil {
				return err
			}
			row, err := m.runLoad(ctx, r, fleet, token, loadSpec{rate: rate, duration: m.Duration, kind: job.Urgent, tasksPerJob: 1, runtime: 50 * time.Millisecond}, "slope-")
			usage := row.Usage
			lines.add("cpu of the leader per start", "us", row.StartsPerSecond, usage.Leader.CPU*microsPerSecond)
			lines.add("cpu of a follower per start", "us", row.StartsPerSecond, usage.Follower.CPU*microsPerSecond/(replicas-1))
			lines.add("cpu of the entries per start, all together", "us", row.StartsPerSecond, usage.Entry.CPU*microsPerSecond)
			lines.add("bytes at the leader's listener per start", "B", row.StartsPerSecond, usage.Leader.Bytes)
			lines.add("bytes at a follower's listener per start", "B", row.StartsPerSecond, usage.Follower.Bytes/(replicas-1))
			lines.add("bytes at the entries' listeners per start, all together", "B", row.StartsPerSecond, usage.Entry.Bytes)
			lines.add("bytes between entries and servers per start", "B", row.StartsPerSecond, usage.BackendBytes)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureIdleServerCost measures the processor time and traffic per idle backend server.
func measureIdleServerCost(ctx context.Context, m *measurement, lines *lineSet) error {
	for _, n := range slopeServerCounts {
		err := m.withCell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			row, err := m.runIdle(ctx, r, n)
			usage, servers := row.Usage, float64(n)
			lines.add("cpu of the leader per idle server and second", "us", servers, usage.Leader.CPU*microsPerSecond)
			lines.add("cpu of a follower per idle server and second", "us", servers, usage.Follower.CPU*microsPerSecond/(replicas-1))
			lines.add("cpu of the entries per idle server and second, all together", "us", servers, usage.Entry.CPU*microsPerSecond)
			lines.add("bytes between entry and idle server per second", "B", servers, usage.BackendBytes)
			lines.add("bytes at the leader's listener per idle server and second", "B", servers, usage.Leader.Bytes)
			lines.add("bytes at an idle follower's listener per second, by servers", "B", servers, usage.Follower.Bytes/(replicas-1))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureMemory measures the resident memory per running task and per backend server.
// The garbage collector keeps some unused memory, so the slope is an upper bound of the
// memory that a task or server needs.
func measureMemory(ctx context.Context, m *measurement, lines *lineSet) error {
	for _, n := range slopeTaskCounts {
		err := m.withCell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			token, err := r.CreateTeam(ctx, "measured")
			if err != nil {
				return err
			}
			fleet, err := r.StartFleet(ctx, m.Servers, serverCapacity(int64(slopeTaskCounts[len(slopeTaskCounts)-1])))
			if err != nil {
				return err
			}
			defer fleet.Close()
			if err := startLongTasks(ctx, r, fleet, token, n); err != nil {
				return err
			}
			return addMemoryPoints(ctx, r, lines, "running tasks", float64(n)/1000)
		})
		if err != nil {
			return err
		}
	}
	for _, n := range slopeFleetSizes {
		err := m.withCell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			fleet, err := r.StartFleet(ctx, n, serverCapacity(m.Slots))
			if err != nil {
				return err
			}
			defer fleet.Close()
			return addMemoryPoints(ctx, r, lines, "servers", float64(n)/1000)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func addMemoryPoints(ctx context.Context, r *rig.Rig, lines *lineSet, subject string, size float64) error {
	transport.Sleep(ctx, rig.SettleTime)
	sample, err := takeSample(r)
	usage := usageBetween(r, sample, sample)
	lines.add("resident memory of the leader per 1,000 "+subject, "MiB", size, usage.Leader.RSS)
	lines.add("resident memory of a follower per 1,000 "+subject, "MiB", size, usage.Follower.RSS)
	lines.add("resident memory of an entry per 1,000 "+subject, "MiB", size, usage.Entry.RSS)
	return err
}

// startLongTasks submits n tasks that run for an hour and waits until all have
// started.
func startLongTasks(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, n int) error {
	const tasksPerJob, jobsPerCall = 10, 50
	client := r.CallerClient(token)
	defer client.Transport.Close()
	var ids []string
	for first := 0; first < n; first += tasksPerJob * jobsPerCall {
		var jobs []*v1.Spec
		for i := first; i < min(n, first+tasksPerJob*jobsPerCall); i += tasksPerJob {
			id := fmt.Sprintf("held-%d", i)
			ids = append(ids, id)
			jobs = append(jobs, &v1.Spec{
				Id: id, Kind: v1.Kind(job.Batch), Name: "held", Count: tasksPerJob, Size: &v1.Size{Cpu: 1, Memory: 1, Slots: 1},
				Runtime: uint64(time.Hour.Milliseconds()), Input: work.Input{ID: id, Runtime: time.Hour}.Encode(),
			})
		}
		if _, err := client.Submit(ctx, jobs, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for _, id := range ids {
		for running := 0; running < tasksPerJob; {
			running = 0
			for _, attempts := range fleet.TaskRecorder.JobAttempts(id, tasksPerJob) {
				running += attempts.Started
			}
			if running < tasksPerJob && !transport.Sleep(ctx, taskPollInterval) {
				return fmt.Errorf("job %s: %d of %d tasks started (limit %s)", id, running, tasksPerJob, outcomeTimeout)
			}
		}
	}
	return nil
}

const taskPollInterval = 10 * time.Millisecond
