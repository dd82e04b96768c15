package fault_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/demo/cell"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/ledger/state"
)

// testCell is a complete cell on an in-memory network, with clients. It records the runs
// of tasks, so that the guarantees can be checked.
type testCell struct {
	t        *testing.T
	ctx      context.Context
	cancel   context.CancelFunc
	net      *network
	cell     *cell.Cell
	recorder *server.Recorder
	caller   *caller.Client
	operator *operator.Client

	mu sync.Mutex
	// runCounts holds the number of runs of each task, by job ID and task index.
	runCounts map[string]int
	// onStep is called at each step that a job reaches.
	onStep func(step string)
}

// The size of the test cell, its limits and its timeouts. The cores are in millicores.
const (
	replicas       = 3
	entries        = 2
	servers        = 3
	serverCores    = 4000
	teamCores      = 9000
	taskCores      = 1000
	answerSize     = 200_000
	faultDuration  = 12 * time.Second
	longPollWait   = 1500 * time.Millisecond
	requestTimeout = 90 * time.Second
	callTimeout    = 3 * time.Second
	httpCloseDelay = 5 * time.Second
)

// newTestCell starts a cell and sets up a team with a key and a limit.
func newTestCell(t *testing.T) *testCell { return newConfiguredTestCell(t, nil) }

// newConfiguredTestCell is newTestCell with a function that changes the settings of each
// replica's control thread before it starts.
func newConfiguredTestCell(t *testing.T, configureControl func(name string, l *leader.Leader)) *testCell {
	ctx, cancel := context.WithCancel(context.Background())
	w := &testCell{
		t: t, ctx: ctx, cancel: cancel, net: newNetwork(ctx), recorder: &server.Recorder{}, runCounts: map[string]int{},
		onStep: func(string) {},
	}
	w.cell = &cell.Cell{
		Network: w.net, Dir: t.TempDir(), Replicas: replicas, Entries: entries, Servers: servers, Zones: 3,
		Capacity:     &v1.Size{Cpu: serverCores, Memory: 64_000, Accel: 4, Slots: 8},
		NewTransport: w.net.newReplicaTransport, Recorder: w.recorder, RunTask: w.runTask, Log: logr.Discard(), ShutdownDelay: time.Second,
		ConfigureControl: configureControl,
	}
	if err := w.cell.Start(ctx); err != nil {
		t.Fatal(err)
	}
	w.operator = &operator.Client{Transport: w.entryTransport("operators", w.cell.OperatorKey)}
	limit := &v1.Size{Cpu: teamCores, Memory: -1, Accel: -1, Slots: -1}
	w.applyChange(&v1.ChangeRequest{Id: "table", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
		{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 100, Limit: limit}},
	}}}})
	digest := key.Digest("secret")
	w.applyChange(&v1.ChangeRequest{Id: "grant", Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k", Team: "rail", Digest: digest[:]}}})
	w.caller = &caller.Client{Transport: w.entryTransport("callers", "k.secret"), MaxPollWait: longPollWait}
	return w
}

func (w *testCell) close() {
	w.cell.Close()
	w.caller.Transport.Close()
	w.operator.Transport.Close()
	w.cancel()
	// net/http servers keep a connection open for a while before they close it.
	time.Sleep(httpCloseDelay)
}

// runTask runs a task for 300 ms, counts the run, and returns an answer that is unique to
// the job.
func (w *testCell) runTask(ctx context.Context, o *v1.Order) server.Result {
	id := string(o.GetInput())
	w.mu.Lock()
	w.runCounts[fmt.Sprintf("%s/%d", id, o.GetAttempt().GetTask())]++
	w.mu.Unlock()
	w.onStep("run")
	select {
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
	}
	w.onStep("report")
	return server.Result{Answer: answerPattern(id)}
}

func answerPattern(id string) []byte {
	return bytes.Repeat([]byte(id+";"), answerSize/(len(id)+1))
}

func (w *testCell) applyChange(req *v1.ChangeRequest) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	if _, err := w.operator.Change(ctx, req); err != nil {
		w.t.Fatalf("change %s: %v", req.GetId(), err)
	}
}

// entryTransport returns a transport to one service of all entries, with the given API key.
func (w *testCell) entryTransport(service, apiKey string) *transport.Client {
	client := &transport.Client{Key: apiKey, Timeout: callTimeout, Dial: w.net.Dialer("caller")}
	for _, e := range w.cell.ProcessNames("e", entries) {
		client.Addresses = append(client.Addresses, "http://"+w.net.Address(e+"-"+service))
	}
	return client
}

// result is the outcome of a job as its caller sees it.
type result struct {
	id      string
	spec    *v1.Spec
	outcome v1.Outcome
	code    code.Code
	answer  []byte
	err     error
}

