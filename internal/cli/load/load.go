// Package load implements the verb that puts load on a running cell and measures it.
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

// Limits of a run. They prevent a typing error in a flag from overloading the cell.
const (
	maxRate        = 20_000
	maxDuration    = time.Hour
	maxJobs        = 2_000_000
	maxServers     = 1_000
	maxAnswerBytes = 1 << 20
	// readyTimeout is the time in which the tool's own servers have to become ready.
	readyTimeout = 10 * time.Second
	// serversPerRack and zoneCount distribute the tool's own servers over racks and zones.
	serversPerRack = 8
	zoneCount      = 3
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "load", Short: "put load on a running cell and measure it",
		Long: "Submits jobs to a running cell at random times with a given mean rate, regardless of the progress of earlier jobs, and measures latency from each job's planned arrival time. " +
			"Checks that every answer is complete and belongs to its job, and with --servers that each job ran as often as the cell reports. " +
			"Exit code 0 when every promise that was checked held.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	Rate              float64       `long:"rate" default:"50" description:"mean arrivals per second"`
	Duration          time.Duration `long:"duration" default:"10s" description:"length of the run"`
	OutcomeTimeout    time.Duration `long:"tail" default:"60s" description:"maximum wait for outcomes after the last arrival"`
	Seed              uint64        `long:"seed" default:"1" description:"seed of the generated jobs; the same seed gives the same jobs"`
	Mix               string        `long:"mix" default:"urgent=70,batch=25,gang=4,service=1" description:"weights of the job kinds"`
	AtMostOnceShare   float64       `long:"once" default:"0.1" description:"fraction of the jobs that may run at most once, 0 to 1"`
	AnswerBytes       int           `long:"answer" default:"1000" description:"mean size of a task's answer in bytes"`
	GangTasks         uint32        `long:"gang" default:"4" description:"number of tasks of a gang"`
	RuntimeScale      float64       `long:"scale" default:"1" description:"factor on all run times"`
	Deadline          time.Duration `long:"deadline" description:"deadline of urgent jobs"`
	KeepOutcomes      bool          `long:"keep" description:"do not acknowledge outcomes"`
	ConnectionPerCall bool          `long:"single" description:"use one connection for each call in flight, for load balancers that don't forward HTTP/2 without TLS"`

	Servers         int    `long:"servers" description:"number of fake backend servers to start; with 0 the cell's own servers run the jobs, and the content of answers is not checked because it may be anything"`
	Backends        string `long:"backends" description:"the entries' listeners for backend servers, in the form of --address"`
	EnrolmentSecret string `long:"enrolment" env:"GYPSUMREEL_ENROLMENT" description:"enrolment secret of the fake backend servers"`
	Cores           int64  `long:"cores" default:"16" description:"cores of each fake backend server"`
	Memory          int64  `long:"memory" default:"32768" description:"MiB of memory of each fake backend server"`
	Slots           int64  `long:"slots" default:"8" description:"slots of each fake backend server"`

	OperatorKey     string   `long:"operator" env:"GYPSUMREEL_OPERATOR" description:"operator's key, to record the table revision in the result"`
	OperatorAddress string   `long:"operators" description:"address for operators, in the form of --address, if it differs"`
	SettingsFiles   []string `long:"settings" description:"settings file in use, to record its digest in the result; may be repeated"`
	Revision        string   `long:"revision" description:"revision of the measured code; that of this build when left out"`
	Note            string   `long:"note" description:"text to record in the result"`
}

