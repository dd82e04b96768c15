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

var programPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program once and runs all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "gypsumreel")
	if out, err := exec.Command("go", "build", "-o", programPath, "gypsumreel/cmd/gypsumreel").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

// startCell starts a cell with one team and the given number of backend servers.
func startCell(t *testing.T, servers int) (*rig.Rig, *rig.Fleet, string) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	const firstPort, lastPort, portStep = 19300, 19900, 150
	var r *rig.Rig
	err := fmt.Errorf("no free ports from %d to %d", firstPort, lastPort)
	for port := firstPort; err != nil && port < lastPort; port += portStep {
		r = &rig.Rig{Program: programPath, Dir: t.TempDir(), FirstPort: port, Replicas: 3, Entries: 2}
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

// waitLeader waits until a replica leads and returns its name.
func waitLeader(t *testing.T, r *rig.Rig) string {
	t.Helper()
	if err := r.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	name, _ := r.Leader()
	return name
}

// waitStarted waits until the servers have started n tasks.
func waitStarted(t *testing.T, fleet *rig.Fleet, n int) {
	t.Helper()
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); fleet.ServerRecorder.TotalStarts() < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d tasks started within %s", fleet.ServerRecorder.TotalStarts(), n, timeout)
		}
	}
}

// Guards the guarantees to callers against failures of processes: the leader is killed
// and restarted, its successor is paused beyond its lease, and an entry is restarted
// gracefully, all under load. Every caller has to get its own complete answer, no
// at-most-once task may run twice, and callers that follow an entry's readiness probe
// must get an answer to every call.
func TestGuaranteesHoldDuringProcessFailures(t *testing.T) {
	r, fleet, token := startCell(t, 6)
	jobs := mix.Plan{
		Rate: 80, Duration: 10 * time.Second, Seed: 1, Weights: mix.KindWeights{job.Urgent: 8, job.Batch: 1, job.Gang: 1},
		Shapes: mix.DefaultShapes(), OnceFraction: 0.3, MeanAnswerBytes: 1000, IDPrefix: "smoke-",
	}.Jobs()
	driver := &drive.Driver{Client: r.CallerClient(token), Jobs: jobs, OutcomeTimeout: 60 * time.Second}
	var wg sync.WaitGroup
	defer wg.Wait()
	var results []drive.JobResult
	startedAt := time.Now()
	wg.Go(func() { results = driver.Run(t.Context()) })
	var calls rig.CallCounts
	callCtx, stopCalls := context.WithCancel(t.Context())
	defer stopCalls()

	eighthOfJobs := len(jobs) / 8
	waitStarted(t, fleet, eighthOfJobs)
	firstLeader := waitLeader(t, r)
	r.Kill(firstLeader)
	waitStarted(t, fleet, 2*eighthOfJobs)
	if err := r.Restart(firstLeader); err != nil {
		t.Fatal(err)
	}
	secondLeader := waitLeader(t, r)
	r.Pause(secondLeader)
	waitStarted(t, fleet, 4*eighthOfJobs)
	r.Resume(secondLeader)
	wg.Go(func() { r.RunPinnedCallers(callCtx, token, &calls) })
	waitStarted(t, fleet, 5*eighthOfJobs)
	if err := r.Stop("entry-1", 30*time.Second); err != nil {
		t.Errorf("graceful stop of entry-1: %v", err)
	}
	if err := r.Restart("entry-1"); err != nil {
		t.Fatal(err)
	}
	waitStarted(t, fleet, 7*eighthOfJobs)
	stopCalls()
	wg.Wait()

	summary := report.Summarize(report.RunInfo{}, startedAt, results, fleet.TaskRecorder)
	if faults := fleet.ServerRecorder.Violations(); !summary.Violations.None() || len(faults) > 0 {
		t.Errorf("violated guarantees: %+v, faults detected by servers: %v", summary.Violations, faults)
	}
	if summary.Counts.Accepted == 0 || calls.Total.Load() == 0 {
		t.Errorf("no job was accepted or no call was made: %+v, %d calls", summary.Counts, calls.Total.Load())
	}
	if calls.Unanswered.Load() > 0 {
		t.Errorf("%d of %d calls got no answer during a graceful stop", calls.Unanswered.Load(), calls.Total.Load())
	}
}

// milestones counts operations. It divides them into equal parts and closes one channel
// at the end of each part.
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
	clientCount         = 6
	operationsPerClient = 20
	clientTimeout       = 20 * time.Second
	checkTimeout        = 60 * time.Second
)

