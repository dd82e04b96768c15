package rig_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/history"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/report"
	"gypsumreel/internal/load/rig"
	"gypsumreel/internal/load/work"
)

var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program once for all tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "gypsumreel")
	if out, err := exec.Command("go", "build", "-o", program, "gypsumreel/cmd/gypsumreel").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

// start runs a cell with a team and a few backend servers.
func start(t *testing.T, servers int) (*rig.Rig, *rig.Fleet, string) {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	const first, last, step = 19300, 19900, 150
	var r *rig.Rig
	err := fmt.Errorf("no ports")
	for port := first; err != nil && port < last; port += step {
		r = &rig.Rig{Program: program, Dir: t.TempDir(), FirstPort: port, Replicas: 3, Entries: 2}
		if err = r.Start(t.Context()); err != nil {
			t.Log(err)
			r.Close()
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	token, err := r.CreateTeam(t.Context(), "quarry")
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := r.StartFleet(t.Context(), servers, &v1.Size{Cpu: 64_000, Memory: 64 << 10, Slots: 32})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return r, fleet, token
}

// leader waits until a replica leads.
func leader(t *testing.T, r *rig.Rig) string {
	t.Helper()
	if err := r.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	name, _ := r.Leader()
	return name
}

// reached waits until the servers have started so many tasks.
func reached(t *testing.T, fleet *rig.Fleet, n int) {
	t.Helper()
	const patience = 30 * time.Second
	for end := time.Now().Add(patience); fleet.ServerRecord.TotalStarts() < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d starts after %s", fleet.ServerRecord.TotalStarts(), n, patience)
		}
	}
}

// Callers submit without a pause, some of it work that may run only once. The
// leader is killed, comes back, its successor is frozen past its lease on the
// lead and goes on, and an entry is stopped as planned and started again. Every
// caller still gets its own whole answer, nothing that runs once runs twice, and
// callers that stay at one entry until its probe fails lose no call.
func TestPromisesOverFailuresOfProcesses(t *testing.T) {
	r, fleet, token := start(t, 6)
	jobs := mix.Plan{
		Rate: 80, Duration: 10 * time.Second, Seed: 1, Weights: mix.KindWeights{job.Urgent: 8, job.Batch: 1, job.Gang: 1},
		Shapes: mix.DefaultShapes(), OnceFraction: 0.3, MeanAnswerBytes: 1000, IDPrefix: "smoke-",
	}.Jobs()
	d := &drive.Driver{Client: r.CallerClient(token), Jobs: jobs, Tail: 60 * time.Second}
	var w sync.WaitGroup
	defer w.Wait()
	var seen []drive.JobResult
	began := time.Now()
	w.Go(func() { seen = d.Run(t.Context()) })
	var calls rig.CallCounts
	pinned, unpin := context.WithCancel(t.Context())
	defer unpin()

	part := len(jobs) / 8
	reached(t, fleet, part)
	old := leader(t, r)
	r.Kill(old)
	reached(t, fleet, 2*part)
	if err := r.Restart(old); err != nil {
		t.Fatal(err)
	}
	second := leader(t, r)
	r.Pause(second)
	reached(t, fleet, 4*part)
	r.Resume(second)
	w.Go(func() { r.RunPinnedCallers(pinned, token, &calls) })
	reached(t, fleet, 5*part)
	if err := r.Stop("entry-1", 30*time.Second); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if err := r.Restart("entry-1"); err != nil {
		t.Fatal(err)
	}
	reached(t, fleet, 7*part)
	unpin()
	w.Wait()

	sum := report.Summarize(report.RunInfo{}, began, seen, fleet.TaskRuns)
	if faults := fleet.ServerRecord.Violations(); !sum.Violations.None() || len(faults) > 0 {
		t.Errorf("promises %+v, servers saw %v", sum.Violations, faults)
	}
	if sum.Counts.Accepted == 0 || calls.Made.Load() == 0 {
		t.Errorf("nothing was tested: %+v, %d calls", sum.Counts, calls.Made.Load())
	}
	if calls.CutOff.Load() > 0 {
		t.Errorf("%d of %d calls were cut off by a planned stop", calls.CutOff.Load(), calls.Made.Load())
	}
}

// quota counts operations and lets the test act after each share of them.
type quota struct {
	done  atomic.Int64
	parts []chan struct{}
	share int64
}

func newQuota(total, parts int64) *quota {
	q := &quota{share: total / parts}
	for range parts {
		q.parts = append(q.parts, make(chan struct{}))
	}
	return q
}

func (q *quota) one() {
	if n := q.done.Add(1); n%q.share == 0 && n/q.share <= int64(len(q.parts)) {
		close(q.parts[n/q.share-1])
	}
}

const (
	clients   = 6
	perClient = 20
	patience  = 20 * time.Second
	checking  = 60 * time.Second
)

