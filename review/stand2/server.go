package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reportInterval is the interval between two liveness reports.
const reportInterval = 1500 * time.Millisecond

// run is a run on a backend server.
type run struct {
	task       string
	number     int
	begunAt    time.Time
	duration   time.Duration // 0 for one that lasts
	how        string        // how it ends by itself
	stopAt     time.Time
	checkpoint string
}

// ended is an entry of the list of ended runs.
type ended struct {
	number int
	run
	how     string
	at      time.Time
	lapsed  bool // the lease has lapsed since
	noted   bool
	notedAt time.Time
}

// life is one life of a backend server: it knows nothing of the lives before it.
type life struct {
	born      int64
	begunAt   time.Time
	fence     int64
	until     int64
	runs      map[string]*run
	highest   map[string]int
	ends      []*ended
	lastEnd   int
	sequence  int
	wasHeld   bool
	draining  bool
	over      bool
	firstHold time.Time
}

// clock returns the time of the life's steady clock in milliseconds. It starts anew with each life.
func (l *life) clock() int64 { return 1000 + time.Since(l.begunAt).Milliseconds() }

// server is a stand-in for a backend server.
type server struct {
	c       *cell
	id      string
	address string
	zone    string
	machine string
	rack    string
	kind    string
	cpu     int
	memory  int
	// outcome tells how long a run works and how it ends.
	outcome func(task string, number int) (time.Duration, string)

	mu   sync.Mutex
	life *life
	http *http.Server
	// dark is true while the server answers nothing and does nothing.
	dark bool
	// all holds every life, done every end of a run that this server has seen.
	all []*life
}

// startServer starts a backend server that reports itself.
func (c *cell) startServer(ctx context.Context, n int) (*server, error) {
	s := &server{
		c: c, id: fmt.Sprintf("i-%06d", n), address: c.ip(100+n) + ":" + serverPort, zone: zones[n%len(zones)], machine: fmt.Sprintf("m-%d", n), rack: fmt.Sprintf("r1-%d", n/4), kind: c.kindOf(n),
		cpu: 16000, memory: 32768,
		outcome: func(string, int) (time.Duration, string) { return time.Second, "done" },
	}
	if err := s.begin(); err != nil {
		return nil, err
	}
	go s.report(ctx)
	go s.work(ctx)
	return s, nil
}

// begin begins a new life of the server at its address.
func (s *server) begin() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life = &life{born: time.Now().UnixMilli(), begunAt: time.Now(), runs: map[string]*run{}, highest: map[string]int{}}
	s.all = append(s.all, s.life)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	h := s.http
	go func() { _ = h.Serve(listener) }()
	return nil
}

// crash ends the life of the server. It answers nothing until begin.
func (s *server) crash() {
	s.mu.Lock()
	s.life.over = true
	lost := len(s.life.runs)
	s.life.runs = map[string]*run{}
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	s.c.note("server %s crashes with %d runs", s.id, lost)
}

// fallSilent crashes the server so that its channels stay open and nothing is answered any more.
func (s *server) fallSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark, s.life.over = true, true
	s.c.note("server %s falls silent with %d runs and is gone for good", s.id, len(s.life.runs))
	s.life.runs = map[string]*run{}
}

// shut ends the stand-in.
func (s *server) shut() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// isHeld reports whether the system holds the server.
func (s *server) isHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.wasHeld
}

// isUp reports whether the server is alive.
func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.life.over
}

// has reports whether a task runs on the server, and since when.
func (s *server) has(task string) (number int, since time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	r := s.life.runs[task]
	if s.life.over || r == nil {
		return 0, time.Time{}, false
	}
	return r.number, r.begunAt, true
}

// runCount returns the number of runs on the server.
func (s *server) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.life.runs)
}

// report sends the liveness reports.
func (s *server) report(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.mu.Lock()
		l := s.life
		l.sequence++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			word("service"): "pool", word("address"): s.address, word("zone"): s.zone, word("version"): "v1", word("slots"): 8, word("state"): state, word("cold"): 0,
			word("capacity"): map[string]int{word("cpu"): s.cpu, word("memory"): s.memory, word("accelerators"): 0}, word("labels"): []string{s.kind, s.rack},
			word("clock"): l.clock(), word("sequence"): l.sequence, word("born"): l.born, word("machine"): s.machine,
		})
		over := l.over
		s.mu.Unlock()
		if !over {
			for k := range controlCount {
				if status, _ := s.c.callControl(ctx, n+k, http.MethodPut, "/instances/"+s.id, body); status == http.StatusOK {
					break
				}
			}
		}
		for wait := 0; wait < int(reportInterval/(50*time.Millisecond)) && ctx.Err() == nil; wait++ {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			isNew := s.life != l
			s.mu.Unlock()
			if isNew {
				break
			}
		}
	}
}

// work ends runs as their time comes.
func (s *server) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		s.settle()
		s.mu.Unlock()
	}
}

// settle ends the runs whose time has come. The caller holds mu.
func (s *server) settle() {
	l := s.life
	if l.over {
		return
	}
	lapsed := l.until > 0 && l.clock() >= l.until
	for _, r := range l.runs {
		switch {
		case lapsed:
			s.end(r, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			s.end(r, "stopped")
		case r.duration > 0 && time.Since(r.begunAt) >= r.duration:
			s.end(r, r.how)
		}
	}
	if lapsed {
		for _, e := range l.ends {
			e.lapsed = true
		}
	}
}

// end ends a run. The caller holds mu.
func (s *server) end(r *run, how string) {
	l := s.life
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, &ended{number: l.lastEnd, run: *r, how: how, at: time.Now()})
	s.c.note("server %s born %d: run %s#%d ends %s", s.id, l.born, r.task, r.number, how)
}

