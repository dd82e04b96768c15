package drive_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/work"
)

// fakeEntry is an entry that answers no submission until the expected number has
// arrived.
type fakeEntry struct {
	v1.UnimplementedCallerHandler
	expectedSubmits int
	allSubmitted    chan struct{}

	mu          sync.Mutex
	submitCount int
	ackCounts   map[string]int
}

func (e *fakeEntry) Submit(ctx context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	e.mu.Lock()
	if e.submitCount++; e.submitCount == e.expectedSubmits {
		close(e.allSubmitted)
	}
	e.mu.Unlock()
	select {
	case <-e.allSubmitted:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return connect.NewResponse(&v1.SubmitReply{Jobs: []*v1.Accepted{{Id: r.Msg.GetJobs()[0].GetId(), Status: &v1.Status{}, Outcome: v1.Outcome_OUTCOME_QUEUED}}}), nil
}

// Wait returns the answer of job-0 for job-1, and the right answer for every other
// job.
func (e *fakeEntry) Wait(_ context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	id := r.Msg.GetId()
	if id == "job-1" {
		id = "job-0"
	}
	return connect.NewResponse(&v1.WaitReply{Outcome: v1.Outcome_OUTCOME_DONE, Chunk: answer.ChunkAt(work.JobAnswer(id, 2, 10), r.Msg.GetChunk())}), nil
}

func (e *fakeEntry) Acknowledge(_ context.Context, r *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range r.Msg.GetIds() {
		e.ackCounts[id]++
	}
	return connect.NewResponse(&v1.AcknowledgeReply{}), nil
}

// Guards against a closed loop, which would wait for the first acceptance and never
// send the other jobs: the entry answers nothing until every job is sent. Also guards
// against an unnoticed wrong answer: one job gets the complete answer of another, with
// a valid checksum.
func TestDriverSendsWithoutWaitingAndChecksAnswers(t *testing.T) {
	const n = 40
	e := &fakeEntry{expectedSubmits: n, allSubmitted: make(chan struct{}), ackCounts: map[string]int{}}
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	driver := &drive.Driver{Client: &caller.Client{Transport: &transport.Client{Addresses: []string{server.URL}}}, OutcomeTimeout: 20 * time.Second}
	want := map[string]int{}
	for i := range n {
		id := fmt.Sprintf("job-%d", i)
		driver.Jobs = append(driver.Jobs, mix.Job{ArrivesAt: time.Duration(i) * time.Millisecond, Kind: job.Batch, AnswerBytes: 10, Spec: &v1.Spec{Id: id, Count: 2}})
		want[id] = 1
	}
	for i, result := range driver.Run(t.Context()) {
		if result.AnswerMatches == (i == 1) || result.AnswerDamaged != (i == 1) || result.AnsweredAt < result.AcceptedAt || result.AcceptedAt < result.SentAt {
			t.Errorf("job %d: wrong times or answer check: %+v", i, result)
		}
	}
	if diff := cmp.Diff(want, e.ackCounts); diff != "" {
		t.Errorf("acknowledged jobs (-want +got):\n%s", diff)
	}
}
