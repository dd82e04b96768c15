// Package load is the verb that loads a running cell and measures it.
package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/report"
	"gypsumreel/internal/load/work"
)

// Bounds of a run, so that a slip of the finger is no flood.
const (
	maxRate     = 20_000
	maxDuration = time.Hour
	maxJobs     = 2_000_000
	maxServers  = 1_000
	maxAnswer   = 1 << 20
	// settle is how long the tool's own servers have to be ready in.
	settle = 10 * time.Second
	// perRack and zones spread the tool's own servers.
	perRack = 8
	zones   = 3
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "load", Short: "load a running cell and measure it",
		Long: "Submits jobs to a running cell at random times of a given mean rate, whatever became of earlier ones, and measures from the time at which each was to arrive. " +
			"Checks that every answer is whole and its job's own, and with --servers that each ran as often as the cell says. " +
			"Exit code 0 when every promise that was checked held.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	Rate              float64       `long:"rate" default:"50" description:"mean arrivals a second"`
	Duration          time.Duration `long:"duration" default:"10s" description:"length of the run"`
	OutcomeTimeout    time.Duration `long:"tail" default:"60s" description:"longest wait for outcomes after the last arrival"`
	Seed              uint64        `long:"seed" default:"1" description:"the same seed makes the same jobs"`
	Mix               string        `long:"mix" default:"urgent=70,batch=25,gang=4,service=1" description:"weights of the kinds"`
	AtMostOnceShare   float64       `long:"once" default:"0.1" description:"part of the jobs that may run at most once, 0 to 1"`
	AnswerBytes       int           `long:"answer" default:"1000" description:"mean bytes of a task's answer"`
	GangTasks         uint32        `long:"gang" default:"4" description:"tasks of a gang"`
	RuntimeScale      float64       `long:"scale" default:"1" description:"factor on all run times"`
	Deadline          time.Duration `long:"deadline" description:"deadline of urgent jobs"`
	KeepOutcomes      bool          `long:"keep" description:"do not acknowledge outcomes"`
	ConnectionPerCall bool          `long:"single" description:"one connection for each call under way, where a balancer passes on no HTTP/2 without TLS"`

	Servers         int    `long:"servers" description:"own fake backend servers; without them, those of the cell have to echo nothing in particular and content is not checked"`
	Backends        string `long:"backends" description:"the entries' listeners for backend servers, as --address"`
	EnrolmentSecret string `long:"enrolment" env:"GYPSUMREEL_ENROLMENT" description:"enrolment secret of the own backend servers"`
	Cores           int64  `long:"cores" default:"16" description:"cores of each own backend server"`
	Memory          int64  `long:"memory" default:"32768" description:"MiB of each own backend server"`
	Slots           int64  `long:"slots" default:"8" description:"slots of each own backend server"`

	OperatorKey     string   `long:"operator" env:"GYPSUMREEL_OPERATOR" description:"operator's key, to name the table's revision in the result"`
	OperatorAddress string   `long:"operators" description:"address for operators, as --address, when it is another"`
	SettingsFiles   []string `long:"settings" description:"settings file in force, to name its digest in the result; may be repeated"`
	Revision        string   `long:"revision" description:"revision of the code measured; that of this build when left out"`
	Note            string   `long:"note" description:"text to keep in the result"`
}

// Run loads the cell.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	plan, err := c.plan(args)
	if err != nil {
		return err
	}
	m, err := c.measured(plan)
	if err != nil {
		return err
	}
	l, err := c.Transport()
	if err != nil {
		return err
	}
	l.Multiplexed = !c.ConnectionPerCall
	m.Targets = l.Addresses
	if m.TableRevisions[0], err = c.revision(ctx); err != nil {
		return err
	}
	record, seen := &work.Record{}, &server.Recorder{}
	stop, err := c.serve(ctx, record, seen)
	if err != nil {
		return err
	}
	d := &drive.Driver{
		Client: &caller.Client{Transport: l}, Jobs: plan.Jobs(), Tail: c.OutcomeTimeout, ForeignServers: c.Servers == 0, KeepOutcomes: c.KeepOutcomes,
		Progress: progress(env, c.JSON),
	}
	m.StartedAt = time.Now()
	outcome := d.Run(ctx)
	stop()
	if c.Servers == 0 {
		record = nil
	}
	r := report.Summarize(m, m.StartedAt, outcome, record)
	r.Violations.ServerFaults = append(r.Violations.ServerFaults, seen.Violations()...)
	// A run that ended in a fault of the cell is the one whose result counts most.
	if r.Info.TableRevisions[1], err = c.revision(ctx); err != nil {
		fmt.Fprintf(env.Err, "the table's revision after the run is not known: %v\n", err)
	}
	return c.finish(env, r)
}

