package flows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/flows"
	"gypsumreel/internal/control/leader"
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
