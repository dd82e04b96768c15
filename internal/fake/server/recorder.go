package server

import (
	"fmt"
	"sync"
	"time"
)

// Recorder records which tasks all servers of a test started and stopped, and detects
// tasks that run on two servers and attempts that start twice. The zero value is ready
// to use.
type Recorder struct {
	mu sync.Mutex
	// starts holds the started attempts of each task, in order of their start.
	starts  map[Task][]Attempt
	running map[Task]*Server
	// lastStart is the time of the last start of a task, by server name.
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

// stillRuns reports whether a task recorded as running on s conflicts with its start on
// another server. A paused process executes nothing, and it stops tasks whose lease has
// expired before it continues.
func (s *Server) stillRuns(starting *Server) bool {
	return s == starting || !s.paused.Load() || s.leaseValid()
}

// StartCount returns the number of attempts of the task that started.
func (r *Recorder) StartCount(t Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts[t])
}

// LastStart returns the time at which the named server last started a task.
func (r *Recorder) LastStart(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStart[name]
}

// TotalStarts returns the number of attempts that started on all servers.
func (r *Recorder) TotalStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalStarts
}

// StartCounts returns the number of started attempts of each task.
func (r *Recorder) StartCounts() map[Task]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Task]int, len(r.starts))
	for t, a := range r.starts {
		out[t] = len(a)
	}
	return out
}

// Violations describes each task that ran on two servers and each attempt that started
// twice.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}
