package steps

import (
	"cmp"
	"slices"

	"gypsumreel/internal/ledger/flows"
)

// probationParts bounds the servers of a pool that are kept for suspected tasks at once, to
// one part of so many: after the loss of a rack much is suspected without fault.
const probationParts = 8

// probationsOf returns for how many more suspected tasks a server of a pool may be kept.
func probationsOf(rooms []*room) int {
	most := max(1, len(rooms)/probationParts)
	for _, r := range rooms {
		if r.probation {
			most--
		}
	}
	return most
}

// suspected tells whether a task may have crashed a server.
func suspected(t flows.Task) bool { return t.BlamedCrashes > 0 }

// waits returns so many waiting tasks of a step: those that start wherever there is
// room, and those that are to be tried apart from all others. One that is suspected once
// is not held up for that; one that is suspected again waits for a server of its own, since the
// next crash decides.
func (p *planner) waits(it Item, most int) (sound, apart []uint32) {
	next := queuedTasks(it.Step)
	for range it.QueuedTasks {
		i := next()
		switch t := it.Tasks[i]; {
		case suspected(t) && len(apart) < p.probations[it.Pool]:
			apart = append(apart, i)
		case t.BlamedCrashes < flows.MaxBlamedCrashes-1:
			sound = append(sound, i)
		}
	}
	sound = sound[:min(len(sound), most)]
	return sound, apart[:min(len(apart), most-len(sound))]
}

// tryApart starts suspected tasks, each on a server of its own where nothing else
// begins meanwhile, and returns those that found none. A server that has stood for a
// while tells more by its crash, and one with much room has less to lose.
func (p *planner) tryApart(f *filling, options []option, tasks []uint32) []uint32 {
	if len(tasks) == 0 {
		return nil
	}
	roomy := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.free.CPU != o.began })
	slices.SortFunc(roomy, func(a, b option) int {
		return cmp.Or(compareBool(a.RecentlyStarted, b.RecentlyStarted), a.last-b.last, cmp.Compare(b.free.CPU, a.free.CPU), a.at-b.at)
	})
	for _, o := range roomy {
		if len(tasks) == 0 {
			break
		}
		if p.within(f.item, o.room, 1) == 0 {
			continue
		}
		p.put(f, o, tasks[:1])
		tasks = tasks[1:]
		if o.permission == Granted {
			p.keep(o.room)
		}
	}
	return tasks
}

// keep leaves a server to what is tried there.
func (p *planner) keep(r *room) {
	r.probation = true
	p.probations[r.Pool]--
}

// keepGang leaves the servers of a gang to it while one of its members is suspected.
func (p *planner) keepGang(it Item, chosen []option) {
	if !slices.ContainsFunc(it.Tasks, suspected) {
		return
	}
	for _, c := range chosen {
		if p.probations[it.Pool] > 0 {
			p.keep(c.room)
		}
	}
}
