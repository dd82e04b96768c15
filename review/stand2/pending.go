package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Sizes of the case of the count of waiting jobs.
const (
	pendingServers = 8
	pendingJobs    = 6
	// busyRuntime is how long the tasks run that fill the other servers.
	busyRuntime = 25 * time.Second
	// visibleTime is visible_ms and the 2 s that the rule adds.
	visibleTime = 5 * time.Second
)

func init() { cases["pending"] = playPending }

// playPending fills all servers but one with long tasks, hands jobs in that can only begin on the
// last one, and asks how many of the queue have not begun. With the disruption, the last server
// falls silent for good just before the jobs come.
func playPending(ctx context.Context, c *cell, trouble bool) error {
	if err := c.start(ctx, pendingServers); err != nil {
		return err
	}
	for _, s := range c.servers {
		s.outcome = func(task string, _ int) (time.Duration, string) {
			if jobOf(task)[15] == 'f' {
				return busyRuntime, "done"
			}
			return 2 * time.Second, "done"
		}
	}
	filler := []map[string]any{{word("count"): pendingServers - 1, word("cpu"): 16000, word("memory"): 1024, word("estimate"): busyRuntime.Milliseconds()}}
	if err := c.submit(ctx, builderKey, "/plan/000000000000000f", filler); err != nil {
		return err
	}
	var last *server
	if err := c.await(ctx, 10*time.Second, "all servers but one are full", func() bool {
		full := 0
		for _, s := range c.servers {
			if s.runCount() > 0 {
				full++
			} else {
				last = s
			}
		}
		return full == pendingServers-1
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		last.fallSilent()
	}
	accepted := map[string]time.Time{}
	for j := range pendingJobs {
		id := fmt.Sprintf("00000000000000c%d", j)
		if err := c.submit(ctx, builderKey, "/quick/"+id, []map[string]any{{word("count"): 1, word("cpu"): 2000, word("memory"): 512, word("estimate"): 2000}}); err != nil {
			return err
		}
		accepted[id] = time.Now()
	}
	asked := 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
		// A job counts only if it was accepted long enough ago and has not begun after the answer either.
		var old []string
		for id, at := range accepted {
			if time.Since(at) > visibleTime {
				old = append(old, id)
			}
		}
		status, text := c.callFront(ctx, asked, builderKey, http.MethodGet, "/quick/", nil)
		asked++
		var answer map[string]int
		if status != http.StatusOK || json.Unmarshal(text, &answer) != nil {
			c.note("client: GET /quick/ answered %d", status)
			continue
		}
		waiting := 0
		for _, id := range old {
			if !c.hasBegun(id) {
				waiting++
			}
		}
		c.note("client: GET /quick/ answered %d pending; of the jobs accepted over %v ago %d have not begun", answer[word("pending")], visibleTime, waiting)
		if 2*answer[word("pending")] < waiting {
			c.broken("MIXED: %d given as pending, while %d jobs that were accepted over %v before have not begun", answer[word("pending")], waiting, visibleTime)
			return nil
		}
	}
	if asked == 0 {
		return errors.New("nothing was asked")
	}
	return nil
}
