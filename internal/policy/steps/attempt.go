package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/base/bools"
)

// IsLastAttempt reports whether the task with the given index is at its last attempt: one more
// failed run fails the flow. A gang fails as a whole, so all of its tasks are.
func (item Item) IsLastAttempt(index uint32) bool {
	return item.LastAttempt && (item.Spec.GetGang() || item.Tasks[index].FailedRuns+1 >= item.MaxAttempts)
}

// lastAttemptsFirst moves the tasks at their last attempt to the front, so that they are part of what
// the limit of the customer allows.
func lastAttemptsFirst(item Item, tasks []uint32) []uint32 {
	if item.LastAttempt {
		slices.SortStableFunc(tasks, func(a, b uint32) int { return bools.Compare(item.IsLastAttempt(b), item.IsLastAttempt(a)) })
	}
	return tasks
}

// splitLastAttempts splits tasks of an item into those at their last attempt and the others.
func splitLastAttempts(item Item, tasks []uint32) (last, others []uint32) {
	if !item.LastAttempt {
		return nil, tasks
	}
	for _, i := range tasks {
		if item.IsLastAttempt(i) {
			last = append(last, i)
		} else {
			others = append(others, i)
		}
	}
	return last, others
}

// worstAwaited returns the worst class of servers that may start a task at its last attempt now.
func (item Item) worstAwaited() int {
	switch {
	case !item.AwaitsProven:
		return probingServer
	case item.AwaitsLaterProof:
		return provenServer
	}
	return earlierProvenServer
}

// Proves reports whether the server has proved itself to the tasks of an item at their last
// attempt: by a recent run that was not placed before the latest failed run of these tasks.
func (item Item) Proves(s Server) bool {
	return item.provesEarlier(s) && (s.ProvenAt >= item.FailedAt || item.isOutlasted(s))
}

// isOutlasted reports whether a run in progress on a proven server was not placed before the
// latest failed run of the item and has gone on for longer than that run did.
func (item Item) isOutlasted(s Server) bool {
	now := s.ProvenAt + s.SinceSuccess // on the ledger's clock
	for _, held := range s.HeldRuns {
		if held.PlacedAt >= item.FailedAt && now-held.PlacedAt >= item.OutlastTime {
			return true
		}
	}
	return false
}

// provesEarlier reports whether the server was proven by a recent run, which may have been placed
// before the latest failed run of the item.
func (item Item) provesEarlier(s Server) bool {
	return s.Proven && s.SinceSuccess <= item.ProofPeriod && !item.FailedOn[s.ID]
}

// Classes of servers for a last attempt, best first.
const (
	provenServer = iota
	earlierProvenServer
	unprovenServer
	failedServer
	probingServer
)

// classForLastAttempt returns the class of a server for the tasks of an item at their last
// attempt.
func classForLastAttempt(item Item, r *serverState) int {
	switch {
	case r.Probing:
		return probingServer
	case item.Proves(r.Server):
		return provenServer
	case item.provesEarlier(r.Server):
		return earlierProvenServer
	case item.FailedOn[r.ID] || r.ConsecutiveFailures > 0:
		return failedServer
	}
	return unprovenServer
}

// inFailedRack reports whether the server is in a rack where a task of the item failed. The
// rack that holds the data of the step is not left out: elsewhere the run takes much longer.
func inFailedRack(item Item, r *serverState) bool {
	if item.Spec.GetRack() != "" && inPreferredRack(item, r) {
		return false
	}
	return slices.ContainsFunc(r.Labels, func(label string) bool { return item.FailedRacks[label] })
}

// rankForLastAttempt returns the rank of a candidate for the tasks of an item at their last
// attempt. Lower values come first: the class of the server decides, then whether it is in a rack
// where a task failed, then whether it has a valid permit.
func rankForLastAttempt(item Item, c candidate) int {
	rank := 4 * classForLastAttempt(item, c.serverState)
	if inFailedRack(item, c.serverState) {
		rank += 2
	}
	if c.permission != Granted {
		rank++
	}
	return rank
}

// forLastAttempt returns the candidates on which a task may start that is at its last attempt,
// best first. Servers of other racks come before those of the rack where a task failed. Only
// proven servers are returned while the item waits for one. A task at its last attempt does not
// probe a server as long as others have or will have room for n tasks.
func (p *planner) forLastAttempt(item Item, candidates []candidate, n int) []candidate {
	worst := item.worstAwaited()
	out := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return classForLastAttempt(item, c.serverState) > worst })
	hasProbing := slices.ContainsFunc(out, func(c candidate) bool { return c.Probing })
	if hasProbing && p.othersSuffice(item, n) {
		out = slices.DeleteFunc(out, func(c candidate) bool { return c.Probing })
	}
	for i := range out {
		out[i].attemptRank = rankForLastAttempt(item, out[i])
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Or(a.attemptRank-b.attemptRank, a.compare(b)) })
	return out
}

// othersSuffice reports whether the servers that are not probing have, or will have, room for n
// tasks of an item.
func (p *planner) othersSuffice(item Item, n int) bool {
	var slots []slot
	p.countVisits(len(p.servers))
	for _, r := range p.servers {
		if r.Probing || r.heldForSuspect || !eligible(item, r) || p.permission(item, r) == Denied {
			continue
		}
		slots = p.findSlots(slots[:0], item, r)
		if n -= slotTasks(slots); n <= 0 {
			return true
		}
	}
	return false
}

// placeLastAttempts places the tasks of an item that are at their last attempt and returns those for
// which there is no server. It takes their room from the candidates.
func (p *planner) placeLastAttempts(placement *stepPlacement, candidates []candidate, tasks []uint32) []uint32 {
	if len(tasks) == 0 {
		return nil
	}
	for _, c := range p.forLastAttempt(placement.item, candidates, 1) {
		n := p.limitByHeadroom(placement.item, c.serverState, min(c.taskCount, int64(len(tasks))))
		if n == 0 {
			continue
		}
		p.placeTasks(placement, c, tasks[:n])
		tasks = tasks[n:]
		i := slices.IndexFunc(candidates, func(other candidate) bool { return other.serverState == c.serverState })
		candidates[i].taskCount -= n
	}
	return tasks
}

// chooseForGang selects the servers for a gang. At its last attempt a gang starts on proven
// servers if they have room for all of its tasks, and on others when it has waited long enough.
func (p *planner) chooseForGang(item Item, candidates []candidate) ([]candidate, bool) {
	if !item.LastAttempt {
		return p.chooseServers(item, candidates)
	}
	ranked := p.forLastAttempt(item, candidates, item.QueuedTasks)
	for _, worst := range []int{provenServer, earlierProvenServer} {
		upToClass := slices.DeleteFunc(slices.Clone(ranked), func(c candidate) bool { return classForLastAttempt(item, c.serverState) > worst })
		if chosen, ok := p.chooseServers(item, upToClass); ok || worst == item.worstAwaited() {
			return chosen, ok
		}
	}
	return p.chooseServers(item, ranked)
}

// probeLimit returns how many of n tasks may start on a server. A server that failed its latest
// runs takes one.
func (r *serverState) probeLimit(n int64) int64 {
	switch {
	case !r.Probing:
		return n
	case r.used:
		return 0 // the plan has placed the probe
	}
	return min(n, 1)
}
