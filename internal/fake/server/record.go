package server

import (
	"fmt"
	"sync"
	"time"
)

// Recorder keeps what all servers of a test started and stopped, and what of it
// broke a promise. The zero value is ready.
type Recorder struct {
	mu sync.Mutex
	// starts holds the attempts of each task that started, in order.
	starts  map[Task][]Attempt
	running map[Task]*Server
	// lastStart is when a server last started something.
	lastStart   map[string]time.Time
	violations  []string
	totalStarts int
}

func (r *Recorder) recordStart(s *Server, a Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == nil {
		r.starts, r.running, r.lastStart = make(map[Task][]Attempt), make(map[Task]*Server), make(map[string]time.Time)
	}
	if other := r.running[a.Task]; other != nil && other.stillRuns(s) {
		r.violations = append(r.violations, fmt.Sprintf("task %v runs on %s and %s", a.Task, other.Name, s.Name))
	}
	for _, earlier := range r.starts[a.Task] {
		if earlier == a {
			r.violations = append(r.violations, fmt.Sprintf("attempt %v started twice", a))
		}
	}
	r.starts[a.Task] = append(r.starts[a.Task], a)
	r.running[a.Task] = s
	r.lastStart[s.Name] = time.Now()
	r.totalStarts++
}

func (r *Recorder) recordStop(s *Server, a Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[a.Task] == s {
		delete(r.running, a.Task)
	}
}

// stillRuns tells whether what is recorded as running here really does: a paused
// process runs nothing, and stops what is past its lease before it goes on.
func (s *Server) stillRuns(starting *Server) bool {
	return s == starting || !s.paused.Load() || s.leaseValid()
}

// StartCount returns how many attempts of the task started.
func (r *Recorder) StartCount(t Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts[t])
}

// LastStart returns when the server of that name last started something.
func (r *Recorder) LastStart(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStart[name]
}

// TotalStarts returns how many attempts started in all.
func (r *Recorder) TotalStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalStarts
}

// StartCounts returns the number of starts of each task.
func (r *Recorder) StartCounts() map[Task]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Task]int, len(r.starts))
	for t, a := range r.starts {
		out[t] = len(a)
	}
	return out
}

// Violations returns what broke a promise: a task in two places, an attempt started twice.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}
