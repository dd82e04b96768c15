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
	"gypsumreel/internal/client/link"
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
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program once for all tests.
func buildAndRun(m *testing.M) int {
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

// startCell runs a cell with a team and a few backend servers.
func startCell(t *testing.T, servers int) (*rig.Rig, *rig.Fleet, string) {
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

// waitLeader waits until a replica leads.
func waitLeader(t *testing.T, r *rig.Rig) string {
	t.Helper()
	if err := r.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	name, _ := r.Leader()
	return name
}

// waitStarted waits until the servers have started so many tasks.
func waitStarted(t *testing.T, fleet *rig.Fleet, n int) {
	t.Helper()
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); fleet.ServerRecord.Total() < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d starts after %s", fleet.ServerRecord.Total(), n, timeout)
		}
	}
}

// Callers submit without a pause, some of it work that may run only once. The
// leader is killed, comes back, its successor is frozen past its lease on the
// lead and goes on, and an entry is stopped as planned and started again. Every
// caller still gets its own whole answer, nothing that runs once runs twice, and
// callers that stay at one entry until its probe fails lose no call.
func TestGuaranteesHoldDuringProcessFailures(t *testing.T) {
	r, fleet, token := startCell(t, 6)
	jobs := mix.Plan{
		Rate: 80, Duration: 10 * time.Second, Seed: 1, Weights: mix.KindWeights{job.Urgent: 8, job.Batch: 1, job.Gang: 1},
		Shapes: mix.DefaultShapes(), OnceFraction: 0.3, MeanAnswerBytes: 1000, IDPrefix: "smoke-",
	}.Jobs()
	driver := &drive.Driver{Client: r.CallerClient(token), Jobs: jobs, Tail: 60 * time.Second}
	var w sync.WaitGroup
	defer w.Wait()
	var results []drive.JobResult
	startedAt := time.Now()
	w.Go(func() { results = driver.Run(t.Context()) })
	var calls rig.CallCounts
	callContext, stopCalls := context.WithCancel(t.Context())
	defer stopCalls()

	eighth := len(jobs) / 8
	waitStarted(t, fleet, eighth)
	firstLeader := waitLeader(t, r)
	r.Kill(firstLeader)
	waitStarted(t, fleet, 2*eighth)
	if err := r.Restart(firstLeader); err != nil {
		t.Fatal(err)
	}
	secondLeader := waitLeader(t, r)
	r.Pause(secondLeader)
	waitStarted(t, fleet, 4*eighth)
	r.Resume(secondLeader)
	w.Go(func() { r.RunPinnedCallers(callContext, token, &calls) })
	waitStarted(t, fleet, 5*eighth)
	if err := r.Stop("entry-1", 30*time.Second); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if err := r.Restart("entry-1"); err != nil {
		t.Fatal(err)
	}
	waitStarted(t, fleet, 7*eighth)
	stopCalls()
	w.Wait()

	summary := report.Summarize(report.RunInfo{}, startedAt, results, fleet.TaskRuns)
	if faults := fleet.ServerRecord.Faults(); !summary.Violations.None() || len(faults) > 0 {
		t.Errorf("promises %+v, servers saw %v", summary.Violations, faults)
	}
	if summary.Counts.Accepted == 0 || calls.Made.Load() == 0 {
		t.Errorf("nothing was tested: %+v, %d calls", summary.Counts, calls.Made.Load())
	}
	if calls.CutOff.Load() > 0 {
		t.Errorf("%d of %d calls were cut off by a planned stop", calls.CutOff.Load(), calls.Made.Load())
	}
}

// milestones counts operations and lets the test act after each share of them.
type milestones struct {
	operations atomic.Int64
	reached    []chan struct{}
	interval   int64
}

func newMilestones(total, parts int64) *milestones {
	m := &milestones{interval: total / parts}
	for range parts {
		m.reached = append(m.reached, make(chan struct{}))
	}
	return m
}

func (m *milestones) countOperation() {
	if n := m.operations.Add(1); n%m.interval == 0 && n/m.interval <= int64(len(m.reached)) {
		close(m.reached[n/m.interval-1])
	}
}

const (
	clients             = 6
	operationsPerClient = 20
	clientTimeout       = 20 * time.Second
	checkTimeout        = 60 * time.Second
)

// runDuringFailures runs each client's operations while the leader is killed and
// brought back and its successor is frozen and goes on.
func runDuringFailures(t *testing.T, r *rig.Rig, operation func(client, i int)) {
	t.Helper()
	m := newMilestones(clients*operationsPerClient, 6)
	var w sync.WaitGroup
	for c := range clients {
		w.Go(func() {
			for i := range operationsPerClient {
				operation(c, i)
				m.countOperation()
			}
		})
	}
	<-m.reached[0]
	firstLeader := waitLeader(t, r)
	r.Kill(firstLeader)
	<-m.reached[1]
	if err := r.Restart(firstLeader); err != nil {
		t.Fatal(err)
	}
	<-m.reached[2]
	secondLeader := waitLeader(t, r)
	r.Pause(secondLeader)
	<-m.reached[4]
	r.Resume(secondLeader)
	w.Wait()
}

