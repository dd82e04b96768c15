package rig

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one run of a daemon.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// ticks is the number of processor ticks a second in /proc, fixed by Linux's ABI.
const ticks = 100

// probeTimeout bounds a probe; a frozen process answers none.
const probeTimeout = 200 * time.Millisecond

// launch starts a process; found is for the first start of a replica.
func (r *Rig) launch(name string, found bool) error {
	control := strings.HasPrefix(name, "control")
	if err := r.settings(name, control); err != nil {
		return err
	}
	args := []string{"entry", "--settings", r.file(name, ".json")}
	if control {
		args[0] = "control"
	}
	if found {
		args = append(args, "--init")
	}
	log, err := os.OpenFile(r.file(name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(r.Program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// What the rig's own end leaves behind must not go on.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.procs[name] = p
	return nil
}

func (r *Rig) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.procs[name]
}

// Running tells whether the process has not ended.
func (r *Rig) Running(name string) bool {
	p := r.process(name)
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (r *Rig) signal(name string, s os.Signal) {
	if p := r.process(name); p != nil {
		_ = p.cmd.Process.Signal(s) // fails only when it has ended
	}
}

// Kill ends a process at once, as a crash does.
func (r *Rig) Kill(name string) {
	p := r.process(name)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // fails only when it has ended
	<-p.done
}

// Pause freezes a process, Resume lets it go on.
func (r *Rig) Pause(name string) { r.signal(name, syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (r *Rig) Resume(name string) { r.signal(name, syscall.SIGCONT) }

// Stop ends a process as planned and returns how it ended.
func (r *Rig) Stop(name string, limit time.Duration) error {
	r.signal(name, syscall.SIGTERM)
	p := r.process(name)
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Newf("%s did not stop within %s", name, limit)
	}
}

// Restart starts a process again that has ended.
func (r *Rig) Restart(name string) error { return r.launch(name, false) }

// Ready tells whether the process's readiness probe succeeds.
func (r *Rig) Ready(name string) bool {
	_, ok := r.probe(name, "/readyz")
	return ok
}

func (r *Rig) probe(name, path string) ([]byte, bool) {
	c := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + r.port(name, atPlatform) + path)
	if err != nil {
		return nil, false
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return b, err == nil && res.StatusCode == http.StatusOK
}

// Leader returns the replica that says that it leads, in the highest term.
func (r *Rig) Leader() (string, bool) {
	best, term := "", -1.0
	for _, name := range r.ControlNames() {
		if !r.Running(name) {
			continue
		}
		b, ok := r.probe(name, "/metrics")
		if ok && gauge(b, "control_leads") == 1 && gauge(b, "control_term") > term {
			best, term = name, gauge(b, "control_term")
		}
	}
	return best, best != ""
}

// TableRevision returns the table's revision that a process says it serves; 0 without an answer.
func (r *Rig) TableRevision(name string) uint64 {
	b, _ := r.probe(name, "/metrics")
	if strings.HasPrefix(name, "entry") {
		return uint64(max(0, gauge(b, "entry_table_revision")))
	}
	return uint64(max(0, gauge(b, "control_revision")))
}

// gauge returns the value of the metric whose name ends so; -1 for none.
func gauge(text []byte, suffix string) float64 {
	for line := range bytes.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
		if strings.HasSuffix(name, "_"+suffix) {
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				return f
			}
		}
	}
	return -1
}

// Usage is what a process has used.
type Usage struct {
	// CPU is processor time of user and system since its start.
	CPU time.Duration
	// RunnableWait is the time that its threads were ready to run and no processor was
	// free; that of threads which have ended is not in it.
	RunnableWait time.Duration
	// RSS is its resident memory in bytes.
	RSS int64
}

// ProcessUsage reads what a process has used from /proc.
func (r *Rig) ProcessUsage(name string) (Usage, error) {
	return UsageOf(r.process(name).cmd.Process.Pid)
}

// UsageOf reads what a process has used from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields after the name in parentheses: 12 and 13 are user and system ticks, 22 resident pages.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, resident = 11, 12, 21
	number := func(i int) int64 { n, _ := strconv.ParseInt(fields[i], 10, 64); return n }
	return Usage{
		RunnableWait: waited(pid),
		CPU:          time.Duration(number(user)+number(system)) * time.Second / ticks,
		RSS:          number(resident) * int64(os.Getpagesize()),
	}, nil
}

// waited sums up the threads' waits for a processor.
func waited(pid int) time.Duration {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is well formed
	var sum time.Duration
	for _, path := range paths {
		var ran, wait int64
		if text, err := os.ReadFile(path); err == nil {
			_, _ = fmt.Sscan(string(text), &ran, &wait)
		}
		sum += time.Duration(wait)
	}
	return sum
}
