// Command measure starts a cell of real processes on loopback, measures it and stops
// it. The cell has three control replicas and four entries. Fake backend servers and
// callers run in this process, behind relays that add network delays.
//
// Each result is printed as one JSON object per line. docs/measures holds the results.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/load/rig"
)

// options are the command-line options.
type options struct {
	Parts     string        `long:"parts" default:"latency,starts,idle,change,faults" description:"measurements to run: latency, starts, idle, change, faults, slopes"`
	DelaySet  string        `long:"place" default:"balastas" choice:"balastas" choice:"coralwave" choice:"none" description:"deployment whose network delays are added"`
	FirstPort int           `long:"port" default:"19000" description:"first of 300 ports on loopback"`
	Servers   int           `long:"servers" default:"50" description:"number of backend servers"`
	Slots     int64         `long:"slots" default:"8" description:"slots of each backend server"`
	Rates     []float64     `long:"rate" default:"1400" description:"starts per second; may be repeated"`
	Duration  time.Duration `long:"duration" default:"12s" description:"duration of each load"`
	Faults    string        `long:"faults" default:"leader-kill,leader-pause,entry-kill,rolling" description:"faults to inject"`
	Slopes    string        `long:"slopes" default:"start,server,memory" description:"slopes to measure"`
	Program   string        `long:"program" description:"path of the gypsumreel program; built by default"`
	KeepDir   string        `long:"keep" description:"folder in which settings and logs are kept; a temporary folder by default"`
}

// delays holds the one-way delays between zones and between clients and entries, for
// each value of --place.
var delays = map[string][2]time.Duration{
	"balastas":  {1500 * time.Microsecond, 3 * time.Millisecond},
	"coralwave": {time.Millisecond, time.Millisecond},
	"none":      {},
}

// The measured cell has this many control replicas and entries.
const (
	replicas = 3
	entries  = 4
	// serverCPU, in millicores, and serverMemory, in MiB, are so large that only the
	// slots limit a server.
	serverCPU    = 1_000_000
	serverMemory = 1 << 24
)

// measurement is one run of this program.
type measurement struct {
	options
	program   string
	dir       string
	cellCount int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	m := &measurement{}
	if _, err := flags.Parse(&m.options); err != nil {
		os.Exit(2)
	}
	m.dir = m.KeepDir
	if m.dir == "" {
		dir, err := os.MkdirTemp("", "measure-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		m.dir = dir
	}
	if m.program = m.Program; m.program == "" {
		m.program = filepath.Join(m.dir, "gypsumreel")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", m.program, "gypsumreel/cmd/gypsumreel").CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w: %s", err, out)
		}
	}
	for _, part := range strings.Split(m.Parts, ",") {
		fn, ok := measurements[part]
		if !ok {
			return fmt.Errorf("unknown part %q", part)
		}
		if err := fn(ctx, m); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return nil
}

var measurements = map[string]func(context.Context, *measurement) error{
	"latency": measureLatency, "starts": measureStarts, "idle": measureIdle, "change": measureChanges, "faults": measureFaults, "slopes": measureSlopes,
}

// withCell runs fn on a new cell.
func (m *measurement) withCell(ctx context.Context, entries int, fn func(context.Context, *rig.Rig) error) error {
	m.cellCount++
	// Each cell needs an empty folder, because a replica would load the data of an
	// earlier cell.
	dir := filepath.Join(m.dir, fmt.Sprintf("run-%d", m.cellCount))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	delay := delays[m.DelaySet]
	r := &rig.Rig{Program: m.program, Dir: dir, FirstPort: m.FirstPort, Replicas: replicas, Entries: entries, ZoneDelay: delay[0], ClientDelay: delay[1]}
	defer r.Close()
	if err := r.Start(ctx); err != nil {
		return err
	}
	return fn(ctx, r)
}

// serverCapacity returns the capacity of a backend server with the given slots.
func serverCapacity(slots int64) *v1.Size {
	return &v1.Size{Cpu: serverCPU, Memory: serverMemory, Slots: slots}
}

// printRow prints a row as JSON.
func printRow(row any) error { return json.NewEncoder(os.Stdout).Encode(row) }

// roleUsage is the resource usage of all processes of a role over an interval.
type roleUsage struct {
	// CPU is the mean number of used cores.
	CPU float64 `json:"cores"`
	// RunnableWait is the mean number of threads that were runnable but had no
	// processor.
	RunnableWait float64 `json:"waiting_threads"`
	// Bytes is the traffic on the listeners of the role, in bytes per second.
	Bytes float64 `json:"bytes_per_s"`
	// RSS is the largest resident memory of a process of the role, in MiB.
	RSS float64 `json:"rss_mib"`
}

// cellUsage holds the resource usage of each role.
type cellUsage struct {
	Leader   roleUsage `json:"leader"`
	Follower roleUsage `json:"follower"`
	Entry    roleUsage `json:"entry"`
	// BackendBytes is the traffic between entries and backend servers, in bytes per
	// second.
	BackendBytes float64 `json:"backend_bytes_per_s"`
	// ToolCPU is the mean number of cores that this process used for its servers,
	// callers and relays.
	ToolCPU float64 `json:"tool_cores"`
}

// usageSample holds the total resource usage of all processes at one time.
type usageSample struct {
	takenAt       time.Time
	processUsage  map[string]rig.Usage
	listenerBytes map[string]int64
	backendBytes  int64
	toolUsage     rig.Usage
}

func takeSample(r *rig.Rig) (usageSample, error) {
	sample := usageSample{takenAt: time.Now(), processUsage: map[string]rig.Usage{}, listenerBytes: map[string]int64{}}
	var err error
	for _, name := range slices.Concat(r.ControlNames(), r.EntryNames()) {
		if sample.processUsage[name], err = r.ProcessUsage(name); err != nil {
			return sample, err
		}
		sample.listenerBytes[name] = r.ListenerBytes(name)
	}
	for _, name := range r.EntryNames() {
		sample.backendBytes += r.BackendBytes(name)
	}
	sample.toolUsage, err = rig.UsageOf(os.Getpid())
	return sample, err
}

// usageBetween returns the resource usage of each role between two samples.
func usageBetween(r *rig.Rig, before, after usageSample) cellUsage {
	var usage cellUsage
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	leader, _ := r.Leader()
	for name, processUsage := range after.processUsage {
		role := &usage.Follower
		switch {
		case name == leader:
			role = &usage.Leader
		case strings.HasPrefix(name, "entry"):
			role = &usage.Entry
		}
		role.CPU += (processUsage.CPU - before.processUsage[name].CPU).Seconds() / seconds
		role.RunnableWait += (processUsage.RunnableWait - before.processUsage[name].RunnableWait).Seconds() / seconds
		role.Bytes += float64(after.listenerBytes[name]-before.listenerBytes[name]) / seconds
		role.RSS = max(role.RSS, float64(processUsage.RSS)/(1<<20))
	}
	usage.BackendBytes = float64(after.backendBytes-before.backendBytes) / seconds
	usage.ToolCPU = (after.toolUsage.CPU - before.toolUsage.CPU).Seconds() / seconds
	return usage
}