func (c *command) finish(env verb.Env, r report.Result) error {
	if c.JSON {
		if err := c.Print(env.Out, r, verb.TextTable{}); err != nil {
			return err
		}
	} else if err := r.Write(env.Out); err != nil {
		return err
	}
	if r.Violations.None() {
		return nil
	}
	return &verb.Error{ExitCode: verb.ExitFailed, Message: "a promise did not hold", Advice: "Keep logs and dumps of the processes and report it with this result."}
}

func (c *command) plan(args []string) (mix.Plan, error) {
	const next = "See `gypsumreel load --help`."
	shares, err := mix.ParseKindWeights(c.Mix)
	switch {
	case len(args) > 0:
		return mix.Plan{}, verb.UsageError(next, "unexpected %q", args[0])
	case err != nil:
		return mix.Plan{}, verb.UsageError(next, "--mix: %v", err)
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return mix.Plan{}, verb.UsageError(next, "--rate %g; allowed: above 0, up to %d", c.Rate, maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration || c.Rate*c.Duration.Seconds() > maxJobs:
		return mix.Plan{}, verb.UsageError(next, "--duration %s; allowed: above 0, up to %s and %d jobs", c.Duration, maxDuration, maxJobs)
	case !(c.AtMostOnceShare >= 0 && c.AtMostOnceShare <= 1):
		return mix.Plan{}, verb.UsageError(next, "--once %g; allowed: 0 to 1", c.AtMostOnceShare)
	case c.AnswerBytes < 0 || c.AnswerBytes > maxAnswer:
		return mix.Plan{}, verb.UsageError(next, "--answer %d; allowed: 0 to %d", c.AnswerBytes, maxAnswer)
	case !(c.RuntimeScale > 0) || c.GangTasks == 0:
		return mix.Plan{}, verb.UsageError(next, "--scale and --gang; allowed: above 0")
	case c.Servers < 0 || c.Servers > maxServers:
		return mix.Plan{}, verb.UsageError(next, "--servers %d; allowed: 0 to %d", c.Servers, maxServers)
	case c.Servers > 0 && (c.Backends == "" || c.EnrolmentSecret == ""):
		return mix.Plan{}, verb.UsageError("Give --backends https://IP:PORT and --enrolment SECRET.", "--servers without the way to enrol them")
	}
	shapes := mix.DefaultShapes()
	for kind, s := range shapes {
		s.Runtime = time.Duration(float64(s.Runtime) * c.RuntimeScale)
		if kind == job.Gang {
			s.Count = c.GangTasks
		}
		shapes[kind] = s
	}
	return mix.Plan{
		Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Weights: shares, Shapes: shapes, OnceFraction: c.AtMostOnceShare,
		MeanAnswerBytes: c.AnswerBytes, Deadline: c.Deadline, IDPrefix: "load-" + remote.NewID() + "-",
	}, nil
}

func (c *command) measured(p mix.Plan) (report.RunInfo, error) {
	m := report.RunInfo{
		Revision: report.BuildRevision(), SettingsDigests: map[string]string{}, Note: c.Note,
		Rate: p.Rate, Duration: p.Duration.String(), Seed: p.Seed, Mix: map[string]float64{}, OnceFraction: p.OnceFraction,
		AnswerBytes: p.MeanAnswerBytes, Deadline: p.Deadline.String(), Servers: c.Servers,
	}
	if c.Revision != "" {
		m.Revision = c.Revision
	}
	for kind, weight := range p.Weights {
		m.Mix[kind.String()] = weight
	}
	for _, path := range c.SettingsFiles {
		b, err := os.ReadFile(path)
		if err != nil {
			return m, verb.UsageError("Check --settings.", "%v", err)
		}
		m.SettingsDigests[path] = strconv.FormatUint(xxhash.Sum64(b), 16)
	}
	return m, nil
}

// revision returns the table's revision; 0 without an operator's key.
func (c *command) revision(ctx context.Context) (uint64, error) {
	if c.OperatorKey == "" {
		return 0, nil
	}
	f := c.Flags
	f.Key = c.OperatorKey
	if c.OperatorAddress != "" {
		f.Address = c.OperatorAddress
	}
	r, err := f.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return 0, err
	}
	return r.GetRevision(), nil
}

