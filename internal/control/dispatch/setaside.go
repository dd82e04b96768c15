package dispatch

import (
	"sync"
	"time"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/setaside"
	"gypsumreel/internal/policy/steps"
)

// Planner makes plans, one at a time.
type Planner interface {
	Make(v steps.View) steps.Plan
}

// setAsideSteps holds the steps that are left out of plans. It outlives a term, and its methods
// are safe for concurrent use.
type setAsideSteps struct {
	mu  sync.Mutex
	set setaside.Set[flow.StepID]
}

func (s *setAsideSteps) add(id flow.StepID, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Add(id, now)
}

// present returns the steps that are left out of plans now, nil if there are none.
func (s *setAsideSteps) present(now time.Duration) map[flow.StepID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Present(now)
}

// SetAside leaves a step out of plans for some time, longer with each repetition, because the plan of
// another replica did not end at it. It is safe for concurrent use, also while this replica does not
// lead.
func (d *Dispatcher) SetAside(id flow.StepID) {
	pause := d.setAside.add(id, d.Now())
	event.Log(d.Log, event.StepSetAside, "flow", id.Flow, "step", id.String(), "pause", pause.String())
}

// setAsideGivenUp sets the steps aside that a plan has given up.
func (d *Dispatcher) setAsideGivenUp(givenUp []steps.GivenUp, now time.Duration) {
	for _, g := range givenUp {
		pause := d.setAside.add(g.Step, now)
		event.Log(d.Log, event.PlanCut, "flow", g.Step.Flow, "step", g.Step.String(), "visits", g.Visits, "pause", pause.String(), "term", d.leader.term)
	}
}
