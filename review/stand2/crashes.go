package main

import (
	"context"
	"errors"
	"time"
)

// Sizes of the case of the crashes.
const (
	crashServers  = 8
	crashCount    = 4
	crashRuntime  = 6 * time.Second
	crashDowntime = 2 * time.Second
)

func init() { cases["crashes"] = playCrashes }

// playCrashes hands one job in and crashes the server of its task, one server at a time, each some
// seconds after the run began. No run of the task ends failed.
func playCrashes(ctx context.Context, c *cell, trouble bool) error {
	if err := c.start(ctx, crashServers); err != nil {
		return err
	}
	for _, s := range c.servers {
		s.outcome = func(string, int) (time.Duration, string) { return crashRuntime, "done" }
	}
	time.Sleep(10 * time.Second) // the servers have been up for a while
	const path, task = "/plan/00000000000000a1", "00000000000000a1.0.0.0"
	if err := c.submit(ctx, builderKey, path, []map[string]any{{word("count"): 1, word("cpu"): 4500, word("memory"): 512, word("estimate"): crashRuntime.Milliseconds()}}); err != nil {
		return err
	}
	crashes := 0
	last := ""
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		state, status := c.jobState(ctx, crashes, builderKey, path)
		if state != last {
			c.note("client: GET %s answered %d %s", path, status, state)
			last = state
		}
		switch state {
		case "completed":
			return nil
		case "failed", "cancelled":
			c.broken("LOST: the job is shown as %s, though no run of its task has ended failed (the queue allows 3 such) and nobody has cancelled it; %d servers have crashed under it, one at a time", state, crashes)
			return nil
		}
		if !trouble || crashes >= crashCount {
			continue
		}
		for _, s := range c.servers {
			if _, since, ok := s.has(task); ok && time.Since(since) > 2*time.Second {
				crashes++
				s.crash()
				time.AfterFunc(crashDowntime, func() {
					if err := s.begin(); err != nil {
						c.note("server %s does not come back: %v", s.id, err)
						return
					}
					c.note("server %s is back, with nothing on it", s.id)
				})
			}
		}
	}
	return errors.New("the job has not ended in time")
}
