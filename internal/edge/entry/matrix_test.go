package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/page"
	"gypsumreel/internal/fake/server"
)

// maxEnforcementDelay bounds the time after which every entry must enforce the
// withdrawal of a key and the drain of a backend server.
const maxEnforcementDelay = 2 * time.Second

// settleTimeout bounds the virtual time of one scenario. Every job must have its
// outcome by then.
const settleTimeout = 3 * time.Minute

// faultSteps are the points at which a fault is injected: when the leader first
// handles a message of this kind, or when the first entry begins its graceful
// shutdown ("stop").
var faultSteps = []string{"submit", "order", "report", "answer", "cancel", "table", "key", "drain", "stop"}

// A process or a connection may fail while any kind of message is in transit. The
// test injects every fault at every step on a virtual clock. It guards against lost
// jobs, jobs that run twice, incomplete or wrong answers, withdrawn keys that still
// work and lost table changes.
func TestEveryFaultAtEveryStep(t *testing.T) {
	var mu sync.Mutex
	checkCounts := map[string]int{}
	semaphore := make(chan struct{}, 4)
	t.Run("matrix", func(t *testing.T) {
		for _, f := range allFaults() {
			for _, step := range faultSteps {
				t.Run(f.name+" at "+step, func(t *testing.T) {
					t.Parallel()
					semaphore <- struct{}{}
					defer func() { <-semaphore }()
					synctest.Test(t, func(t *testing.T) {
						checkCount := runScenario(t, f, step)
						mu.Lock()
						checkCounts[f.name+"/"+step] = checkCount
						mu.Unlock()
					})
				})
			}
		}
	})
	if !t.Failed() && len(checkCounts) == len(allFaults())*len(faultSteps) {
		page.CheckGenerated(t, "../../../docs/faults/edge.md", renderMatrix(checkCounts))
	}
}

// renderMatrix returns a Markdown table with the number of promises checked in each scenario.
func renderMatrix(checkCounts map[string]int) string {
	var b strings.Builder
	b.WriteString("| fault | " + strings.Join(faultSteps, " | ") + " |\n|---|" + strings.Repeat("---|", len(faultSteps)) + "\n")
	total := 0
	for _, f := range allFaults() {
		b.WriteString("| " + f.name)
		for _, step := range faultSteps {
			checkCount := checkCounts[f.name+"/"+step]
			total += checkCount
			fmt.Fprintf(&b, " | %d", checkCount)
		}
		b.WriteString(" |\n")
	}
	fmt.Fprintf(&b, "\n%d runs, %d promises checked, 0 broken.\n", len(checkCounts), total)
	return b.String()
}

// scenario is one run of a test cell with callers, an operator, a graceful shutdown
// and one fault.
type scenario struct {
	t              *testing.T
	cell           *testCell
	checkCount     atomic.Int32
	teamClient     *retryingClient
	operatorClient *retryingClient
	extraKeyClient *retryingClient
}

func runScenario(t *testing.T, f fault, step string) int {
	maxPending := 0
	if f.name == "full queue" {
		maxPending = 6
	}
	w := newTestCell(maxPending)
	defer w.close()
	w.ledger.mu.Lock()
	extraKey := w.ledger.grantKey("extra", "quarry", false)
	w.ledger.mu.Unlock()
	s := &scenario{t: t, cell: w, teamClient: w.newClient(w.teamKey), operatorClient: w.newClient(w.operatorKey), extraKeyClient: w.newClient(extraKey)}
	defer s.teamClient.closeIdle()
	defer s.operatorClient.closeIdle()
	defer s.extraKeyClient.closeIdle()
	s.scheduleFault(f, step)
	settleTimer := time.AfterFunc(settleTimeout, func() {
		w.observe("late", "the scenario did not settle within "+settleTimeout.String())
		w.cancel()
	})
	defer settleTimer.Stop()

	var wg sync.WaitGroup
	for _, activity := range []func(){s.runRepeatableJobs, s.runOnceJob, s.cancelRunningJob, s.changeTable, s.useWithdrawnKey, s.drainServer, s.restartEntry} {
		wg.Go(activity)
	}
	wg.Wait()
	injectedAt := w.injectedAt.Load()
	s.check(injectedAt != nil, "the step was never reached, so no fault was injected")
	if injectedAt != nil && f.duration > 0 {
		sleepUntil(w.ctx, injectedAt.Add(f.duration+5*time.Second))
	}
	s.checkPromises()
	return int(s.checkCount.Load())
}

