package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/ledger/flows"
)

// serversPerProbation bounds the servers of a pool that are kept for suspected tasks at once, to
// one part of so many: after the loss of a rack much is suspected without fault.
const serversPerProbation = 8

// countProbationSlots returns for how many more suspected tasks a server of a pool may be kept.
func countProbationSlots(servers []*serverState) int {
	slots := max(1, len(servers)/serversPerProbation)
	for _, r := range servers {
		if r.heldForSuspect {
			slots--
		}
	}
	return slots
}

// isSuspect tells whether a task may have crashed a server.
func isSuspect(t flows.Task) bool { return t.Blamed > 0 }

// queuedBySuspicion returns so many waiting tasks of a step: those that start wherever there is
// room, and those that are to be tried apart from all others. One that is suspected once
// is not held up for that; one that is suspected again waits for a server of its own, since the
// next crash decides.
func (p *planner) queuedBySuspicion(it Item, limit int) (normal, suspects []uint32) {
	next := queuedTasks(it.Step)
	for range it.Queued {
		i := next()
		switch t := it.Tasks[i]; {
		case isSuspect(t) && len(suspects) < p.probationSlots[it.Pool]:
			suspects = append(suspects, i)
		case t.Blamed < flows.MostBlamed-1:
			normal = append(normal, i)
		}
	}
	normal = normal[:min(len(normal), limit)]
	return normal, suspects[:min(len(suspects), limit-len(normal))]
}

// placeSuspects starts suspected tasks, each on a server of its own where nothing else
// begins meanwhile, and returns those that found none. A server that has stood for a
// while tells more by its crash, and one with much room has less to lose.
func (p *planner) placeSuspects(placement *stepPlacement, candidates []candidate, tasks []uint32) []uint32 {
	if len(tasks) == 0 {
		return nil
	}
	unused := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.free.CPU != c.initialCPU })
	slices.SortFunc(unused, func(a, b candidate) int {
		return cmp.Or(compareBool(a.RecentlyStarted, b.RecentlyStarted), a.penalty-b.penalty, cmp.Compare(b.free.CPU, a.free.CPU), a.index-b.index)
	})
	for _, c := range unused {
		if len(tasks) == 0 {
			break
		}
		if p.limitByHeadroom(placement.item, c.serverState, 1) == 0 {
			continue
		}
		p.placeTasks(placement, c, tasks[:1])
		tasks = tasks[1:]
		if c.permission == Granted {
			p.holdForSuspect(c.serverState)
		}
	}
	return tasks
}

// holdForSuspect leaves a server to what is tried there.
func (p *planner) holdForSuspect(r *serverState) {
	r.heldForSuspect = true
	p.probationSlots[r.Pool]--
}

// holdForSuspectGang leaves the servers of a gang to it while one of its members is suspected.
func (p *planner) holdForSuspectGang(it Item, chosen []candidate) {
	if !slices.ContainsFunc(it.Tasks, isSuspect) {
		return
	}
	for _, c := range chosen {
		if p.probationSlots[it.Pool] > 0 {
			p.holdForSuspect(c.serverState)
		}
	}
}