// Operators race for the table from the bases that they see, each sends every
// change twice under its change id, and others read, while leaders fail. If an
// old leader answered from its own state, or a resend counted anew, no order of
// the operations explains the answers.
func TestTableIsLinearizable(t *testing.T) {
	r, _, _ := startCell(t, 0)
	op := r.OperatorClient()
	readTable := func(ctx context.Context) (history.TableReadReply, bool) {
		reply, err := op.Show(ctx, v1.Part_PART_TABLE)
		if err != nil || len(reply.GetRows()) != 1 {
			return history.TableReadReply{}, false
		}
		return history.TableReadReply{Revision: reply.GetRevision(), Weight: reply.GetRows()[0].GetWeight()}, true
	}
	initial, ok := readTable(t.Context())
	if !ok {
		t.Fatal("the table cannot be read")
	}
	recorder := history.NewRecorder()
	runDuringFailures(t, r, func(client, i int) {
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		var base uint64
		recorder.Record(client, history.TableRead{}, func() (any, bool) {
			current, ok := readTable(ctx)
			base = current.Revision
			return current, ok
		})
		change := history.TableChange{ID: fmt.Sprintf("c%d-%d", client, i), BaseRevision: base, Weight: uint32(2 + client*operationsPerClient + i)}
		for range 2 {
			recorder.Record(client, change, func() (any, bool) {
				revision, err := op.Change(ctx, &v1.ChangeRequest{Id: change.ID, Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
					Base: change.BaseRevision, Edits: []*v1.Edit{{Row: &v1.Row{Team: "quarry", Weight: change.Weight}, Cells: []string{"weight"}}},
				}}})
				if err == nil {
					return history.TableChangeReply{Code: code.OK, Revision: revision}, true
				}
				resultCode := link.Refusal(err).Code
				return history.TableChangeReply{Code: resultCode, Revision: revision}, resultCode == code.RevisionConflict
			})
		}
	})
	ops := recorder.Operations()
	if !history.Linearizable(history.TableModel(initial), ops, checkTimeout) {
		t.Errorf("no order explains the %d operations", len(ops))
	}
	// The same history with one read that never was: the check can fail.
	for i := range ops {
		if read, ok := ops[i].Output.(history.TableReadReply); ok {
			read.Weight++
			ops[i].Output = read
			break
		}
	}
	if history.Linearizable(history.TableModel(initial), ops, checkTimeout) {
		t.Error("a wrong read is explained")
	}
}

// Two callers use the same request id for different work at once, at any entry,
// while leaders fail. One content stands, the other is refused, and whoever waits
// gets the answer of the one that stands.
func TestRequestIDsAreLinearizable(t *testing.T) {
	r, _, token := startCell(t, 4)
	callers := r.CallerClient(token)
	recorder := history.NewRecorder()
	runDuringFailures(t, r, func(client, i int) {
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		submission := history.Submit{ID: fmt.Sprintf("id-%d-%d", client/2, i), Content: fmt.Sprintf("content-%d", client%2)}
		recorder.Record(client, submission, func() (any, bool) {
			got, err := callers.Submit(ctx, []*v1.Spec{newSpec(submission)}, false)
			if err != nil {
				return nil, false
			}
			resultCode := code.Code(got[0].GetStatus().GetCode())
			return resultCode, resultCode == code.OK || resultCode == code.IDReused
		})
		recorder.Record(client, history.Wait{ID: submission.ID}, func() (any, bool) {
			got, err := callers.Wait(ctx, submission.ID)
			if err != nil || got.Outcome != v1.Outcome_OUTCOME_DONE {
				return nil, false
			}
			return history.WaitReply{Content: contentOf(got)}, true
		})
	})
	ops := recorder.Operations()
	if !history.Linearizable(history.RequestModel(), ops, checkTimeout) {
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
	if !answered || history.Linearizable(history.RequestModel(), ops, checkTimeout) {
		t.Errorf("answered is %v, and a wrong answer is explained", answered)
	}
}

const answerBytes = 64

func newSpec(submission history.Submit) *v1.Spec {
	return &v1.Spec{
		Id: submission.ID, Kind: v1.Kind_KIND_URGENT, Name: "raced", Count: 1, Size: &v1.Size{Cpu: 100, Memory: 64, Slots: 1}, Runtime: 10,
		Input: work.Input{ID: submission.Content, Runtime: 5 * time.Millisecond, AnswerBytes: answerBytes}.Encode(),
	}
}

// contentOf tells whose answer it is.
func contentOf(result caller.Result) string {
	for _, content := range []string{"content-0", "content-1"} {
		if string(work.TaskAnswer(content, 0, answerBytes)) == string(result.Data) {
			return content
		}
	}
	return "damaged"
}