// runJob submits a job and waits for its outcome and complete answer.
func (w *testCell) runJob(spec *v1.Spec) result {
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	r := result{id: spec.GetId(), spec: spec}
	w.onStep("submit")
	acceptances, err := w.caller.Submit(ctx, []*v1.Spec{spec}, true)
	if err != nil {
		r.err = err
		return r
	}
	w.onStep("accepted")
	if a := acceptances[0]; a.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN || a.GetStatus().GetCode() != 0 {
		r.outcome, r.code = a.GetOutcome(), code.Code(a.GetStatus().GetCode())
		return r
	}
	res, err := w.caller.Wait(ctx, spec.GetId())
	w.onStep("answer")
	r.outcome, r.code, r.answer, r.err = res.Outcome, res.Code, res.Data, err
	if err == nil && !caller.IsFinal(r.outcome) {
		r.err = errors.New("no final outcome before the request timeout")
	}
	return r
}

// violations checks the results, the recorded runs and the ledgers, and describes each
// violated guarantee.
func (w *testCell) violations(results []result) (violations []string) {
	violations = append(violations, w.recorder.Violations()...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range results {
		runs, maxRuns := 0, 0
		for i := range r.spec.GetCount() {
			n := w.runCounts[fmt.Sprintf("%s/%d", r.id, i)]
			runs, maxRuns = runs+n, max(maxRuns, n)
		}
		switch {
		case r.err != nil:
			violations = append(violations, fmt.Sprintf("%s: no answer: %v", r.id, r.err))
		case r.spec.GetOnce() && maxRuns > 1:
			violations = append(violations, fmt.Sprintf("%s must run at most once and ran %d times", r.id, maxRuns))
		case r.outcome == v1.Outcome_OUTCOME_NOT_RUN && runs > 0:
			violations = append(violations, fmt.Sprintf("%s was reported as not run and ran %d times", r.id, runs))
		case r.outcome == v1.Outcome_OUTCOME_DONE && r.code == code.OK && !bytes.Equal(r.answer, bytes.Repeat(answerPattern(r.id), int(r.spec.GetCount()))):
			violations = append(violations, fmt.Sprintf("%s: answer of %d bytes is incomplete or wrong", r.id, len(r.answer)))
		case r.outcome == v1.Outcome_OUTCOME_UNKNOWN && !r.spec.GetOnce():
			violations = append(violations, fmt.Sprintf("%s is repeatable but its outcome is unknown", r.id))
		}
	}
	return append(violations, w.ledgerViolations()...)
}

// ledgerViolations checks the ledger of every replica against server capacities and team
// limits.
func (w *testCell) ledgerViolations() (violations []string) {
	for _, name := range w.cell.ProcessNames("c", replicas) {
		n := w.cell.Node(name)
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		err := n.Control.Execute(ctx, func(st *state.State) {
			if st.InvalidTransitions() > 0 {
				violations = append(violations, name+": ledger has an event that its state chart does not allow")
			}
			for _, b := range st.Servers() {
				if !b.HeldCapacity.Fits(b.Capacity) {
					violations = append(violations, fmt.Sprintf("%s: %s is overcommitted", name, b.ID))
				}
			}
			for _, r := range st.Table().Rows() {
				if !st.TeamHeldCapacity(r.Name).Within(r.Limit) {
					violations = append(violations, fmt.Sprintf("%s: %s is over its limit", name, r.Name))
				}
			}
		})
		cancel()
		if err != nil && !strings.Contains(err.Error(), "ended") {
			violations = append(violations, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return violations
}

// describeUnfinishedJobs describes the unfinished jobs and the servers in the leader's ledger.
func (w *testCell) describeUnfinishedJobs() string {
	var b strings.Builder
	name, ok := w.cell.Leader()
	if !ok {
		return "no leader"
	}
	_ = w.cell.Node(name).Control.Execute(w.ctx, func(st *state.State) {
		for _, j := range st.Jobs("") {
			if j.Final() {
				continue
			}
			fmt.Fprintf(&b, "%s: job %d %v held %d waiting %d", j.Spec.ID, j.Number, j.Outcome, j.HeldTasks, j.WaitingTasks)
			st.EachTask(j, func(task *state.Task) {
				fmt.Fprintf(&b, "; task %d %v attempt %d on %s/%d since %v", task.ID.Index, task.Phase, task.Attempt, task.Server, task.Incarnation, st.Now()-task.PhaseSince)
			})
			b.WriteString("\n")
		}
		for _, s := range st.Servers() {
			fmt.Fprintf(&b, "%s/%d %v held %v of %v drain %v\n", s.ID, s.Incarnation, s.Server.State, s.HeldCapacity, s.Capacity, s.DrainRequested)
		}
	})
	return b.String()
}
