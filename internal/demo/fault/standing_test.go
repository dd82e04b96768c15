package fault_test

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/policy/cell"
	"gypsumreel/internal/policy/plan"
)

// maxTakeover is how long callers may be without a leader: two seconds until a leader that makes no
// progress gives up the lead, and the longest election.
const maxTakeover = 4500 * time.Millisecond

// standingPlanner is a planner of which a decision does not end while it stands.
type standingPlanner struct {
	plan.Planner
	stands *atomic.Bool
	end    chan struct{}
}

func (p standingPlanner) Decide(now time.Duration, limit int) []plan.Decision {
	if p.stands.Load() {
		<-p.end
	}
	return p.Planner.Decide(now, limit)
}

// standingCell is a cell in which the planner of one replica can stand.
type standingCell struct {
	*testCell
	stands map[string]*atomic.Bool
	end    chan struct{}
}

func newStandingCell(t *testing.T) *standingCell {
	c := &standingCell{stands: map[string]*atomic.Bool{}, end: make(chan struct{})}
	c.testCell = newConfiguredTestCell(t, func(name string, l *leader.Leader) {
		stands := &atomic.Bool{}
		c.stands[name] = stands
		l.NewPlanner = func() plan.Planner { return standingPlanner{cell.New(cell.Config{}), stands, c.end} }
	})
	return c
}

// runWhileLeaderStands runs jobs, lets the leader stand as the first of them runs, and returns its
// name and the results after another replica leads.
func (c *standingCell) runWhileLeaderStands() (former string, results []result) {
	c.t.Helper()
	former, _ = c.cell.Leader()
	begun := make(chan struct{}, 64)
	c.onStep = func(step string) {
		if step == "run" {
			c.stands[former].Store(true)
			begun <- struct{}{}
		}
	}
	done := make(chan []result, 1)
	go func() { done <- c.runJobs(jobSpecs()) }()
	<-begun
	startedAt := time.Now()
	c.waitUntil("another replica leads", func() bool { next, ok := c.cell.Leader(); return ok && next != former })
	if took := time.Since(startedAt); took > maxTakeover {
		c.t.Errorf("another replica led after %v, limit %v", took, maxTakeover)
	}
	results = <-done
	for _, r := range results {
		if !r.spec.GetOnce() && (r.outcome != v1.Outcome_OUTCOME_DONE || r.code != 0) {
			c.t.Errorf("%s: outcome %v, code %d, error %v", r.id, r.outcome, r.code, r.err)
		}
	}
	return former, results
}

// Guards against a leader that answers nobody and keeps the lead: another one has to serve its
// callers, and what the former leader still has to send must not run a task twice.
func TestAnotherReplicaServesWhenTheLeaderStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStandingCell(t)
		defer c.close()
		former, results := c.runWhileLeaderStands()
		c.stands[former].Store(false)
		close(c.end)
		time.Sleep(5 * time.Second)
		if violations := c.violations(results); len(violations) > 0 {
			t.Error(violations)
		}
		status := c.cell.Node(former).Control.Status()
		if status.Leads || status.Leader == "" {
			t.Errorf("the status of the former leader is %+v, want that of a follower", status)
		}
		c.onStep = func(string) {}
		next, _ := c.cell.Leader()
		c.cell.Kill(next)
		c.waitUntil("another replica leads", func() bool { again, ok := c.cell.Leader(); return ok && again != next })
		if err := c.cell.Restart(next); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against callers that are left without an answer until their deadline while the control
// thread of the leader stands. Within three seconds that leader has given up the lead and the
// next one is elected, and all jobs end as without the fault.
func TestJobsCompleteAfterALeadersControlThreadStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(t)
		defer w.close()
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		defer release()
		startedAt := time.Now()
		w.cell.Node(w.leader()).Control.Post(func() { <-released })
		w.onStep = func(step string) {
			if d := time.Since(startedAt); step == "accepted" && d > 3*time.Second {
				t.Errorf("a job was accepted after %v, want at most 3 s", d)
			}
		}
		results := w.runJobs(jobSpecs())
		release() // the former leader goes on, and its ledger is checked too
		if violations := w.violations(results); len(violations) > 0 {
			t.Error(violations)
		}
		for _, r := range results {
			if r.outcome != v1.Outcome_OUTCOME_DONE || r.code != 0 {
				t.Errorf("%s: outcome %v, code %d, error %v", r.id, r.outcome, r.code, r.err)
			}
		}
	})
}

// Guards against a process that stays although its control thread never goes on: it would follow
// nobody and fill its memory. A stop has to end it, too.
func TestProcessWhoseControlThreadStandsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStandingCell(t)
		defer c.close()
		former, _ := c.runWhileLeaderStands()
		select {
		case err := <-c.cell.ProcessErrors():
			if !errors.Is(err, turn.ErrLost) {
				t.Errorf("the process ended with %v", err)
			}
		case <-time.After(time.Minute):
			t.Error("the process still runs a minute later")
		}
		<-c.cell.Node(former).Done()
		c.onStep = func(string) {}
		next, _ := c.cell.Leader()
		c.stands[next].Store(true)
		time.Sleep(time.Second)
		stoppedAt := time.Now()
		c.cell.Stop(next)
		if took := time.Since(stoppedAt); took > 10*time.Second {
			t.Errorf("a planned stop took %v while the control thread stood", took)
		}
		close(c.end)
	})
}
