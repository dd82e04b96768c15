package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Sizes of the case of the hopeless jobs.
const (
	hopelessServers = 8
	hopelessTasks   = 16
	// hopelessUptime is how long a task of a hopeless job runs until it fails: its program does not start.
	hopelessUptime = time.Millisecond
	// firstJobs is the number of jobs of the first 3 s, of which hopelessJobs are hopeless. The share is
	// the largest dose, 0.05.
	firstJobs    = 40
	hopelessJobs = 2
	laterJobs    = 20
	laterPause   = 500 * time.Millisecond
	// finishTime is the time from the end of the traffic until jobs are asked for, awayTime for how
	// long one must not be without a run then.
	finishTime = 14 * time.Second
	awayTime   = 3 * time.Second
)

func init() { cases["hopeless"] = playHopeless }

// playHopeless hands jobs in for 3 s. Two of them are services, whose tasks last until they are
// cancelled. With the disruption, each run of their tasks fails at once. Some seconds later another
// customer hands in short jobs.
func playHopeless(ctx context.Context, c *cell, trouble bool) error {
	if err := c.start(ctx, hopelessServers); err != nil {
		return err
	}
	for _, s := range c.servers {
		s.outcome = func(task string, _ int) (time.Duration, string) {
			switch {
			case jobOf(task)[0] != 'e':
				return time.Second, "done"
			case trouble:
				return hopelessUptime, "failed"
			}
			return 0, "" // it works until its job is cancelled
		}
	}
	service := []map[string]any{{word("count"): hopelessTasks, word("cpu"): 500, word("memory"): 256, word("lasting"): true}}
	short := []map[string]any{{word("count"): 1, word("cpu"): 1000, word("memory"): 256, word("estimate"): 1000}}
	for j := range firstJobs {
		id, steps := fmt.Sprintf("a0000000000000%02x", j), short
		if j%(firstJobs/hopelessJobs) == 1 {
			id, steps = fmt.Sprintf("e0000000000000%02x", j), service
		}
		if err := c.submit(ctx, moverKey, "/quick/"+id, steps); err != nil {
			return err
		}
		time.Sleep(3 * time.Second / firstJobs)
	}
	time.Sleep(10 * time.Second)
	waiting := map[string]time.Time{}
	for j := range laterJobs {
		id := fmt.Sprintf("b0000000000000%02x", j)
		if err := c.submit(ctx, builderKey, []string{"/quick/", "/plan/"}[j%2]+id, short); err != nil {
			return err
		}
		waiting[id] = time.Now()
		time.Sleep(laterPause)
	}
	traffic, told := time.Now(), map[string]bool{}
	for time.Since(traffic) < 25*time.Second && ctx.Err() == nil && len(waiting) > 0 {
		time.Sleep(20 * time.Millisecond)
		for id, since := range waiting {
			switch {
			case c.hasBegun(id):
				c.note("job %s begins %.1f s after its acceptance", id, time.Since(since).Seconds())
				delete(waiting, id)
			case time.Since(traffic) > finishTime+awayTime && !told[id]:
				told[id] = true
				c.broken("LOST: job %s was accepted %.1f s ago and %v after the end of the traffic it has had nothing running for %v, while the %d servers, all sound, had room for it many times over: %s",
					id, time.Since(since).Seconds(), finishTime, awayTime, len(c.servers), c.use())
			}
		}
	}
	for id := range waiting {
		c.note("job %s has not begun at the end", id)
	}
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	return nil
}

// use tells how much of each server is in use.
func (c *cell) use() (out string) {
	for _, s := range c.servers {
		out += fmt.Sprintf(" %s runs %d tasks", s.id, s.runCount())
	}
	return out
}
