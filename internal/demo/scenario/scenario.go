// Package scenario implements the demo. A complete cell on loopback runs urgent, batch, gang
// and service jobs while the leader is killed and an API key is withdrawn. The demo checks
// every guarantee that a client can observe.
package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/demo/cell"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/server"
)

// The size of the cell and of the workload.
const (
	replicas = 3
	entries  = 3
	servers  = 12
	zones    = 3
	// submitDuration is how long the demo submits jobs.
	submitDuration = 9 * time.Second
	// DefaultInterval is the time between two submissions.
	DefaultInterval = 15 * time.Millisecond
	// settleTimeout limits the wait for the last outcomes, and each operator request.
	settleTimeout = 15 * time.Second
	// answerBytes is the length of the answer of each task.
	answerBytes = 100_000
	// maxRecordedWaitMicros is the highest value of the wait histogram in microseconds.
	maxRecordedWaitMicros = 60_000_000
)

// teams are the names of the teams that submit jobs.
var teams = []string{"quotes", "sweeps"}

// Report is the result of the demo.
type Report struct {
	Accepted int `json:"accepted"`
	Done     int `json:"done"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Duplicates counts tasks that ran on two servers and attempts that started twice.
	Duplicates int `json:"duplicates"`
	// Lost counts accepted jobs without an outcome or with an incomplete answer.
	Lost int `json:"lost"`
	// Failover is the time from the kill of the leader to the next accepted job, in ms.
	Failover int64 `json:"failover"`
	// Withdrawal is the time from the withdrawal of a key until all entries refuse it, in
	// ms.
	Withdrawal int64 `json:"withdrawal"`
	Wait       Wait  `json:"wait"`
	// Violations describes each violated guarantee.
	Violations []string `json:"broken"`
	// Seconds is the duration of the demo.
	Seconds float64 `json:"seconds"`
}

// Wait holds percentiles of the time from submission to the complete answer, in ms.
type Wait struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Passed reports whether the demo found no violation.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

// Scenario runs the demo. The exported fields are set before Run.
type Scenario struct {
	// Dir is the folder for the replicas' data. The caller removes it.
	Dir string
	// Interval is the time between two submissions; DefaultInterval when 0.
	Interval time.Duration
	// OnStep is called at each step with a description and the progress from 0 to 1; may be nil.
	OnStep func(description string, progress float64)
	Log    logr.Logger

	cell     *cell.Cell
	recorder *server.Recorder
	operator *operator.Client
	callers  map[string]*caller.Client

	mu              sync.Mutex
	report          Report
	waitHistogram   *hdrhistogram.Histogram
	acceptanceTimes []time.Time
}

// Run runs the demo and returns its report. An error means that the demo could not run.
func (t *Scenario) Run(ctx context.Context) (*Report, error) {
	startedAt := time.Now()
	if t.OnStep == nil {
		t.OnStep = func(string, float64) {}
	}
	if t.Interval == 0 {
		t.Interval = DefaultInterval
	}
	t.recorder = &server.Recorder{}
	t.waitHistogram = hdrhistogram.New(1, maxRecordedWaitMicros, 3)
	t.callers = map[string]*caller.Client{}
	t.cell = &cell.Cell{
		Network: &cell.Loopback{}, Dir: t.Dir, Replicas: replicas, Entries: entries, Servers: servers, Zones: zones,
		Capacity: &v1.Size{Cpu: 16_000, Memory: 32_000, Slots: 8}, Recorder: t.recorder, Log: t.Log, ShutdownDelay: 100 * time.Millisecond,
	}
	t.OnStep("starting three control replicas, three entries and twelve backend servers in three zones", 0)
	if err := t.cell.Start(ctx); err != nil {
		return nil, errors.Wrap(err, "start the cell")
	}
	defer t.cell.Close()
	if err := t.createTeams(ctx); err != nil {
		return nil, errors.Wrap(err, "set up teams and keys")
	}
	if err := t.runWorkload(ctx); err != nil {
		return nil, err
	}
	t.completeReport()
	t.report.Seconds = time.Since(startedAt).Seconds()
	return &t.report, nil
}

// entryTransport returns a transport to one service of all entries, with the given API key.
func (t *Scenario) entryTransport(service, apiKey string) *transport.Client {
	client := &transport.Client{Key: apiKey, Timeout: 4 * time.Second}
	for _, e := range t.cell.ProcessNames("e", entries) {
		client.Addresses = append(client.Addresses, "http://"+t.cell.Network.Address(e+"-"+service))
	}
	return client
}

// createTeams creates the teams and an API key for each, and a spare key that is
// withdrawn later.
func (t *Scenario) createTeams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	t.operator = &operator.Client{Transport: t.entryTransport("operators", t.cell.OperatorKey)}
	change := &v1.TableChange{}
	for _, name := range teams {
		change.Edits = append(change.Edits, &v1.Edit{Row: &v1.Row{
			Team: name, Weight: 1, Share: 400, Queue: 10_000, Limit: &v1.Size{Cpu: 150_000, Memory: -1, Accel: -1, Slots: -1},
		}})
	}
	if _, err := t.operator.Change(ctx, &v1.ChangeRequest{Id: "teams", Change: &v1.ChangeRequest_Table{Table: change}}); err != nil {
		return err
	}
	for _, name := range append([]string{"spare"}, teams...) {
		team := name
		if name == "spare" {
			team = teams[0]
		}
		apiKey, err := t.grantKey(ctx, name, team)
		if err != nil {
			return err
		}
		t.callers[name] = &caller.Client{Transport: t.entryTransport("callers", apiKey), MaxPollWait: 2 * time.Second}
	}
	return nil
}

func (t *Scenario) grantKey(ctx context.Context, id, team string) (string, error) {
	secret := key.NewSecret()
	digest := key.Digest(secret)
	_, err := t.operator.Change(ctx, &v1.ChangeRequest{Id: "grant-" + id, Change: &v1.ChangeRequest_Grant{
		Grant: &v1.KeyGrant{Id: id, Team: team, Digest: digest[:]},
	}})
	return id + "." + secret, err
}

func (t *Scenario) recordViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Violations = append(t.report.Violations, fmt.Sprintf(format, args...))
}

// completeReport adds the wait percentiles and the violations to the report.
func (t *Scenario) completeReport() {
	r := &t.report
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.Wait = Wait{P50: ms(t.waitHistogram.ValueAtQuantile(50)), P99: ms(t.waitHistogram.ValueAtQuantile(99)), Max: ms(t.waitHistogram.Max())}
	r.Duplicates += len(t.recorder.Violations())
	for _, violation := range t.recorder.Violations() {
		t.recordViolation("%s", violation)
	}
	if r.Lost > 0 {
		t.recordViolation("%d accepted jobs have no outcome or an incomplete answer", r.Lost)
	}
	if r.Violations == nil {
		r.Violations = []string{}
	}
}