// scheduleFault injects the fault when the step is first reached and heals it after
// its duration.
func (s *scenario) scheduleFault(f fault, step string) {
	var once sync.Once
	w := s.cell
	s.cell.onStep = func(reachedStep string) {
		if reachedStep != step {
			return
		}
		once.Do(func() {
			now := time.Now()
			w.injectedAt.Store(&now)
			w.wg.Go(func() {
				f.inject(w)
				if f.heal != nil {
					sleepUntil(w.ctx, time.Now().Add(f.duration))
					f.heal(w)
				}
			})
		})
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.onStep = w.onStep
}

func sleepUntil(ctx context.Context, end time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(end)):
	}
}

// check counts a checked promise and reports an error if it is broken.
func (s *scenario) check(ok bool, format string, args ...any) {
	s.checkCount.Add(1)
	if !ok {
		s.t.Errorf(format, args...)
	}
}

// runRepeatableJobs submits jobs that may run more than once, one of them longer
// than a lease, and checks that each returns the complete and correct answer.
func (s *scenario) runRepeatableJobs() {
	for i, wish := range []server.TaskScript{{}, {AnswerSize: 150_000}, {Sleep: "4s"}, {Sleep: "200ms", AnswerSize: 10}} {
		id := []string{"quick", "big", "long", "last"}[i]
		problem := s.teamClient.runJob(0, id, wish)
		s.check(problem == "", "%s", problem)
	}
}

// runOnceJob submits a job that may run at most once.
func (s *scenario) runOnceJob() {
	input := server.TaskScript{Sleep: "500ms"}.Input()
	s.teamClient.submit(0, newSpec("once", true, input))
	reply, data := s.teamClient.wait(0, "once")
	s.check(reply.GetOutcome() >= v1.Outcome_OUTCOME_DONE, "job once has no outcome, status %v", reply.GetStatus())
	if reply.GetOutcome() == v1.Outcome_OUTCOME_DONE {
		s.check(bytes.Equal(data, input), "job once has the wrong answer %q", data)
	} else {
		s.checkCount.Add(1)
	}
}

// cancelRunningJob submits a long job and cancels it.
func (s *scenario) cancelRunningJob() {
	s.teamClient.submit(0, newSpec("cancelled", false, server.TaskScript{Sleep: "1h"}.Input()))
	time.Sleep(300 * time.Millisecond)
	s.teamClient.cancel(0, "cancelled")
	reply, _ := s.teamClient.wait(0, "cancelled")
	resultCode := code.Code(reply.GetStatus().GetCode())
	s.check(resultCode == code.Stopped || resultCode == code.Cancelled, "the cancelled job has status %v", reply.GetStatus())
}

// changeTable makes table changes, one of them twice and one from an outdated revision.
func (s *scenario) changeTable() {
	edit := func(id string, base uint64) *v1.ChangeReply {
		return s.operatorClient.change(0, &v1.ChangeRequest{Id: id, Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
			Base: base, Edits: []*v1.Edit{{Row: &v1.Row{Team: "quarry", Weight: 2}, Cells: []string{"weight"}}},
		}}})
	}
	time.Sleep(400 * time.Millisecond)
	firstReply := edit("one", 0)
	secondReply := edit("two", 1)
	resentReply := edit("one", 0)
	outdatedReply := edit("three", 0)
	s.check(firstReply.GetRevision() == 1 && secondReply.GetRevision() == 2, "the changes gave revisions %d and %d, want 1 and 2", firstReply.GetRevision(), secondReply.GetRevision())
	s.check(resentReply.GetRevision() == 1 && resentReply.GetStatus().GetCode() == 0, "the resent change got %v", resentReply)
	s.check(outdatedReply.GetStatus().GetCode() == uint32(code.RevisionConflict), "the change from an outdated revision got %v", outdatedReply.GetStatus())
}

