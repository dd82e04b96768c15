package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Sizes of the case of the long jobs after hopeless ones.
const (
	probingServers = 8
	longJobs       = 16
	longRuntime    = 10 * time.Minute
)

func init() { cases["probing"] = playProbing }

// playProbing hands jobs in for 3 s. With the disruption, two of them are hopeless: each run of their
// tasks fails. Some seconds later jobs of one long task each come.
func playProbing(ctx context.Context, c *cell, trouble bool) error {
	if err := c.start(ctx, probingServers); err != nil {
		return err
	}
	for _, s := range c.servers {
		s.outcome = func(task string, _ int) (time.Duration, string) {
			switch job := jobOf(task); {
			case job[0] == 'e' && trouble:
				return 100 * time.Millisecond, "failed"
			case job[0] == 'b':
				return longRuntime, "done"
			}
			return 200 * time.Millisecond, "done"
		}
	}
	short := []map[string]any{{word("count"): 1, word("cpu"): 1000, word("memory"): 256, word("estimate"): 200}}
	wide := []map[string]any{{word("count"): probingServers, word("cpu"): 500, word("memory"): 256, word("estimate"): 200, word("apart"): 1}}
	for j := range firstJobs {
		id, steps := fmt.Sprintf("a0000000000000%02x", j), short
		if j >= firstJobs-hopelessJobs {
			id, steps = fmt.Sprintf("e0000000000000%02x", j), wide
		}
		if err := c.submit(ctx, moverKey, "/plan/"+id, steps); err != nil {
			return err
		}
		time.Sleep(3 * time.Second / firstJobs)
	}
	time.Sleep(8 * time.Second)
	waiting := map[string]time.Time{}
	for j := range longJobs {
		id := fmt.Sprintf("b0000000000000%02x", j)
		if err := c.submit(ctx, builderKey, "/plan/"+id, []map[string]any{{word("count"): 1, word("cpu"): 1000, word("memory"): 256, word("estimate"): longRuntime.Milliseconds()}}); err != nil {
			return err
		}
		waiting[id] = time.Now()
	}
	traffic, told := time.Now(), map[string]bool{}
	for time.Since(traffic) < 30*time.Second && ctx.Err() == nil && len(waiting) > 0 {
		time.Sleep(20 * time.Millisecond)
		for id, since := range waiting {
			switch {
			case c.hasBegun(id):
				c.note("job %s begins %.1f s after its acceptance", id, time.Since(since).Seconds())
				delete(waiting, id)
			case time.Since(traffic) > finishTime+awayTime && !told[id]:
				told[id] = true
				c.broken("LOST: job %s, %.1f s after its acceptance and over %v after the end of the traffic, has had nothing running for %v, while the servers had room:%s", id, time.Since(since).Seconds(), finishTime, awayTime, c.use())
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