// serve starts the tool's own backend servers and returns what stops them.
func (c *command) serve(ctx context.Context, record *work.Record, seen *server.Recorder) (stop func(), err error) {
	if c.Servers == 0 {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	all := make([]*server.Server, c.Servers)
	for i := range all {
		if all[i], err = c.server(i, record, seen); err != nil {
			cancel()
			return nil, err
		}
	}
	for i := range all {
		go func() { _ = all[i].Run(ctx) }() // ends with ctx, which is its only error
	}
	stop = func() {
		cancel()
		for _, s := range all {
			<-s.Done()
		}
	}
	if err := c.ready(ctx); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

func (c *command) server(i int, record *work.Record, seen *server.Recorder) (*server.Server, error) {
	f := c.Flags
	f.Address = c.Backends
	l, err := f.Transport()
	if err != nil {
		return nil, err
	}
	s := &server.Server{
		Name: fmt.Sprintf("load-%03d", i), Secret: c.EnrolmentSecret, Work: record.RunTask, Recorder: seen, Log: logr.Discard(),
		Rack: fmt.Sprintf("rack-%d", i/perRack), Zone: fmt.Sprintf("zone-%d", i%zones),
		Capacity: &v1.Size{Cpu: c.Cores * 1000, Memory: c.Memory, Slots: c.Slots},
	}
	for _, a := range l.Addresses {
		if host, secure := strings.CutPrefix(a, "https://"); secure {
			s.Entries = append(s.Entries, server.NewEntry(host, l.TLS.Clone(), nil))
			continue
		}
		s.Entries = append(s.Entries, server.NewEntry(strings.TrimPrefix(a, "http://"), nil, nil))
	}
	return s, nil
}

// ready waits until a quarter of the settling time passes or, with an operator's
// key, until the cell counts all servers as ready.
func (c *command) ready(ctx context.Context) error {
	if c.OperatorKey == "" {
		time.Sleep(settle / 4)
		return nil
	}
	f := c.Flags
	f.Key, f.Timeout = c.OperatorKey, settle
	if c.OperatorAddress != "" {
		f.Address = c.OperatorAddress
	}
	client, ctx, cancel, err := f.OperatorClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	for {
		r, err := client.Show(ctx, v1.Part_PART_SERVERS)
		if err != nil && ctx.Err() != nil {
			return &verb.Error{ExitCode: verb.ExitUnreachable, Message: "the own backend servers were not ready in time", Advice: "Check --backends and --enrolment."}
		}
		if err != nil {
			return remote.UserError(err)
		}
		n := 0
		for _, s := range r.GetServers() {
			if s.GetState() == "ready" && strings.HasPrefix(s.GetServer(), "load-") {
				n++
			}
		}
		if n >= c.Servers {
			return nil
		}
		time.Sleep(settle / 100)
	}
}

// progress returns what draws a bar on a terminal; nil when there is none.
func progress(env verb.Env, quiet bool) func(sent, ended int) {
	f, ok := env.Err.(*os.File)
	if quiet || !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("jobs"), progressbar.OptionClearOnFinish())
	return func(sent, ended int) {
		bar.Describe(fmt.Sprintf("%d sent, %d ended", sent, ended))
		_ = bar.Add(1) // drawing is all it does
	}
}
