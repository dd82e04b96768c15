package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Sizes of the case of the wave.
const (
	waveServers = 8
	// waveKind is the number of servers of the kind that the service needs, waveCap the number of
	// machines that may have their upkeep at once.
	waveKind  = 2
	waveCap   = 2
	waveTasks = 4
	// waveApart is how many tasks of the service may run on one server.
	waveApart = 3
	// waveTime is the time that the operator gives for the wave, watchTime how long it is watched.
	waveTime  = 60 * time.Second
	watchTime = 30 * time.Second
	// serviceGrace and serviceWait are from the rule: from 6 s after its last run on, a task that lasts
	// must not be away for 3 s.
	serviceGrace = 6 * time.Second
	serviceWait  = 3 * time.Second
)

func init() { cases["wave"] = playWave }

// playWave hands a service in that runs on the servers of one kind and can miss one of its tasks, and
// then a short job for the same servers. With the disruption, the operator asks in between for the
// upkeep of all machines, two at a time at most.
func playWave(ctx context.Context, c *cell, trouble bool) error {
	const id, batch = "00000000000000a7", "00000000000000a8"
	c.otherKind = waveKind
	o, err := c.startCloud()
	if err != nil {
		return err
	}
	defer func() { _ = o.listener.Close() }()
	if err := c.start(ctx, waveServers); err != nil {
		return err
	}
	for _, s := range c.servers {
		s.outcome = func(task string, _ int) (time.Duration, string) {
			if jobOf(task) == batch {
				return time.Second, "done"
			}
			return 0, ""
		}
	}
	if err := c.submit(ctx, builderKey, "/quick/"+id, []map[string]any{{
		word("count"): waveTasks, word("cpu"): 2000, word("memory"): 512, word("lasting"): true, word("requirement"): "b", word("mayMiss"): 1, word("apart"): waveApart,
	}}); err != nil {
		return err
	}
	if err := c.await(ctx, 10*time.Second, "all tasks of the service are at work", func() bool { return c.atWork(id) == waveTasks }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		var machines []string
		for _, s := range c.servers {
			machines = append(machines, s.machine)
		}
		body, err := json.Marshal(map[string]any{word("wave"): 1, word("machines"): machines, word("duration"): waveTime.Seconds(), word("cap"): waveCap})
		if err != nil {
			return err
		}
		if err := c.await(ctx, 5*time.Second, "the wave is acknowledged", func() bool {
			status, _ := c.callControl(ctx, 0, http.MethodPost, "/wave-start", body)
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	lastRun, told := map[string]time.Time{}, map[string]bool{}
	for i := range waveTasks {
		lastRun[fmt.Sprintf("%s.0.0.%d", id, i)] = time.Now()
	}
	time.Sleep(2 * time.Second)
	if err := c.submit(ctx, builderKey, "/plan/"+batch, []map[string]any{{word("count"): 1, word("cpu"): 1000, word("memory"): 256, word("estimate"): 1000, word("requirement"): "b"}}); err != nil {
		return err
	}
	traffic, toldBatch := time.Now(), false // nothing is sent any more
	for end := traffic.Add(watchTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if time.Since(traffic) > finishTime+awayTime && !c.hasBegun(batch) && !toldBatch {
			toldBatch = true
			c.broken("LOST: job %s, accepted %.1f s ago, has nothing running, while the %d servers of the kind that it needs are up and sound and have room for it:%s", batch, time.Since(traffic).Seconds(), waveKind, c.use())
		}
		for task, last := range lastRun {
			for _, s := range c.servers {
				if _, _, ok := s.has(task); ok {
					last = time.Now()
				}
			}
			lastRun[task] = last
			if away := time.Since(last); away > serviceGrace+serviceWait && time.Since(traffic) > finishTime+awayTime && !told[task] {
				told[task] = true
				c.broken("LOST: task %s, which lasts, has not run for %.1f s, %.1f s after the last call, while the %d servers of its kind are up and sound and have room for it:%s",
					task, away.Seconds(), time.Since(traffic).Seconds(), waveKind, c.use())
			}
		}
	}
	for task, last := range lastRun {
		c.note("task %s: away for %.1f s at the end", task, time.Since(last).Seconds())
	}
	status, text := c.callControl(ctx, 0, http.MethodGet, "/wave-get/1", nil)
	c.note("operator: GET /wave-get/1 answered %d %s", status, text)
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	return nil
}

// atWork returns the number of runs of a job.
func (c *cell) atWork(job string) (n int) {
	for _, s := range c.servers {
		s.mu.Lock()
		for task := range s.life.runs {
			if jobOf(task) == job {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
