package dispatch

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/ledger/flows"
)

// A flow is pending until a server has confirmed or listed a run of it. The ledger counts those of
// which no task was placed. A placed task has not begun if its start is not answered, and the server
// may be gone.

// recordBegun records that a task of a flow has begun.
func (d *Dispatcher) recordBegun(id string) { d.leader.begunFlows[id] = true }

// pendingFlows returns the number of flows of a queue that have not begun, as of the latest sweep as
// far as their tasks are placed.
func (d *Dispatcher) pendingFlows(queue string) int {
	return d.Host.Flows().PendingFlows(queue) + d.leader.placedPending[queue]
}

// updatePending counts, by queue, the flows that have not begun although tasks of them were placed,
// and forgets the flows that have ended.
func (d *Dispatcher) updatePending() {
	begun, pending := make(map[string]bool, len(d.leader.begunFlows)), map[string]int{}
	entry := 0
	for id, f := range d.Host.Flows().Flows() {
		entry++
		d.yieldAt(entry)
		switch {
		case f.State != v1.FlowState_FLOW_STATE_RUNNING:
		case d.leader.begunFlows[id] || hasEnds(f):
			begun[id] = true
		default:
			pending[f.QueueName]++
		}
	}
	d.leader.begunFlows, d.leader.placedPending = begun, pending
}

// hasEnds reports whether a run of a flow has ended well or failed, also before this leader.
func hasEnds(f *flows.Flow) bool {
	if f.NextTurn > 1 {
		return true
	}
	for _, t := range f.Turns {
		for _, s := range t.Steps {
			if s.DoneTasks > 0 || s.FailedTasks > 0 {
				return true
			}
		}
	}
	return false
}
