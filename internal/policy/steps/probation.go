package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/base/bools"
	"gypsumreel/internal/ledger/flows"
)

// serversPerProbation limits the servers of a pool that are held for suspect tasks to one in
// eight. After the loss of a rack, many tasks are suspected without a fault of their own.
const serversPerProbation = 8

// countProbationSlots returns the number of servers of a pool that can still be held for
// suspect tasks.
func countProbationSlots(servers []*serverState) int {
	slots := max(1, len(servers)/serversPerProbation)
	for _, r := range servers {
		if r.heldForSuspect {
			slots--
		}
	}
	return slots
}

// isSuspect reports whether the task may have crashed a server.
func isSuspect(t flows.Task) bool { return t.BlamedCrashes > 0 }

// queuedBySuspicion returns at most limit queued tasks of a step, split into tasks that can
// start anywhere and suspects that start on a server of their own. If no probation slot is
// left, a task that was blamed for few crashes starts as a normal task. A task that may be
// given up after one more crash waits for a slot.
func (p *planner) queuedBySuspicion(item Item, limit int) (normal, suspects []uint32) {
	next := queuedTasks(item.Step)
	for range item.QueuedTasks {
		i := next()
		switch t := item.Tasks[i]; {
		case (isSuspect(t) || t.HasOneCrashLeft()) && len(suspects) < p.probationSlots[item.Pool]:
			suspects = append(suspects, i)
		case !t.HasOneCrashLeft():
			normal = append(normal, i)
		}
	}
	normal = lastAttemptsFirst(item, normal)
	normal = normal[:min(len(normal), limit)]
	return normal, suspects[:min(len(suspects), limit-len(normal))]
}

// placeSuspects starts each suspect task on a server on which no other task starts meanwhile or
// has just started. It returns the tasks for which there was no such server; the next one to
// become quiet is kept for the first of them. It prefers servers that have not
// started recently, since their crash is better evidence against the task, and servers with
// more free CPU, since fewer other tasks are lost in a crash. A task with one crash left starts on no
// other server: one in a crash loop would have it given up without a fault of its own.
func (p *planner) placeSuspects(placement *stepPlacement, candidates []candidate, tasks []uint32) []uint32 {
	if len(tasks) == 0 {
		return nil
	}
	unused := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.used })
	slices.SortFunc(unused, func(a, b candidate) int {
		return cmp.Or(bools.Compare(a.RecentlyStarted, b.RecentlyStarted), a.penalty-b.penalty, cmp.Compare(b.free.CPU, a.free.CPU), a.index-b.index)
	})
	var quietNext *serverState
	for _, c := range unused {
		if len(tasks) == 0 {
			break
		}
		next := slices.IndexFunc(tasks, func(i uint32) bool { return !c.RecentlyStarted || !placement.item.Tasks[i].HasOneCrashLeft() })
		if next < 0 || p.limitByHeadroom(placement.item, c.serverState, 1) == 0 {
			continue
		}
		if c.QuietIn > 0 {
			if quietNext == nil || c.QuietIn < quietNext.QuietIn {
				quietNext = c.serverState
			}
			continue
		}
		p.placeTasks(placement, c, tasks[next:next+1])
		tasks = slices.Delete(tasks, next, next+1)
		if c.permission == Granted {
			p.holdForSuspect(c.serverState)
		}
	}
	if len(tasks) > 0 && quietNext != nil {
		p.holdForSuspect(quietNext)
	}
	return tasks
}

// holdForSuspect keeps other tasks from starting on a server.
func (p *planner) holdForSuspect(r *serverState) {
	r.heldForSuspect = true
	p.probationSlots[r.Pool]--
}

// holdForSuspectGang keeps other tasks from starting on the servers of a gang if one of its
// tasks is a suspect.
func (p *planner) holdForSuspectGang(item Item, chosen []candidate) {
	if !slices.ContainsFunc(item.Tasks, isSuspect) {
		return
	}
	for _, c := range chosen {
		if p.probationSlots[item.Pool] > 0 {
			p.holdForSuspect(c.serverState)
		}
	}
}
