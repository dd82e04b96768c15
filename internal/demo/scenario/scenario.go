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
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/client/transport"
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
	// length is how long jobs are submitted.
	length = 9 * time.Second
	// DefaultInterval is the time between two submissions.
	DefaultInterval = 15 * time.Millisecond
	// settle bounds the wait for the last outcomes.
	settle = 15 * time.Second
	// answerBytes is the length of each answer.
	answerBytes = 100_000
	// longest is the longest wait that the histogram holds, in microseconds.
	longest = 60_000_000
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
	// Broken lists the promises that did not hold.
	Broken []string `json:"broken"`
	// Seconds is how long the demo took.
	Seconds float64 `json:"seconds"`
}

// Wait holds percentiles of the time from submission to the whole answer, in ms.
type Wait struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Good tells whether every promise that was checked held.
func (r *Report) Good() bool { return len(r.Broken) == 0 }

// Scenario runs the demo. The exported fields are set before Run.
type Scenario struct {
	// Dir holds the replicas' data; it is the caller's to remove.
	Dir string
	// Interval is the time between two submissions; DefaultInterval when 0.
	Interval time.Duration
	// Step is told what happens, and how far the demo is, from 0 to 1.
	Step func(what string, part float64)
	Log  logr.Logger

	cell     *cell.Cell
	record   *server.Record
	operator *operator.Client
	callers  map[string]*caller.Client

	mu       sync.Mutex
	report   Report
	waits    *hdrhistogram.Histogram
	accepted []time.Time
}

// Run runs the demo and returns what it found; an error means that it could not run.
func (t *Scenario) Run(ctx context.Context) (*Report, error) {
	begin := time.Now()
	if t.Step == nil {
		t.Step = func(string, float64) {}
	}
	if t.Interval == 0 {
		t.Interval = DefaultInterval
	}
	t.record = &server.Record{}
	t.waits = hdrhistogram.New(1, longest, 3)
	t.callers = map[string]*caller.Client{}
	t.cell = &cell.Cell{
		Network: &cell.Loopback{}, Dir: t.Dir, Replicas: replicas, Entries: entries, Servers: servers, Zones: zones,
		Capacity: &v1.Size{Cpu: 16_000, Memory: 32_000, Slots: 8}, Record: t.record, Log: t.Log, Linger: 100 * time.Millisecond,
	}
	t.Step("start three control replicas, three entries and twelve backend servers in three zones", 0)
	if err := t.cell.Start(ctx); err != nil {
		return nil, errors.Wrap(err, "start the cell")
	}
	defer t.cell.Close()
	if err := t.prepare(ctx); err != nil {
		return nil, errors.Wrap(err, "set up teams and keys")
	}
	if err := t.work(ctx); err != nil {
		return nil, err
	}
	t.sum()
	t.report.Seconds = time.Since(begin).Seconds()
	return &t.report, nil
}

// link returns a client's way to a service of all entries.
func (t *Scenario) link(service, k string) *transport.Client {
	l := &transport.Client{Key: k, Timeout: 4 * time.Second}
	for _, e := range t.cell.Names("e", entries) {
		l.Addresses = append(l.Addresses, "http://"+t.cell.Network.Address(e+"-"+service))
	}
	return l
}

// prepare makes the teams and their keys.
func (t *Scenario) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	t.operator = &operator.Client{Transport: t.link("operators", t.cell.Operator)}
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
		k, err := t.grant(ctx, name, team)
		if err != nil {
			return err
		}
		t.callers[name] = &caller.Client{Transport: t.link("callers", k), MaxPollWait: 2 * time.Second}
	}
	return nil
}

func (t *Scenario) grant(ctx context.Context, id, team string) (string, error) {
	secret := key.NewSecret()
	digest := key.Digest(secret)
	_, err := t.operator.Change(ctx, &v1.ChangeRequest{Id: "grant-" + id, Change: &v1.ChangeRequest_Grant{
		Grant: &v1.KeyGrant{Id: id, Team: team, Digest: digest[:]},
	}})
	return id + "." + secret, err
}

func (t *Scenario) broken(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Broken = append(t.report.Broken, fmt.Sprintf(format, args...))
}

// sum fills in what is known only at the end.
func (t *Scenario) sum() {
	r := &t.report
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.Wait = Wait{P50: ms(t.waits.ValueAtQuantile(50)), P99: ms(t.waits.ValueAtQuantile(99)), Max: ms(t.waits.Max())}
	r.Duplicates += len(t.record.Faults())
	for _, f := range t.record.Faults() {
		t.broken("%s", f)
	}
	if r.Lost > 0 {
		t.broken("%d accepted jobs were lost", r.Lost)
	}
	if r.Broken == nil {
		r.Broken = []string{}
	}
}