// Run puts load on the cell and prints the measurements.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	plan, err := c.buildPlan(args)
	if err != nil {
		return err
	}
	runInfo, err := c.describeRun(plan)
	if err != nil {
		return err
	}
	transportClient, err := c.Transport()
	if err != nil {
		return err
	}
	transportClient.Multiplexed = !c.ConnectionPerCall
	runInfo.Targets = transportClient.Addresses
	if runInfo.TableRevisions[0], err = c.tableRevision(ctx); err != nil {
		return err
	}
	workRecord, serverRecord := &work.Recorder{}, &server.Recorder{}
	stopServers, err := c.startServers(ctx, workRecord, serverRecord)
	if err != nil {
		return err
	}
	driver := &drive.Driver{
		Client: &caller.Client{Transport: transportClient}, Jobs: plan.Jobs(), OutcomeTimeout: c.OutcomeTimeout, ForeignServers: c.Servers == 0, KeepOutcomes: c.KeepOutcomes,
		Progress: progressFunc(env, c.JSON),
	}
	runInfo.StartedAt = time.Now()
	outcome := driver.Run(ctx)
	stopServers()
	if c.Servers == 0 {
		workRecord = nil
	}
	result := report.Summarize(runInfo, runInfo.StartedAt, outcome, workRecord)
	result.Violations.ServerFaults = append(result.Violations.ServerFaults, serverRecord.Violations()...)
	// An error here is only printed: the result matters most when the cell failed during
	// the run.
	if result.Info.TableRevisions[1], err = c.tableRevision(ctx); err != nil {
		fmt.Fprintf(env.Err, "could not read the table revision after the run: %v\n", err)
	}
	return c.printResult(env, result)
}

// printResult prints the result and returns an Error if a promise was broken.
func (c *command) printResult(env verb.Env, result report.Result) error {
	if c.JSON {
		if err := c.Print(env.Out, result, verb.TextTable{}); err != nil {
			return err
		}
	} else if err := result.Write(env.Out); err != nil {
		return err
	}
	if result.Violations.None() {
		return nil
	}
	return &verb.Error{ExitCode: verb.ExitFailed, Message: "a promise did not hold", Advice: "Keep logs and dumps of the processes and report it with this result."}
}

