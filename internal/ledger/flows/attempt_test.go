package flows_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// attemptFixture is a ledger with two servers and two flows, a and b, of two tasks each.
type attemptFixture struct{ *ledgerFixture }

func newAttemptFixture(t *testing.T) *attemptFixture {
	f := &attemptFixture{newLedgerFixture(t, time.Second)}
	document := testDocument()
	document.Queues[0].Attempts = 4
	f.apply(&record.Flow{What: &record.Flow_Document{Document: document}})
	for _, id := range []string{"a", "b"} {
		spec := &v1.FlowSpec{Id: id, Steps: []*v1.FlowStep{{Count: 2, Size: &v1.Size{Cpu: 1}}}}
		f.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
	}
	f.startServer("s", 1)
	f.startServer("t", 1)
	return f
}

func (f *attemptFixture) startServer(id string, born int64) {
	f.t.Helper()
	f.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: id, Born: born, Pool: "p", Capacity: &v1.Size{Cpu: 4, Memory: 100}}}})
}

// run places the next run of a task of a flow on a server and records its end.
func (f *attemptFixture) run(id string, index uint32, server string, how inner.RunEnd) {
	f.t.Helper()
	f.end(f.start(id, index, server), server, how)
}

// start places the next run of a task of a flow on a server.
func (f *attemptFixture) start(id string, index uint32, server string) *inner.Run {
	f.t.Helper()
	step, _ := f.ledger.Step(flow.StepID{Flow: id})
	run := flow.RunID{TaskID: flow.TaskID{StepID: flow.StepID{Flow: id}, Index: index}, Number: step.Tasks[index].LatestRun + 1}.Message()
	f.apply(&record.Flow{What: &record.Flow_Start{Start: &record.FlowStart{Places: []*record.FlowPlace{{Run: run, Server: server}}}}})
	return run
}

// end records the end of a run twice, as when a server lists it again.
func (f *attemptFixture) end(run *inner.Run, server string, how inner.RunEnd) {
	f.t.Helper()
	b, _ := f.ledger.Server(server)
	end := &record.FlowEnd{Run: run, How: how}
	f.apply(&record.Flow{What: &record.Flow_Ends{Ends: &record.FlowEnds{Server: server, Born: b.StartedAtMs, Ends: []*record.FlowEnd{end, end}}}})
}

// restore replaces the ledger by one restored from its own snapshot.
func (f *attemptFixture) restore() {
	f.t.Helper()
	l, err := flows.Restore(f.ledger.Record())
	if err != nil {
		f.t.Fatal(err)
	}
	f.ledger = l
}

// serverEvidence is what the ledger knows of the ends of runs on a server.
type serverEvidence struct {
	Failures uint32
	Flow     string
	ProvenAt time.Duration
}

func (f *attemptFixture) checkServer(id string, want serverEvidence) {
	f.t.Helper()
	b, _ := f.ledger.Server(id)
	if diff := cmp.Diff(want, serverEvidence{b.ConsecutiveFailures, b.LastFailedFlow, b.ProvenAt}); diff != "" {
		f.t.Errorf("server %s: %s", id, diff)
	}
}

const (
	runDone   = inner.RunEnd_RUN_END_DONE
	runFailed = inner.RunEnd_RUN_END_FAILED
)

// Guards against a next leader that knows nothing of the failures before it: the counts come
// from the ledger, also after a snapshot between two failures.
func TestFailuresByServerOutliveASnapshot(t *testing.T) {
	f := newAttemptFixture(t)
	f.run("a", 0, "s", runFailed)
	f.restore()
	f.run("a", 1, "s", runFailed)
	f.checkServer("s", serverEvidence{Failures: 1, Flow: "a"})
	f.run("b", 0, "s", runFailed)
	f.restore()
	f.checkServer("s", serverEvidence{Failures: 2, Flow: "b"})
	f.run("b", 1, "s", runDone)
	provenAt := f.now - time.Second // the run was placed one command earlier
	f.restore()
	f.checkServer("s", serverEvidence{ProvenAt: provenAt})
	f.run("b", 0, "s", inner.RunEnd_RUN_END_STOPPED)
	f.checkServer("s", serverEvidence{ProvenAt: provenAt})
}

// Guards against a server that fails all that it starts and counts as proven, because a run from
// before its fault ends successfully.
func TestSuccessProvesTheServerAsOfItsStart(t *testing.T) {
	f := newAttemptFixture(t)
	long := f.start("a", 0, "s")
	placedAt := f.now
	f.run("b", 0, "s", runFailed)
	f.end(long, "s", runDone)
	f.checkServer("s", serverEvidence{ProvenAt: placedAt})
}

// Guards against a second attempt on the server of the first one: the servers of the failed
// runs are kept by task, also in a snapshot, and no more than the task has attempts.
func TestServersOfFailedRunsAreKeptByTask(t *testing.T) {
	f := newAttemptFixture(t)
	f.run("a", 0, "s", runFailed)
	f.restore()
	f.run("a", 0, "t", runFailed)
	f.run("a", 0, "t", runFailed)
	latest := f.now - time.Second // the run was placed one command earlier
	f.restore()
	step, _ := f.ledger.Step(flow.StepID{Flow: "a"})
	if step.Tasks[0].FailedAt != latest || step.Tasks[0].FailedAfter != time.Second {
		t.Errorf("the latest failed run was placed at %v and lasted %v, want %v and %v", step.Tasks[0].FailedAt, step.Tasks[0].FailedAfter, latest, time.Second)
	}
	if diff := cmp.Diff([]string{"s", "t"}, step.Tasks[0].FailedServers); diff != "" {
		t.Error(diff)
	}
	if len(step.Tasks[1].FailedServers) > 0 || step.FailedServers != 2 {
		t.Errorf("the other task failed on %v; the step has %d failed servers, want 2", step.Tasks[1].FailedServers, step.FailedServers)
	}
}