// useWithdrawnKey withdraws a key at the second entry and uses it at the first entry
// until 5 s later.
func (s *scenario) useWithdrawnKey() {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			s.callWithExtraKey(i)
		}
	})
	time.Sleep(600 * time.Millisecond)
	s.operatorClient.change(1, &v1.ChangeRequest{Id: "withdraw", Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "extra"}}})
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	s.check(len(s.cell.observed("key")) == 0, "a withdrawn key still worked: %v", s.cell.observed("key"))
}

// callWithExtraKey makes one List and one Submit call with the extra key at the first entry.
func (s *scenario) callWithExtraKey(i int) {
	ctx, cancel := context.WithTimeout(s.cell.ctx, 1500*time.Millisecond)
	defer cancel()
	listRequest := connect.NewRequest(&v1.ListRequest{})
	listRequest.Header().Set("Authorization", "Bearer "+s.extraKeyClient.key)
	if reply, err := s.extraKeyClient.callerClients[0].List(ctx, listRequest); err == nil && s.cell.acceptedAfterWithdrawal(reply.Msg.GetStatus(), time.Now()) {
		s.cell.observe("key", fmt.Sprintf("read %d", i))
	}
	submitRequest := connect.NewRequest(&v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(fmt.Sprintf("extra-%d", i), false, nil)}})
	submitRequest.Header().Set("Authorization", "Bearer "+s.extraKeyClient.key)
	reply, err := s.extraKeyClient.callerClients[0].Submit(ctx, submitRequest)
	if err == nil && s.cell.acceptedAfterWithdrawal(reply.Msg.GetJobs()[0].GetStatus(), time.Now()) {
		s.cell.observe("key", fmt.Sprintf("submission %d", i))
	}
}

// drainServer drains the second backend server.
func (s *scenario) drainServer() {
	time.Sleep(800 * time.Millisecond)
	drainRequest := &v1.ChangeRequest{Id: "drain", Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "s2", Drain: true}}}
	reply := s.operatorClient.change(1, drainRequest)
	// If the leader failed at the start, the server may not have a session yet.
	for n := 0; n < 50 && reply.GetStatus().GetCode() == uint32(code.NotFound); n++ {
		time.Sleep(200 * time.Millisecond)
		reply = s.operatorClient.change(1, drainRequest)
	}
	s.check(reply.GetStatus().GetCode() == 0, "the drain was refused with status %v", reply.GetStatus())
}

// restartEntry shuts the first entry down gracefully and starts it again.
func (s *scenario) restartEntry() {
	time.Sleep(1500 * time.Millisecond)
	s.cell.onStep("stop")
	time.Sleep(time.Millisecond)
	run := s.cell.currentEntry("e1")
	run.stop()
	select {
	case <-run.entry.Done():
	case <-s.cell.ctx.Done():
	}
	s.cell.startEntry("e1")
}

// checkPromises checks the promises that must hold at the end of the scenario.
func (s *scenario) checkPromises() {
	w := s.cell
	for _, problem := range w.observed("late") {
		s.t.Error(problem)
	}
	s.check(len(w.taskRecord.Violations()) == 0, "%v", w.taskRecord.Violations())
	violations := w.refusedButAccepted()
	s.check(len(violations) == 0, "%v", violations)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	s.check(w.ledger.tableRevision == 2, "the table has revision %d, want 2", w.ledger.tableRevision)
	if j, ok := w.ledger.jobsByID["quarry/once"]; ok {
		starts := w.taskRecord.StartCount(server.Task{Job: j.number})
		s.check(starts <= 1, "job once started %d times, want at most 1", starts)
		s.check(j.outcome != v1.Outcome_OUTCOME_NOT_RUN || starts == 0, "job once was refused as not run and started")
	}
	delay := w.taskRecord.LastStart("s2").Sub(w.ledger.drainedAt["s2"])
	s.check(delay <= maxEnforcementDelay, "the drained server still started work %v after the drain", delay)
}
