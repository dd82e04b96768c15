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

// process is one started process of the cell.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// ticksPerSecond is the number of processor ticks per second in /proc. Linux's ABI
// fixes it at 100.
const ticksPerSecond = 100

// probeTimeout limits a probe, because a paused process does not answer.
const probeTimeout = 200 * time.Millisecond

// launch starts a process. With initialize, a control replica creates a new cell.
func (r *Rig) launch(name string, initialize bool) error {
	control := strings.HasPrefix(name, "control")
	if err := r.writeSettings(name, control); err != nil {
		return err
	}
	args := []string{"entry", "--settings", r.path(name, ".json")}
	if control {
		args[0] = "control"
	}
	if initialize {
		args = append(args, "--init")
	}
	log, err := os.OpenFile(r.path(name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(r.Program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Linux kills the child when this process dies, so that none is left running.
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
	r.processes[name] = p
	return nil
}

func (r *Rig) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name]
}

// Running reports whether the process was started and has not ended.
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

func (r *Rig) signal(name string, sig os.Signal) {
	if p := r.process(name); p != nil {
		_ = p.cmd.Process.Signal(sig) // fails only if the process has ended
	}
}

// Kill kills a process with SIGKILL, as in a crash, and waits for its end.
func (r *Rig) Kill(name string) {
	p := r.process(name)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.done
}

// Pause suspends a process with SIGSTOP.
func (r *Rig) Pause(name string) { r.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process.
func (r *Rig) Resume(name string) { r.signal(name, syscall.SIGCONT) }

// Stop shuts a process down gracefully with SIGTERM and returns its exit error.
func (r *Rig) Stop(name string, timeout time.Duration) error {
	r.signal(name, syscall.SIGTERM)
	p := r.process(name)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.Newf("%s did not shut down within %s", name, timeout)
	}
}

// Restart starts an ended process again.
func (r *Rig) Restart(name string) error { return r.launch(name, false) }

// Ready reports whether the readiness probe of the process succeeds.
func (r *Rig) Ready(name string) bool {
	_, ok := r.probe(name, "/readyz")
	return ok
}

func (r *Rig) probe(name, path string) ([]byte, bool) {
	c := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + r.address(name, platformOffset) + path)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return body, err == nil && response.StatusCode == http.StatusOK
}

// Leader returns the control replica that reports leadership in the highest term.
func (r *Rig) Leader() (string, bool) {
	leader, term := "", -1.0
	for _, name := range r.ControlNames() {
		if !r.Running(name) {
			continue
		}
		metrics, ok := r.probe(name, "/metrics")
		if ok && metricValue(metrics, "control_leads") == 1 && metricValue(metrics, "control_term") > term {
			leader, term = name, metricValue(metrics, "control_term")
		}
	}
	return leader, leader != ""
}

// TableRevision returns the table revision that a process reports in its metrics; 0 if
// it does not answer.
func (r *Rig) TableRevision(name string) uint64 {
	metrics, _ := r.probe(name, "/metrics")
	if strings.HasPrefix(name, "entry") {
		return uint64(max(0, metricValue(metrics, "entry_table_revision")))
	}
	return uint64(max(0, metricValue(metrics, "control_revision")))
}

// metricValue returns the value of the metric whose name ends in suffix; -1 if there
// is none.
func metricValue(text []byte, suffix string) float64 {
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

// Usage holds the resources that a process has used.
type Usage struct {
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// RunnableWait is the total time that its threads were runnable but had no
	// processor. Threads that have ended are not included.
	RunnableWait time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
}

// ProcessUsage returns the resource usage of a process of the cell.
func (r *Rig) ProcessUsage(name string) (Usage, error) {
	return UsageOf(r.process(name).cmd.Process.Pid)
}

// UsageOf reads the resource usage of a process from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// Of the fields after the name in parentheses, the 12th and 13th are user and system
	// ticks, and the 22nd is resident pages.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, resident = 11, 12, 21
	number := func(i int) int64 { n, _ := strconv.ParseInt(fields[i], 10, 64); return n }
	return Usage{
		RunnableWait: runnableWait(pid),
		CPU:          time.Duration(number(user)+number(system)) * time.Second / ticksPerSecond,
		RSS:          number(resident) * int64(os.Getpagesize()),
	}, nil
}

// runnableWait returns the total time that the process's threads waited for a
// processor.
func runnableWait(pid int) time.Duration {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is valid
	var sum time.Duration
	for _, path := range paths {
		var ranNanos, waitNanos int64
		if text, err := os.ReadFile(path); err == nil {
			_, _ = fmt.Sscan(string(text), &ranNanos, &waitNanos)
		}
		sum += time.Duration(waitNanos)
	}
	return sum
}
