package flows_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/flows"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// fakeHost is a control thread that runs posted functions synchronously.
type fakeHost struct {
	dispatch.Host
	postCount int
}

func (t *fakeHost) PostContext(_ context.Context, fn func()) bool {
	t.postCount++
	fn()
	return true
}

// Guards against a follower that does not register the processes that greet it. After its
// election it would have no helpers.
func TestFollowerRegistersGreetingProcess(t *testing.T) {
	host := &fakeHost{}
	d := dispatch.New()
	d.Host, d.Now = host, func() time.Duration { return time.Hour }
	s := &flows.Server{Leader: leader.New(), Dispatcher: d}
	w, err := s.Greet(t.Context(), &inner.Greeting{Address: "entry"})
	if err != nil || w.GetLeads() || host.postCount != 1 {
		t.Errorf("Greet returned %v, %v; %d greetings were registered, want 1", w, err, host.postCount)
	}
}

// Guards against a follower that answers with a load that it does not know: it names the leader.
func TestFollowerReportsNoLoad(t *testing.T) {
	d := dispatch.New()
	d.Host, d.Now = &fakeHost{}, func() time.Duration { return time.Hour }
	s := &flows.Server{Cell: "cell", Leader: leader.New(), Dispatcher: d}
	report, err := s.Load(t.Context(), &inner.LoadRequest{Cell: "cell"})
	if err != nil || report.GetCode() != uint32(code.NoLeader) || report.GetLoad() != nil {
		t.Errorf("Load returned %v, %v", report, err)
	}
	if _, err := s.Load(t.Context(), &inner.LoadRequest{Cell: "other"}); err == nil {
		t.Error("a call for another cell was answered")
	}
}

// standingHost is a control thread that stands and whose inbox is full.
type standingHost struct{ dispatch.Host }

func (standingHost) PostContext(ctx context.Context, _ func()) bool {
	<-ctx.Done()
	return false
}

// Guards against a follower whose control thread stands and that leaves greetings without an
// answer. The greeting process would not learn which replica leads.
func TestStandingFollowerNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const greetTimeout = 700 * time.Millisecond
		d := dispatch.New()
		d.Host, d.Now = standingHost{}, func() time.Duration { return time.Hour }
		s := &flows.Server{Leader: leader.New(), Dispatcher: d}
		ctx, cancel := context.WithTimeout(t.Context(), greetTimeout)
		defer cancel()
		if _, err := s.Greet(ctx, &inner.Greeting{Address: "entry"}); err != nil || ctx.Err() != nil {
			t.Errorf("Greet returned %v, want an answer within %v", err, greetTimeout)
		}
	})
}

// Guards against a next leader that plans a step at which the plan of the leader before did not end, and
// against a replica of another cell that sets steps aside.
func TestReplicaSetsTheStepAsideOfWhichItIsTold(t *testing.T) {
	var aside []flow.StepID
	s := &flows.Server{Cell: "cell", SetAside: func(id flow.StepID) { aside = append(aside, id) }}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	id := flow.StepID{Flow: "f", Turn: 1, Step: 2}
	for _, cell := range []string{"cell", "other"} {
		c := &flows.Client{Cell: cell, HTTPClient: server.Client()}
		c.TellStood(t.Context(), id, []string{address})
		c.TellStood(t.Context(), flow.TaskID{StepID: id}, []string{address})
	}
	if diff := cmp.Diff([]flow.StepID{id}, aside); diff != "" {
		t.Error(diff)
	}
}

// Guards against a replica that does not answer and so keeps all others from the lead.
func TestTellingASilentReplicaEndsInTime(t *testing.T) {
	end := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }))
	defer server.Close()
	defer close(end)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	told := make(chan struct{})
	go func() {
		(&flows.Client{HTTPClient: server.Client()}).TellStood(ctx, flow.StepID{Flow: "f"}, []string{strings.TrimPrefix(server.URL, "http://")})
		close(told)
	}()
	select {
	case <-told:
	case <-time.After(5 * time.Second):
		t.Error("telling a replica that does not answer did not end with its context")
	}
}

// quietGroup is a group without other replicas that commits nothing.
type quietGroup struct {
	leader.Group
	notifications chan group.Notification
}

func (g *quietGroup) Notifications() <-chan group.Notification { return g.notifications }
func (g *quietGroup) Propose(group.Proposal) bool              { return true }
func (g *quietGroup) ConfirmLeadership()                       {}
func (g *quietGroup) Reload()                                  {}

// Guards against callers that wait for the timeout of a request which nobody will begin or commit,
// because the leader has given up the lead.
func TestRequestsEndWhenTheLeadIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(startedAt) }
		g := &quietGroup{notifications: make(chan group.Notification)}
		d, l := dispatch.New(), leader.New()
		d.Host, d.Now, l.Now, l.Group, l.Extension, l.NewPlanner = l, now, now, g, d, func() plan.Planner { return fifo.New() }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		g.notifications <- group.Leading{Term: 1, ElectedAt: now()}
		synctest.Wait()
		released := make(chan struct{})
		l.Post(func() { <-released })
		s := &flows.Server{Leader: l, Dispatcher: d}
		time.AfterFunc(time.Second, func() { l.GiveUpLead() })
		answer, err := s.Ask(t.Context(), &inner.FlowAsk{Verb: inner.FlowVerb_FLOW_VERB_SUBMIT})
		if err != nil || answer.GetCode() != uint32(code.NoLeader) || time.Since(startedAt) > 1100*time.Millisecond {
			t.Errorf("got answer %v, %v after %v, want NoLeader when the lead is given up after 1 s", answer, err, time.Since(startedAt))
		}
		close(released)
		cancel()
		<-l.Done()
	})
}

// silentBackends are backend servers that do not answer.
type silentBackends struct{}

func (silentBackends) Call(context.Context, *inner.ServerCall) *inner.ServerAnswer {
	return &inner.ServerAnswer{Verdict: inner.Verdict_VERDICT_SILENT}
}

// Guards against a report that is acknowledged and then lost: until the group reports who leads, the
// ledger of a replica that has given up the lead contains decisions that nobody may ever commit.
func TestReportIsNotKnownFromDecisionsOfALeadGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(startedAt) }
		g := &quietGroup{notifications: make(chan group.Notification)}
		d, l := dispatch.New(), leader.New()
		d.Host, d.Now, l.Now, l.Group, l.Extension, l.NewPlanner = l, now, now, g, d, func() plan.Planner { return fifo.New() }
		d.Backends = silentBackends{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		g.notifications <- group.Leading{Term: 1, ElectedAt: now()}
		g.notifications <- group.LeadershipConfirmed{Term: 1, StartedAt: now()}
		report := dispatch.Report{FlowServer: &record.FlowServer{Id: "s", Born: 1, Pool: "p", Address: "s", Capacity: &v1.Size{Cpu: 1000, Memory: 1000}}, Number: 1}
		requestCtx, cancelRequest := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancelRequest()
		if err := d.AcceptReport(requestCtx, report); err == nil || err.Code != code.LeaderTimeout {
			t.Errorf("the report that is not committed was answered %v, want LeaderTimeout", err)
		}
		if !l.GiveUpLead() {
			t.Error("the replica did not lead")
		}
		report.Number++
		if d.KnowsReport(t.Context(), report) {
			t.Error("after it gave up the lead, the replica acknowledges a report that was never committed")
		}
		g.notifications <- group.Following{Term: 2}
		if d.KnowsReport(t.Context(), report) {
			t.Error("before it has the committed log again, the replica acknowledges a report that was never committed")
		}
		cancel()
		<-l.Done()
	})
}