func number(v any) int64 {
	f, _ := v.(float64)
	return int64(f)
}

// ServeHTTP takes a call of the system.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var call map[string]any
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(word("expectHeader")); expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := s.carryOut(r.URL.Path, call)
	if r.URL.Path == word("holdPath") && status == http.StatusOK {
		wait := time.Duration(number(call[word("wait")])) * time.Millisecond
		for deadline := time.Now().Add(wait); time.Now().Before(deadline) && r.Context().Err() == nil && s.openEnds() == 0 && s.isUp(); {
			time.Sleep(5 * time.Millisecond)
		}
		s.mu.Lock()
		s.settle()
		answer = s.lists()
		s.mu.Unlock()
	}
	if !s.isUp() {
		s.mu.Lock()
		dark = s.dark
		s.mu.Unlock()
		if dark {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// openEnds returns the number of ends that are not acknowledged.
func (s *server) openEnds() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.life.ends {
		if !e.noted {
			n++
		}
	}
	return n
}

// carryOut carries a call out in the present life of the server.
func (s *server) carryOut(path string, call map[string]any) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	l := s.life
	answer := map[string]any{word("clock"): l.clock(), word("born"): l.born}
	refuse := func(reason string) (int, map[string]any) {
		answer[word("reason")] = reason
		return http.StatusConflict, answer
	}
	if fence := number(call[word("fence")]); fence < l.fence {
		return refuse("fence")
	} else if fence > l.fence {
		l.fence = fence
	}
	until := number(call[word("until")])
	extend := func() { l.until = max(l.until, min(until, l.clock()+holdMax.Milliseconds())) }
	task, _ := call[word("task")].(string)
	n := int(number(call[word("run")]))
	switch path {
	case word("startPath"):
		if r := l.runs[task]; r != nil && r.number == n {
			extend()
			return http.StatusOK, answer
		}
		if n <= l.highest[task] {
			extend()
			return refuse("old")
		}
		if until <= l.clock() {
			return refuse("late")
		}
		extend()
		duration, how := s.outcome(task, n)
		checkpoint, _ := call[word("checkpoint")].(string)
		l.runs[task] = &run{task: task, number: n, begunAt: time.Now(), duration: duration, how: how, checkpoint: checkpoint}
		s.c.note("server %s born %d: run %s#%d starts, fence %d", s.id, l.born, task, n, l.fence)
		s.c.markBegun(jobOf(task))
		go s.c.checkTwice(s, l, task, n)
	case word("stopPath"):
		l.highest[task] = max(l.highest[task], n)
		if r := l.runs[task]; r != nil && r.number == n && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopMax / 2)
		}
		s.c.note("server %s born %d: stop of %s#%d", s.id, l.born, task, n)
	case word("holdPath"):
		l.wasHeld = true
		if until > 0 {
			extend()
		}
		for _, e := range l.ends {
			if int64(e.number) <= number(call[word("ack")]) && !e.noted {
				e.noted, e.notedAt = true, time.Now()
				s.c.note("server %s born %d: the end of %s#%d (%s) is taken note of, lapsed since: %t", s.id, l.born, e.task, e.run.number, e.how, e.lapsed)
			}
		}
		return http.StatusOK, s.lists()
	}
	return http.StatusOK, answer
}

// lists returns the answer to a hold. The caller holds mu.
func (s *server) lists() map[string]any {
	l := s.life
	running, ends := [][]any{}, [][]any{}
	for _, r := range l.runs {
		percent := 100.0
		if r.duration > 0 {
			percent = math.Min(99, math.Floor(100*float64(time.Since(r.begunAt))/float64(r.duration)))
		}
		running = append(running, []any{r.task, r.number, r.checkpoint, percent, 0})
	}
	for _, e := range l.ends {
		if !e.noted {
			ends = append(ends, []any{e.number, e.task, e.run.number, e.how, e.checkpoint})
		}
	}
	return map[string]any{word("clock"): l.clock(), word("born"): l.born, word("running"): running, word("ended"): ends}
}

// checkTwice checks, after a start, that no other run of its task is at work on a server that is up.
func (c *cell) checkTwice(s *server, l *life, task string, n int) {
	c.mu.Lock()
	servers := c.servers
	c.mu.Unlock()
	for _, other := range servers {
		if other == s {
			continue
		}
		if otherNumber, _, ok := other.has(task); ok {
			if current, _, still := s.has(task); still && current == n {
				c.broken("TWICE: task %s runs as #%d on %s born %d and as #%d on %s", task, n, s.id, l.born, otherNumber, other.id)
			}
		}
	}
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// markBegun notes that a task of a job has started.
func (c *cell) markBegun(job string) {
	c.begunMu.Lock()
	defer c.begunMu.Unlock()
	if c.begunJobs == nil {
		c.begunJobs = map[string]bool{}
	}
	c.begunJobs[job] = true
}

// hasBegun reports whether a task of a job has started on any server.
func (c *cell) hasBegun(job string) bool {
	c.begunMu.Lock()
	defer c.begunMu.Unlock()
	return c.begunJobs[job]
}
