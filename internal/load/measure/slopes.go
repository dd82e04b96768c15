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

// Sizes at which the slopes are measured.
var (
	slopeRates   = []float64{50, 200, 800, 1600}
	slopeServers = []int{0, 50, 100, 200}
	slopeTasks   = []int{0, 1000, 2000, 3000}
	slopeFleets  = []int{0, 100, 200, 400}
)

// point is one measured size and value, slope the line through all of them.
type point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// slope is a fitted line.
type slope struct {
	Name string `json:"what"`
	Unit string `json:"unit"`
	// Slope is the value that one more of the size costs, At0 that of none.
	Slope     float64 `json:"per"`
	Intercept float64 `json:"at0"`
	Points    []point `json:"points"`
}

// fit draws the line with the least squares.
func fit(what, unit string, points []point) slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n, sx, sy, sxx, sxy = n+1, sx+p.Size, sy+p.Value, sxx+p.Size*p.Size, sxy+p.Size*p.Value
	}
	per := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope{Name: what, Unit: unit, Slope: per, Intercept: (sy - per*sx) / n, Points: points}
}

// lines gathers points under their names and fits them in the order they came.
type lines struct {
	order []string
	unit  map[string]string
	at    map[string][]point
}

func (l *lines) add(what, unit string, size, value float64) {
	if l.at == nil {
		l.unit, l.at = map[string]string{}, map[string][]point{}
	}
	if l.at[what] == nil {
		l.order = append(l.order, what)
	}
	l.unit[what] = unit
	l.at[what] = append(l.at[what], point{size, value})
}

func (l *lines) emit() error {
	for _, what := range l.order {
		if err := emit(fit(what, l.unit[what], l.at[what])); err != nil {
			return err
		}
	}
	return nil
}

// slopes measures what one more start, server, sync and running task costs.
func slopes(ctx context.Context, b *bench) error {
	l := &lines{}
	for _, part := range strings.Split(b.Slopes, ",") {
		fn, ok := map[string]func(context.Context, *bench, *lines) error{"start": perStart, "server": perServer, "memory": perTask}[part]
		if !ok {
			return fmt.Errorf("slope %q is not known", part)
		}
		if err := fn(ctx, b, l); err != nil {
			return err
		}
	}
	return l.emit()
}

const micro = 1e6

func perStart(ctx context.Context, b *bench, l *lines) error {
	for _, rate := range slopeRates {
		err := b.served(ctx, func(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string) error {
			if err := b.warm(ctx, r, fleet, token); err != nil {
				return err
			}
			row, err := b.drive(ctx, r, fleet, token, flow{rate: rate, duration: b.Duration, kind: job.Urgent, count: 1, runtime: 50 * time.Millisecond}, "slope-")
			c := row.Usage
			l.add("cpu of the leader per start", "us", row.StartsPerSecond, c.Leader.CPU*micro)
			l.add("cpu of a follower per start", "us", row.StartsPerSecond, c.Follower.CPU*micro/(replicas-1))
			l.add("cpu of the entries per start, all together", "us", row.StartsPerSecond, c.Entry.CPU*micro)
			l.add("bytes at the leader's listener per start", "B", row.StartsPerSecond, c.Leader.Bytes)
			l.add("bytes at a follower's listener per start", "B", row.StartsPerSecond, c.Follower.Bytes/(replicas-1))
			l.add("bytes at the entries' listeners per start, all together", "B", row.StartsPerSecond, c.Entry.Bytes)
			l.add("bytes between entries and servers per start", "B", row.StartsPerSecond, c.BackendBytes)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func perServer(ctx context.Context, b *bench, l *lines) error {
	for _, n := range slopeServers {
		err := b.cell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			row, err := b.rest(ctx, r, n)
			c, x := row.Usage, float64(n)
			l.add("cpu of the leader per idle server and second", "us", x, c.Leader.CPU*micro)
			l.add("cpu of a follower per idle server and second", "us", x, c.Follower.CPU*micro/(replicas-1))
			l.add("cpu of the entries per idle server and second, all together", "us", x, c.Entry.CPU*micro)
			l.add("bytes between entry and idle server per second", "B", x, c.BackendBytes)
			l.add("bytes at the leader's listener per idle server and second", "B", x, c.Leader.Bytes)
			l.add("bytes at an idle follower's listener per second, by servers", "B", x, c.Follower.Bytes/(replicas-1))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// perTask measures resident memory, of which the collector keeps a part that is
// not in use: a slope of it is an upper bound of what a task needs.
func perTask(ctx context.Context, b *bench, l *lines) error {
	for _, n := range slopeTasks {
		err := b.cell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			token, err := r.CreateTeam(ctx, "measured")
			if err != nil {
				return err
			}
			fleet, err := r.StartFleet(ctx, b.Servers, size(int64(slopeTasks[len(slopeTasks)-1])))
			if err != nil {
				return err
			}
			defer fleet.Close()
			if err := hold(ctx, r, fleet, token, n); err != nil {
				return err
			}
			return resident(ctx, r, l, "running tasks", float64(n)/1000)
		})
		if err != nil {
			return err
		}
	}
	for _, n := range slopeFleets {
		err := b.cell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
			fleet, err := r.StartFleet(ctx, n, size(b.Slots))
			if err != nil {
				return err
			}
			defer fleet.Close()
			return resident(ctx, r, l, "servers", float64(n)/1000)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func resident(ctx context.Context, r *rig.Rig, l *lines, what string, size float64) error {
	transport.Sleep(ctx, rig.SettleTime)
	s, err := take(r)
	c := between(r, s, s)
	l.add("resident memory of the leader per 1,000 "+what, "MiB", size, c.Leader.RSS)
	l.add("resident memory of a follower per 1,000 "+what, "MiB", size, c.Follower.RSS)
	l.add("resident memory of an entry per 1,000 "+what, "MiB", size, c.Entry.RSS)
	return err
}

// hold submits n tasks that run until the fleet ends and waits until all run.
func hold(ctx context.Context, r *rig.Rig, fleet *rig.Fleet, token string, n int) error {
	const perJob, perCall = 10, 50
	client := r.CallerClient(token)
	defer client.Transport.Close()
	var ids []string
	for first := 0; first < n; first += perJob * perCall {
		var jobs []*v1.Spec
		for i := first; i < min(n, first+perJob*perCall); i += perJob {
			id := fmt.Sprintf("held-%d", i)
			ids = append(ids, id)
			jobs = append(jobs, &v1.Spec{
				Id: id, Kind: v1.Kind(job.Batch), Name: "held", Count: perJob, Size: &v1.Size{Cpu: 1, Memory: 1, Slots: 1},
				Runtime: uint64(time.Hour.Milliseconds()), Input: work.Input{ID: id, Runtime: time.Hour}.Encode(),
			})
		}
		if _, err := client.Submit(ctx, jobs, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, tail)
	defer cancel()
	for _, id := range ids {
		for running := 0; running < perJob; {
			running = 0
			for _, one := range fleet.TaskRuns.JobRuns(id, perJob) {
				running += one.Started
			}
			if running < perJob && !transport.Sleep(ctx, askPause) {
				return fmt.Errorf("%s: %d of %d tasks run", id, running, perJob)
			}
		}
	}
	return nil
}

const askPause = 10 * time.Millisecond
