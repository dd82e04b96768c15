// Package scenario is the demo: a whole cell on loopback serves urgent, batch, gang
// and service work while its leader is killed and a key is withdrawn, and every
// promise that can be seen from outside is checked.
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
	"gypsumreel/internal/client/link"
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/demo/cell"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/server"
)

// The size of the cell and of its work.
const (
	replicas = 3
	entries  = 3
	servers  = 12
	zones    = 3
	// submitDuration is how long jobs are submitted.
	submitDuration = 9 * time.Second
	// DefaultInterval is the time between two submissions.
	DefaultInterval = 15 * time.Millisecond
	// settleTimeout bounds the wait for the last outcomes.
	settleTimeout = 15 * time.Second
	// answerBytes is the length of each answer.
	answerBytes = 100_000
	// maxRecordedWaitMicros is the longest wait that the histogram holds, in microseconds.
	maxRecordedWaitMicros = 60_000_000
)

// teams are the demo's teams and what their jobs are like.
var teams = []string{"quotes", "sweeps"}

// Report is what the demo found.
type Report struct {
	Accepted int `json:"accepted"`
	Done     int `json:"done"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Duplicates counts tasks that ran twice and may not, or in two places.
	Duplicates int `json:"duplicates"`
	// Lost counts accepted jobs without an outcome or with an answer that is not whole.
	Lost int `json:"lost"`
	// Failover is the time from the leader's end to the next acceptance, in ms.
	Failover int64 `json:"failover"`
	// Withdrawal is the time until every entry refused the withdrawn key, in ms.
	Withdrawal int64 `json:"withdrawal"`
	Wait       Wait  `json:"wait"`
	// Violations lists the promises that did not hold.
	Violations []string `json:"broken"`
	// Seconds is how long the demo took.
	Seconds float64 `json:"seconds"`
}

// Wait holds percentiles of the time from submission to the whole answer, in ms.
type Wait struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Passed tells whether every promise that was checked held.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

// Scenario runs the demo. The exported fields are set before Run.
type Scenario struct {
	// Dir holds the replicas' data; it is the caller's to remove.
	Dir string
	// Interval is the time between two submissions; DefaultInterval when 0.
	Interval time.Duration
	// OnStep is told what happens, and how far the demo is, from 0 to 1.
	OnStep func(what string, part float64)
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

// Run runs the demo and returns what it found; an error means that it could not run.
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
		Capacity: &v1.Size{Cpu: 16_000, Memory: 32_000, Slots: 8}, Recorder: t.recorder, Log: t.Log, Linger: 100 * time.Millisecond,
	}
	t.OnStep("start three control replicas, three entries and twelve backend servers in three zones", 0)
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

// entryLink returns a client's way to a service of all entries.
func (t *Scenario) entryLink(service, k string) *link.Link {
	l := &link.Link{Key: k, Timeout: 4 * time.Second}
	for _, e := range t.cell.ProcessNames("e", entries) {
		l.Addresses = append(l.Addresses, "http://"+t.cell.Network.Address(e+"-"+service))
	}
	return l
}

// createTeams makes the teams and their keys.
func (t *Scenario) createTeams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	t.operator = &operator.Client{Link: t.entryLink("operators", t.cell.OperatorKey)}
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
		k, err := t.grantKey(ctx, name, team)
		if err != nil {
			return err
		}
		t.callers[name] = &caller.Client{Link: t.entryLink("callers", k), Patience: 2 * time.Second}
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

// completeReport fills in what is known only at the end.
func (t *Scenario) completeReport() {
	r := &t.report
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.Wait = Wait{P50: ms(t.waitHistogram.ValueAtQuantile(50)), P99: ms(t.waitHistogram.ValueAtQuantile(99)), Max: ms(t.waitHistogram.Max())}
	r.Duplicates += len(t.recorder.Violations())
	for _, f := range t.recorder.Violations() {
		t.recordViolation("%s", f)
	}
	if r.Lost > 0 {
		t.recordViolation("%d accepted jobs were lost", r.Lost)
	}
	if r.Violations == nil {
		r.Violations = []string{}
	}
}