// buildPlan validates the flags and returns the plan of the run.
func (c *command) buildPlan(args []string) (mix.Plan, error) {
	const usage = "See `gypsumreel load --help`."
	shares, err := mix.ParseKindWeights(c.Mix)
	switch {
	case len(args) > 0:
		return mix.Plan{}, verb.UsageError(usage, "unexpected %q", args[0])
	case err != nil:
		return mix.Plan{}, verb.UsageError(usage, "--mix: %v", err)
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return mix.Plan{}, verb.UsageError(usage, "--rate %g; allowed: above 0, up to %d", c.Rate, maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration || c.Rate*c.Duration.Seconds() > maxJobs:
		return mix.Plan{}, verb.UsageError(usage, "--duration %s; allowed: above 0, up to %s and %d jobs", c.Duration, maxDuration, maxJobs)
	case !(c.AtMostOnceShare >= 0 && c.AtMostOnceShare <= 1):
		return mix.Plan{}, verb.UsageError(usage, "--once %g; allowed: 0 to 1", c.AtMostOnceShare)
	case c.AnswerBytes < 0 || c.AnswerBytes > maxAnswerBytes:
		return mix.Plan{}, verb.UsageError(usage, "--answer %d; allowed: 0 to %d", c.AnswerBytes, maxAnswerBytes)
	case !(c.RuntimeScale > 0) || c.GangTasks == 0:
		return mix.Plan{}, verb.UsageError(usage, "--scale and --gang; allowed: above 0")
	case c.Servers < 0 || c.Servers > maxServers:
		return mix.Plan{}, verb.UsageError(usage, "--servers %d; allowed: 0 to %d", c.Servers, maxServers)
	case c.Servers > 0 && (c.Backends == "" || c.EnrolmentSecret == ""):
		return mix.Plan{}, verb.UsageError("Give --backends https://IP:PORT and --enrolment SECRET.", "--servers needs --backends and --enrolment")
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

// describeRun returns the parameters of the run as they appear in the result.
func (c *command) describeRun(plan mix.Plan) (report.RunInfo, error) {
	runInfo := report.RunInfo{
		Revision: report.BuildRevision(), SettingsDigests: map[string]string{}, Note: c.Note,
		Rate: plan.Rate, Duration: plan.Duration.String(), Seed: plan.Seed, Mix: map[string]float64{}, OnceFraction: plan.OnceFraction,
		AnswerBytes: plan.MeanAnswerBytes, Deadline: plan.Deadline.String(), Servers: c.Servers,
	}
	if c.Revision != "" {
		runInfo.Revision = c.Revision
	}
	for kind, weight := range plan.Weights {
		runInfo.Mix[kind.String()] = weight
	}
	for _, path := range c.SettingsFiles {
		b, err := os.ReadFile(path)
		if err != nil {
			return runInfo, verb.UsageError("Check --settings.", "%v", err)
		}
		runInfo.SettingsDigests[path] = strconv.FormatUint(xxhash.Sum64(b), 16)
	}
	return runInfo, nil
}

// tableRevision returns the table revision, or 0 without an operator's key.
func (c *command) tableRevision(ctx context.Context) (uint64, error) {
	if c.OperatorKey == "" {
		return 0, nil
	}
	flags := c.Flags
	flags.Key = c.OperatorKey
	if c.OperatorAddress != "" {
		flags.Address = c.OperatorAddress
	}
	r, err := flags.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return 0, err
	}
	return r.GetRevision(), nil
}

// startServers starts the fake backend servers and returns a function that stops them.
func (c *command) startServers(ctx context.Context, workRecord *work.Recorder, serverRecord *server.Recorder) (stop func(), err error) {
	if c.Servers == 0 {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	servers := make([]*server.Server, c.Servers)
	for i := range servers {
		if servers[i], err = c.newServer(i, workRecord, serverRecord); err != nil {
			cancel()
			return nil, err
		}
	}
	for i := range servers {
		go func() { _ = servers[i].Run(ctx) }() // the only error is that of the cancelled ctx
	}
	stop = func() {
		cancel()
		for _, s := range servers {
			<-s.Done()
		}
	}
	if err := c.waitUntilReady(ctx); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

func (c *command) newServer(i int, workRecord *work.Recorder, serverRecord *server.Recorder) (*server.Server, error) {
	flags := c.Flags
	flags.Address = c.Backends
	transportClient, err := flags.Transport()
	if err != nil {
		return nil, err
	}
	s := &server.Server{
		Name: fmt.Sprintf("load-%03d", i), Secret: c.EnrolmentSecret, RunTask: workRecord.RunTask, Recorder: serverRecord, Log: logr.Discard(),
		Rack: fmt.Sprintf("rack-%d", i/serversPerRack), Zone: fmt.Sprintf("zone-%d", i%zoneCount),
		Capacity: &v1.Size{Cpu: c.Cores * 1000, Memory: c.Memory, Slots: c.Slots},
	}
	for _, address := range transportClient.Addresses {
		if host, secure := strings.CutPrefix(address, "https://"); secure {
			s.EntryClients = append(s.EntryClients, server.NewEntryClient(host, transportClient.TLS.Clone(), nil))
			continue
		}
		s.EntryClients = append(s.EntryClients, server.NewEntryClient(strings.TrimPrefix(address, "http://"), nil, nil))
	}
	return s, nil
}

// waitUntilReady waits until the cell reports all fake backend servers as ready. Without
// an operator's key the state is unknown, and it waits for a quarter of readyTimeout.
func (c *command) waitUntilReady(ctx context.Context) error {
	if c.OperatorKey == "" {
		time.Sleep(readyTimeout / 4)
		return nil
	}
	flags := c.Flags
	flags.Key, flags.Timeout = c.OperatorKey, readyTimeout
	if c.OperatorAddress != "" {
		flags.Address = c.OperatorAddress
	}
	client, ctx, cancel, err := flags.OperatorClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	for {
		r, err := client.Show(ctx, v1.Part_PART_SERVERS)
		if err != nil && ctx.Err() != nil {
			return &verb.Error{ExitCode: verb.ExitUnreachable, Message: "the fake backend servers were not ready in time", Advice: "Check --backends and --enrolment."}
		}
		if err != nil {
			return remote.UserError(err)
		}
		readyServers := 0
		for _, s := range r.GetServers() {
			if s.GetState() == "ready" && strings.HasPrefix(s.GetServer(), "load-") {
				readyServers++
			}
		}
		if readyServers >= c.Servers {
			return nil
		}
		time.Sleep(readyTimeout / 100)
	}
}

// progressFunc returns a function that updates a progress bar. It returns nil when quiet
// is set or the error output is not a terminal.
func progressFunc(env verb.Env, quiet bool) func(sent, ended int) {
	f, ok := env.Err.(*os.File)
	if quiet || !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("jobs"), progressbar.OptionClearOnFinish())
	return func(sent, ended int) {
		bar.Describe(fmt.Sprintf("%d sent, %d ended", sent, ended))
		_ = bar.Add(1) // it only draws, so an error is ignored
	}
}
