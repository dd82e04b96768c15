package steps

import "gypsumreel/internal/domain/flow"

const (
	// visitsPerServer bounds the work for one item: its visits of servers, for each server of the
	// plan. The longest way of an item visits each server less than a dozen times, so only a fault of
	// the planner reaches the bound.
	visitsPerServer = 64
	// maxGivenUp is the number of given up items after which a plan ends. What makes the work for
	// one item endless may do so for many others, and their work adds up.
	maxGivenUp = 8
)

// GivenUp is a step that is left out of a plan because the work for it went beyond all bounds.
type GivenUp struct {
	Step flow.StepID
	// Visits is the number of visits of servers after which the step was given up.
	Visits int
}

// overBudget is the panic that ends the work for an item from within any loop.
type overBudget struct{}

// countVisits counts visits of servers for the current item and gives the item up beyond the
// bound.
func (p *planner) countVisits(n int) {
	p.visits += n
	if p.visits > p.maxVisits {
		panic(overBudget{})
	}
}

// placeWithinBudget places an item. If the work for it goes beyond the bound, the item is given
// up: nothing of it is placed or asked, and what room it took is free again in the next plan.
func (p *planner) placeWithinBudget(item Item) {
	placements, questions := len(p.plan.Placements), len(p.plan.Questions)
	p.visits = 0
	defer func() {
		switch r := recover().(type) {
		case nil:
		case overBudget:
			p.plan.Placements, p.plan.Questions = p.plan.Placements[:placements], p.plan.Questions[:questions]
			p.plan.GivenUp = append(p.plan.GivenUp, GivenUp{item.StepID, p.visits})
		default:
			panic(r)
		}
	}()
	if item.Spec.GetGang() {
		p.placeGang(item)
	} else {
		p.placeSingles(item)
	}
}