// runDuringFailures runs the operations of all clients while the leader is killed and
// restarted and its successor is paused and resumed.
func runDuringFailures(t *testing.T, r *rig.Rig, operation func(client, i int)) {
	t.Helper()
	progress := newMilestones(clientCount*operationsPerClient, 6)
	var wg sync.WaitGroup
	for c := range clientCount {
		wg.Go(func() {
			for i := range operationsPerClient {
				operation(c, i)
				progress.countOperation()
			}
		})
	}
	<-progress.reached[0]
	firstLeader := waitLeader(t, r)
	r.Kill(firstLeader)
	<-progress.reached[1]
	if err := r.Restart(firstLeader); err != nil {
		t.Fatal(err)
	}
	<-progress.reached[2]
	secondLeader := waitLeader(t, r)
	r.Pause(secondLeader)
	<-progress.reached[4]
	r.Resume(secondLeader)
	wg.Wait()
}

// Guards against a deposed leader that answers from its own state and against a resent
// change that is applied twice. Operators read the table and change it concurrently,
// each sending every change twice with the same change id, while leaders fail.
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
		t.Fatal("cannot read the table before the test")
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
				resultCode := transport.AsCodeError(err).Code
				return history.TableChangeReply{Code: resultCode, Revision: revision}, resultCode == code.RevisionConflict
			})
		}
	})
	ops := recorder.Operations()
	if !history.Linearizable(history.TableModel(initial), ops, checkTimeout) {
		t.Errorf("history of %d operations is not linearizable", len(ops))
	}
	// A history with one wrong read has to be rejected, which shows that the check can
	// fail.
	for i := range ops {
		if read, ok := ops[i].Output.(history.TableReadReply); ok {
			read.Weight++
			ops[i].Output = read
			break
		}
	}
	if history.Linearizable(history.TableModel(initial), ops, checkTimeout) {
		t.Error("history with a wrong read is accepted as linearizable")
	}
}

// Guards against request ids that are accepted twice: pairs of callers submit
// different content under the same id at any entry while leaders fail. One content has
// to be accepted, the other refused, and every waiting caller has to get the answer
// for the accepted content.
func TestRequestIDsAreLinearizable(t *testing.T) {
	r, _, token := startCell(t, 4)
	callerClient := r.CallerClient(token)
	recorder := history.NewRecorder()
	runDuringFailures(t, r, func(client, i int) {
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		submission := history.Submit{ID: fmt.Sprintf("id-%d-%d", client/2, i), Content: fmt.Sprintf("content-%d", client%2)}
		recorder.Record(client, submission, func() (any, bool) {
			got, err := callerClient.Submit(ctx, []*v1.Spec{newSpec(submission)}, false)
			if err != nil {
				return nil, false
			}
			resultCode := code.Code(got[0].GetStatus().GetCode())
			return resultCode, resultCode == code.OK || resultCode == code.IDReused
		})
		recorder.Record(client, history.Wait{ID: submission.ID}, func() (any, bool) {
			got, err := callerClient.Wait(ctx, submission.ID)
			if err != nil || got.Outcome != v1.Outcome_OUTCOME_DONE {
				return nil, false
			}
			return history.WaitReply{Content: contentOf(got)}, true
		})
	})
	ops := recorder.Operations()
	if !history.Linearizable(history.RequestModel(), ops, checkTimeout) {
		t.Errorf("history of %d operations is not linearizable", len(ops))
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
		t.Errorf("history with a wrong answer is accepted as linearizable, or no answer was recorded (answered = %v)", answered)
	}
}

const answerBytes = 64

func newSpec(submission history.Submit) *v1.Spec {
	return &v1.Spec{
		Id: submission.ID, Kind: v1.Kind_KIND_URGENT, Name: "raced", Count: 1, Size: &v1.Size{Cpu: 100, Memory: 64, Slots: 1}, Runtime: 10,
		Input: work.Input{ID: submission.Content, Runtime: 5 * time.Millisecond, AnswerBytes: answerBytes}.Encode(),
	}
}

// contentOf returns the content from which the answer was computed.
func contentOf(result caller.Result) string {
	for _, content := range []string{"content-0", "content-1"} {
		if string(work.TaskAnswer(content, 0, answerBytes)) == string(result.Data) {
			return content
		}
	}
	return "damaged"
}