// Guards against a restart that makes a failing server look sound, or a new process look
// proven.
func TestNextIncarnationInheritsFailuresAndNoProof(t *testing.T) {
	f := newAttemptFixture(t)
	f.run("a", 0, "s", runDone)
	f.run("a", 1, "s", runFailed)
	f.run("b", 0, "t", runDone)
	provenAt := f.now - time.Second // the run was placed one command earlier
	f.startServer("t", 1)
	f.checkServer("t", serverEvidence{ProvenAt: provenAt})
	f.startServer("s", 2)
	f.startServer("t", 2)
	f.checkServer("s", serverEvidence{Failures: 1, Flow: "a"})
	f.checkServer("t", serverEvidence{})
}

// Guards against a replica of an earlier build that drops out: without the counts it reaches
// the same digest and the same states.
func TestReplicaWithoutFailureCountsStaysInStep(t *testing.T) {
	f := newAttemptFixture(t)
	f.run("a", 0, "s", runFailed)
	f.run("b", 0, "t", runDone)
	r := f.ledger.Record()
	for _, b := range r.Servers {
		b.Fails, b.Culprit, b.Proven = 0, "", 0
	}
	for _, m := range r.Flows {
		m.Turns[0].Steps[0].Tasks[0].Failed = nil
	}
	earlier, err := flows.Restore(r)
	if err != nil {
		t.Fatal(err)
	}
	other := &attemptFixture{&ledgerFixture{t: t, ledger: earlier, now: f.now, interval: f.interval}}
	for _, replica := range []*attemptFixture{f, other} {
		for range 3 {
			replica.run("a", 0, "s", runFailed)
		}
		replica.run("b", 1, "s", runDone)
	}
	for _, id := range []string{"a", "b"} {
		live, _ := f.ledger.Flow(id)
		late, _ := earlier.Flow(id)
		if live.State != late.State || !live.Final() {
			t.Errorf("flow %s is %v, on the earlier build %v, want both final", id, live.State, late.State)
		}
	}
	if f.ledger.Digest() != earlier.Digest() {
		t.Error("the digests differ")
	}
}

// Guards against a list of servers that grows with each failure of a task that has no limit of
// attempts.
func TestServersOfFailedRunsAreBounded(t *testing.T) {
	f := newAttemptFixture(t)
	spec := &v1.FlowSpec{Id: "service", Steps: []*v1.FlowStep{{Count: 1, Size: &v1.Size{Cpu: 1}, Lasting: true}}}
	f.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
	for _, id := range []string{"u", "v", "w"} {
		f.startServer(id, 1)
	}
	for _, id := range []string{"s", "t", "u", "v", "w"} {
		f.run("service", 0, id, runFailed)
	}
	step, _ := f.ledger.Step(flow.StepID{Flow: "service"})
	if diff := cmp.Diff([]string{"t", "u", "v", "w"}, step.Tasks[0].FailedServers); diff != "" {
		t.Error(diff)
	}
}

// Guards against servers that are suspected by the tasks of a step that fails wherever it runs, and
// against failing servers that are not suspected, since tasks of the step failed on others too.
func TestStepThatFailsEverywhereSuspectsNoServer(t *testing.T) {
	f := newAttemptFixture(t)
	f.run("a", 0, "s", runFailed)
	f.run("a", 0, "t", runFailed)
	f.checkServer("s", serverEvidence{Failures: 1, Flow: "a"})
	f.checkServer("t", serverEvidence{})
	f.run("b", 0, "t", runFailed)
	f.run("b", 1, "s", runFailed)
	f.restore()
	f.checkServer("s", serverEvidence{Failures: 1, Flow: "a"})
	f.checkServer("t", serverEvidence{Failures: 1, Flow: "b"})
	f.run("a", 1, "t", runDone)
	f.run("a", 0, "s", runFailed)
	if b, _ := f.ledger.Server("s"); b.ConsecutiveFailures != 1 {
		t.Errorf("server s has %d failures, want those of flow a once", b.ConsecutiveFailures)
	}
	f.run("b", 1, "s", runFailed)
	f.run("b", 0, "t", runFailed)
	if b, _ := f.ledger.Server("t"); b.ConsecutiveFailures != 0 {
		t.Errorf("server t has %d failures of a flow that fails everywhere, want none", b.ConsecutiveFailures)
	}
}

// Guards against a failing server that is not suspected since a task of the same wide step has failed
// on another one: most of its tasks run on.
func TestWideStepSuspectsEachFailingServer(t *testing.T) {
	f := newAttemptFixture(t)
	spec := &v1.FlowSpec{Id: "wide", Steps: []*v1.FlowStep{{Count: 8, Size: &v1.Size{Cpu: 1}}}}
	f.apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
	f.startServer("u", 1)
	for i := range uint32(4) {
		f.start("wide", i, "u")
	}
	onS, onT := f.start("wide", 4, "s"), f.start("wide", 5, "t")
	f.end(onS, "s", runFailed)
	f.end(onT, "t", runFailed)
	for _, id := range []string{"s", "t"} {
		f.checkServer(id, serverEvidence{Failures: 1, Flow: "wide"})
	}
}
