// Package forecast tells when a flow could begin. It adds up free CPU and the CPU of waiting
// work, in thousandths of a core, and knows nothing of gangs, memory and the adviser, so it
// forecasts too early rather than too late. It has no side effects.
package forecast

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/base/bools"
)

// Resolution and range of a forecast.
const (
	// Resolution is the unit in which times are forecast. It is short compared with the shortest
	// time that callers allow a flow to wait.
	Resolution = 100 * time.Millisecond
	// Horizon is the longest time that is forecast. Callers do not wait longer for a flow to
	// begin, and run times declared for such a long time say little.
	Horizon = 30 * time.Second

	// periods is the number of periods of one Resolution until the Horizon.
	periods = int(Horizon / Resolution)
)

// Class is the place of work in the order of the plan. Work beyond its customer's rate comes
// last, and work that is late comes after work that can end in time.
type Class struct {
	Surplus bool
	Late    bool
	// Priority is the priority of the queue. 0 is the highest.
	Priority uint32
}

// compare orders classes like the plan, first class first.
func (c Class) compare(other Class) int {
	return cmp.Or(bools.Compare(c.Surplus, other.Surplus), bools.Compare(c.Late, other.Late), cmp.Compare(c.Priority, other.Priority))
}

// Work is a number of tasks of one size. TaskCPU is in thousandths of a core, Runtime is the
// expected run time of a task.
type Work struct {
	TaskCPU int64
	Tasks   int64
	Runtime time.Duration
}

// CPU returns the CPU of all tasks.
func (w Work) CPU() int64 { return w.TaskCPU * w.Tasks }

// runtimePeriods returns the mean run time of the work in periods: at least one, or all if there
// is no work.
func (d demand) runtimePeriods() int {
	if d.cpu <= 0 {
		return periods
	}
	return max(int(time.Duration(d.cpuSeconds/float64(d.cpu)*float64(time.Second))/Resolution), 1)
}

// Backlog is waiting work by class. The zero value is empty.
type Backlog struct{ byClass map[Class]demand }

// demand is the waiting work of a class: the CPU of its tasks, and the sum over the tasks of CPU
// times run time in seconds.
type demand struct {
	cpu        int64
	cpuSeconds float64
}

// Add adds waiting work.
func (b *Backlog) Add(class Class, w Work) {
	b.add(class, demand{w.CPU(), float64(w.CPU()) * w.Runtime.Seconds()})
}

func (b *Backlog) add(class Class, more demand) {
	if b.byClass == nil {
		b.byClass = map[Class]demand{}
	}
	d := b.byClass[class]
	b.byClass[class] = demand{d.cpu + more.cpu, d.cpuSeconds + more.cpuSeconds}
}

// Within returns the part of the backlog, first classes first, that needs at most the given
// CPU. Work beyond the limit of its customer waits for that customer and not for room.
func (b *Backlog) Within(cpu int64) (part Backlog) {
	for _, class := range slices.SortedFunc(maps.Keys(b.byClass), Class.compare) {
		d := b.byClass[class]
		if n := min(d.cpu, max(cpu, 0)); n > 0 {
			part.add(class, demand{n, d.cpuSeconds * float64(n) / float64(d.cpu)})
			cpu -= n
		}
	}
	return part
}

// Room is CPU that is free or becomes free, and the work that waits for it: the servers of a
// pool or the limit of a customer. The zero value has no room.
type Room struct {
	// free holds the free CPU of each server, released the CPU that becomes free in each period.
	free     []int64
	released [periods]int64
	// total is the sum of both.
	total   int64
	waiting Backlog
}

// AddFree adds the free CPU of one server.
func (r *Room) AddFree(cpu int64) {
	if cpu > 0 {
		r.free = append(r.free, cpu)
		r.total += cpu
	}
}

// AddRelease adds CPU that becomes free after a time. Room counts from the beginning of a
// period on, and room that is released beyond the horizon does not count.
func (r *Room) AddRelease(after time.Duration, cpu int64) {
	if after < Horizon {
		r.released[max(after, 0)/Resolution] += cpu
		r.total += cpu
	}
}

// AddWaiting adds work that waits for the room.
func (r *Room) AddWaiting(class Class, w Work) { r.waiting.Add(class, w) }

// AddBacklog adds a backlog that waits for the room.
func (r *Room) AddBacklog(b Backlog) {
	for class, d := range b.byClass {
		r.waiting.add(class, d)
	}
}

// Begin returns the time after which all tasks of new work of a class should have begun, or
// Horizon if that is later. Work that needs more than the whole room begins when it has
// all of it.
func (r *Room) Begin(class Class, w Work) time.Duration {
	ahead := r.ahead(class)
	remaining := ahead.cpu + min(w.CPU(), r.total)
	runtime := ahead.runtimePeriods()
	var ends [periods]int64 // the room that the work ahead releases
	room := r.fitting(w.TaskCPU)
	for i := range periods {
		room += r.released[i] + ends[i]
		begun := min(room, remaining)
		room, remaining = room-begun, remaining-begun
		if remaining <= 0 {
			return time.Duration(i) * Resolution
		}
		if i+runtime < periods {
			ends[i+runtime] += begun
		}
	}
	return Horizon
}

// ahead returns the waiting work that goes before new work of a class.
func (r *Room) ahead(class Class) (sum demand) {
	for c, d := range r.waiting.byClass {
		if c.compare(class) <= 0 {
			sum.cpu += d.cpu
			sum.cpuSeconds += d.cpuSeconds
		}
	}
	return sum
}

// fitting returns the free CPU that tasks of a size can use. A remainder on a server that is
// smaller than a task is no room for it.
func (r *Room) fitting(taskCPU int64) (sum int64) {
	for _, free := range r.free {
		if taskCPU > 0 {
			free -= free % taskCPU
		}
		sum += free
	}
	return sum
}
