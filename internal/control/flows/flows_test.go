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
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/flows"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/domain/flow"
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
