package server

import (
	"fmt"
	"sync"
	"time"
)

// Record keeps what all servers of a test started and stopped, and what of it
// broke a promise. The zero value is ready.
type Record struct {
	mu sync.Mutex
	// starts holds the attempts of each task that started, in order.
	starts  map[Task][]Attempt
	running map[Task]*Server
	// latest is when a server last started something.
	latest map[string]time.Time
	faults []string
	total  int
}

func (r *Record) started(s *Server, a Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == nil {
		r.starts, r.running, r.latest = make(map[Task][]Attempt), make(map[Task]*Server), make(map[string]time.Time)
	}
	if other := r.running[a.Task]; other != nil && other.goesOn(s) {
		r.faults = append(r.faults, fmt.Sprintf("task %v runs on %s and %s", a.Task, other.Name, s.Name))
	}
	for _, earlier := range r.starts[a.Task] {
		if earlier == a {
			r.faults = append(r.faults, fmt.Sprintf("attempt %v started twice", a))
		}
	}
	r.starts[a.Task] = append(r.starts[a.Task], a)
	r.running[a.Task] = s
	r.latest[s.Name] = time.Now()
	r.total++
}

func (r *Record) stopped(s *Server, a Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[a.Task] == s {
		delete(r.running, a.Task)
	}
}

// goesOn tells whether what is recorded as running here really does: a paused
// process runs nothing, and stops what is past its lease before it goes on.
func (s *Server) goesOn(asker *Server) bool {
	return s == asker || !s.paused.Load() || s.leased()
}

// Starts returns how many attempts of the task started.
func (r *Record) Starts(t Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts[t])
}

// Latest returns when the server of that name last started something.
func (r *Record) Latest(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[name]
}

// Total returns how many attempts started in all.
func (r *Record) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Tasks returns the number of starts of each task.
func (r *Record) Tasks() map[Task]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Task]int, len(r.starts))
	for t, a := range r.starts {
		out[t] = len(a)
	}
	return out
}

// Faults returns what broke a promise: a task in two places, an attempt started twice.
func (r *Record) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.faults...)
}