// withFailures runs each client's operations while the leader is killed and
// brought back and its successor is frozen and goes on.
func withFailures(t *testing.T, r *rig.Rig, one func(client, i int)) {
	t.Helper()
	q := newQuota(clients*perClient, 6)
	var w sync.WaitGroup
	for c := range clients {
		w.Go(func() {
			for i := range perClient {
				one(c, i)
				q.one()
			}
		})
	}
	<-q.parts[0]
	old := leader(t, r)
	r.Kill(old)
	<-q.parts[1]
	if err := r.Restart(old); err != nil {
		t.Fatal(err)
	}
	<-q.parts[2]
	second := leader(t, r)
	r.Pause(second)
	<-q.parts[4]
	r.Resume(second)
	w.Wait()
}

// Operators race for the table from the bases that they see, each sends every
// change twice under its change id, and others read, while leaders fail. If an
// old leader answered from its own state, or a resend counted anew, no order of
// the operations explains the answers.
func TestTableIsLinearizable(t *testing.T) {
	r, _, _ := start(t, 0)
	op := r.OperatorClient()
	look := func(ctx context.Context) (history.TableReadReply, bool) {
		reply, err := op.Show(ctx, v1.Part_PART_TABLE)
		if err != nil || len(reply.GetRows()) != 1 {
			return history.TableReadReply{}, false
		}
		return history.TableReadReply{Revision: reply.GetRevision(), Weight: reply.GetRows()[0].GetWeight()}, true
	}
	first, ok := look(t.Context())
	if !ok {
		t.Fatal("the table cannot be read")
	}
	h := history.NewRecorder()
	withFailures(t, r, func(client, i int) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		var base uint64
		h.Record(client, history.TableRead{}, func() (any, bool) {
			now, ok := look(ctx)
			base = now.Revision
			return now, ok
		})
		in := history.TableChange{ID: fmt.Sprintf("c%d-%d", client, i), BaseRevision: base, Weight: uint32(2 + client*perClient + i)}
		for range 2 {
			h.Record(client, in, func() (any, bool) {
				revision, err := op.Change(ctx, &v1.ChangeRequest{Id: in.ID, Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
					Base: in.BaseRevision, Edits: []*v1.Edit{{Row: &v1.Row{Team: "quarry", Weight: in.Weight}, Cells: []string{"weight"}}},
				}}})
				if err == nil {
					return history.TableChangeReply{Code: code.OK, Revision: revision}, true
				}
				c := transport.AsCodeError(err).Code
				return history.TableChangeReply{Code: c, Revision: revision}, c == code.RevisionConflict
			})
		}
	})
	ops := h.Operations()
	if !history.Linearizable(history.TableModel(first), ops, checking) {
		t.Errorf("no order explains the %d operations", len(ops))
	}
	// The same history with one read that never was: the check can fail.
	for i := range ops {
		if got, ok := ops[i].Output.(history.TableReadReply); ok {
			got.Weight++
			ops[i].Output = got
			break
		}
	}
	if history.Linearizable(history.TableModel(first), ops, checking) {
		t.Error("a wrong read is explained")
	}
}

// Two callers use the same request id for different work at once, at any entry,
// while leaders fail. One content stands, the other is refused, and whoever waits
// gets the answer of the one that stands.
func TestRequestIDsAreLinearizable(t *testing.T) {
	r, _, token := start(t, 4)
	c := r.CallerClient(token)
	h := history.NewRecorder()
	withFailures(t, r, func(client, i int) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		in := history.Submit{ID: fmt.Sprintf("id-%d-%d", client/2, i), Content: fmt.Sprintf("content-%d", client%2)}
		h.Record(client, in, func() (any, bool) {
			got, err := c.Submit(ctx, []*v1.Spec{spec(in)}, false)
			if err != nil {
				return nil, false
			}
			k := code.Code(got[0].GetStatus().GetCode())
			return k, k == code.OK || k == code.IDReused
		})
		h.Record(client, history.Wait{ID: in.ID}, func() (any, bool) {
			got, err := c.Wait(ctx, in.ID)
			if err != nil || got.Outcome != v1.Outcome_OUTCOME_DONE {
				return nil, false
			}
			return history.WaitReply{Content: contentOf(got)}, true
		})
	})
	ops := h.Operations()
	if !history.Linearizable(history.RequestModel(), ops, checking) {
		t.Errorf("no order explains the %d operations", len(ops))
	}
	answered := false
	for i := range ops {
		if _, ok := ops[i].Output.(history.WaitReply); ok {
			ops[i].Output = history.WaitReply{Content: "nobody's"}
			answered = true
			break
		}
	}
	if !answered || history.Linearizable(history.RequestModel(), ops, checking) {
		t.Errorf("answered is %v, and a wrong answer is explained", answered)
	}
}

const answerLength = 64

func spec(in history.Submit) *v1.Spec {
	return &v1.Spec{
		Id: in.ID, Kind: v1.Kind_KIND_URGENT, Name: "raced", Count: 1, Size: &v1.Size{Cpu: 100, Memory: 64, Slots: 1}, Runtime: 10,
		Input: work.Input{ID: in.Content, Runtime: 5 * time.Millisecond, AnswerBytes: answerLength}.Encode(),
	}
}

// contentOf tells whose answer it is.
func contentOf(got caller.Result) string {
	for _, content := range []string{"content-0", "content-1"} {
		if string(work.TaskAnswer(content, 0, answerLength)) == string(got.Data) {
			return content
		}
	}
	return "damaged"
}
