// Command measure starts a cell of real processes on loopback, measures it and
// stops it: three control replicas, four entries, and fake backend servers and
// callers in this process behind relays that add the network's delays.
//
// It prints one JSON object a row; docs/measures has the figures.
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

// options are the command line.
type options struct {
	Parts     string        `long:"parts" default:"latency,starts,idle,change,faults" description:"which parts: latency, starts, idle, change, faults, slopes"`
	DelaySet  string        `long:"place" default:"balastas" choice:"balastas" choice:"coralwave" choice:"none" description:"whose delays"`
	FirstPort int           `long:"port" default:"19000" description:"first of 300 ports on loopback"`
	Servers   int           `long:"servers" default:"50" description:"backend servers"`
	Slots     int64         `long:"slots" default:"8" description:"slots of each backend server"`
	Rates     []float64     `long:"rate" default:"1400" description:"starts a second; may be repeated"`
	Duration  time.Duration `long:"duration" default:"12s" description:"length of each load"`
	Faults    string        `long:"faults" default:"leader-kill,leader-pause,entry-kill,rolling" description:"which faults"`
	Slopes    string        `long:"slopes" default:"start,server,memory" description:"which slopes"`
	Program   string        `long:"program" description:"the gypsumreel program; built when left out"`
	KeepDir   string        `long:"keep" description:"folder for settings and logs, kept; a temporary one when left out"`
}

// delays are one-way delays between zones and from clients, as the two
// deployments have them.
var delays = map[string][2]time.Duration{
	"balastas":  {1500 * time.Microsecond, 3 * time.Millisecond},
	"coralwave": {time.Millisecond, time.Millisecond},
	"none":      {},
}

// replicas and entries are the processes of the measured cell.
const (
	replicas = 3
	entries  = 4
	// cores and memory of a server are so large that its slots bind.
	cores  = 1_000_000
	memory = 1 << 24
)

// bench is one call of the program.
type bench struct {
	options
	program string
	dir     string
	runs    int
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
	b := &bench{}
	if _, err := flags.Parse(&b.options); err != nil {
		os.Exit(2)
	}
	b.dir = b.KeepDir
	if b.dir == "" {
		dir, err := os.MkdirTemp("", "measure-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		b.dir = dir
	}
	if b.program = b.Program; b.program == "" {
		b.program = filepath.Join(b.dir, "gypsumreel")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", b.program, "gypsumreel/cmd/gypsumreel").CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w: %s", err, out)
		}
	}
	for _, part := range strings.Split(b.Parts, ",") {
		fn, ok := parts[part]
		if !ok {
			return fmt.Errorf("part %q is not known", part)
		}
		if err := fn(ctx, b); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return nil
}

var parts = map[string]func(context.Context, *bench) error{
	"latency": latency, "starts": starts, "idle": idle, "change": change, "faults": faults, "slopes": slopes,
}

// cell runs fn on a fresh cell.
func (b *bench) cell(ctx context.Context, entries int, fn func(context.Context, *rig.Rig) error) error {
	b.runs++
	// What another run left in the folder is another cell.
	dir := filepath.Join(b.dir, fmt.Sprintf("run-%d", b.runs))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	d := delays[b.DelaySet]
	r := &rig.Rig{Program: b.program, Dir: dir, FirstPort: b.FirstPort, Replicas: replicas, Entries: entries, ZoneDelay: d[0], ClientDelay: d[1]}
	defer r.Close()
	if err := r.Start(ctx); err != nil {
		return err
	}
	return fn(ctx, r)
}

// size is a backend server's capacity.
func size(slots int64) *v1.Size { return &v1.Size{Cpu: cores, Memory: memory, Slots: slots} }

// emit prints a row.
func emit(row any) error { return json.NewEncoder(os.Stdout).Encode(row) }

// cost is what the processes of one role used in a time, summed over the role.
type cost struct {
	// CPU is in cores.
	CPU float64 `json:"cores"`
	// RunnableWait is in threads that were ready to run and had no processor.
	RunnableWait float64 `json:"waiting_threads"`
	// Bytes is a second, on the listeners of the role.
	Bytes float64 `json:"bytes_per_s"`
	// RSS is in MiB, the largest of the role's processes.
	RSS float64 `json:"rss_mib"`
}

// costs are those of the roles.
type costs struct {
	Leader   cost `json:"leader"`
	Follower cost `json:"follower"`
	Entry    cost `json:"entry"`
	// BackendBytes is what went between entries and backend servers, bytes a second.
	BackendBytes float64 `json:"backend_bytes_per_s"`
	// ToolCPU is the cores that this process used: servers, callers and relays.
	ToolCPU float64 `json:"tool_cores"`
}

// sample is what had been used at a time.
type sample struct {
	at      time.Time
	usage   map[string]rig.Usage
	bytes   map[string]int64
	backend int64
	tool    rig.Usage
}

func take(r *rig.Rig) (sample, error) {
	s := sample{at: time.Now(), usage: map[string]rig.Usage{}, bytes: map[string]int64{}}
	var err error
	for _, name := range slices.Concat(r.ControlNames(), r.EntryNames()) {
		if s.usage[name], err = r.ProcessUsage(name); err != nil {
			return s, err
		}
		s.bytes[name] = r.ListenerBytes(name)
	}
	for _, name := range r.EntryNames() {
		s.backend += r.BackendBytes(name)
	}
	s.tool, err = rig.UsageOf(os.Getpid())
	return s, err
}

// between sums up by role what was used from one sample to another.
func between(r *rig.Rig, from, to sample) costs {
	var out costs
	seconds := to.at.Sub(from.at).Seconds()
	lead, _ := r.Leader()
	for name, u := range to.usage {
		c := &out.Follower
		switch {
		case name == lead:
			c = &out.Leader
		case strings.HasPrefix(name, "entry"):
			c = &out.Entry
		}
		c.CPU += (u.CPU - from.usage[name].CPU).Seconds() / seconds
		c.RunnableWait += (u.RunnableWait - from.usage[name].RunnableWait).Seconds() / seconds
		c.Bytes += float64(to.bytes[name]-from.bytes[name]) / seconds
		c.RSS = max(c.RSS, float64(u.RSS)/(1<<20))
	}
	out.BackendBytes = float64(to.backend-from.backend) / seconds
	out.ToolCPU = (to.tool.CPU - from.tool.CPU).Seconds() / seconds
	return out
}
