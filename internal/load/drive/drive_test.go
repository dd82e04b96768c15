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

// entry holds every submission until as many as it waits for are there.
type entry struct {
	v1.UnimplementedCallerHandler
	want int
	all  chan struct{}

	mu   sync.Mutex
	have int
	acks map[string]int
}

func (e *entry) Submit(ctx context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	e.mu.Lock()
	if e.have++; e.have == e.want {
		close(e.all)
	}
	e.mu.Unlock()
	select {
	case <-e.all:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return connect.NewResponse(&v1.SubmitReply{Jobs: []*v1.Accepted{{Id: r.Msg.GetJobs()[0].GetId(), Status: &v1.Status{}, Outcome: v1.Outcome_OUTCOME_QUEUED}}}), nil
}

// Wait answers job-1 with the answer of another.
func (e *entry) Wait(_ context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	id := r.Msg.GetId()
	if id == "job-1" {
		id = "job-0"
	}
	return connect.NewResponse(&v1.WaitReply{Outcome: v1.Outcome_OUTCOME_DONE, Chunk: answer.ChunkAt(work.JobAnswer(id, 2, 10), r.Msg.GetChunk())}), nil
}

func (e *entry) Acknowledge(_ context.Context, r *connect.Request[v1.AcknowledgeRequest]) (*connect.Response[v1.AcknowledgeReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range r.Msg.GetIds() {
		e.acks[id]++
	}
	return connect.NewResponse(&v1.AcknowledgeReply{}), nil
}

// The cell answers nothing until every job has been sent. A closed loop would
// wait for the first answer and never send the rest. One caller then gets the
// answer of another, whole and with the right checksum, which must be noticed.
func TestLoopIsOpenAndAnswersAreChecked(t *testing.T) {
	const n = 40
	e := &entry{want: n, all: make(chan struct{}), acks: map[string]int{}}
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(e))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	d := &drive.Driver{Client: &caller.Client{Transport: &transport.Client{Addresses: []string{s.URL}}}, Tail: 20 * time.Second}
	want := map[string]int{}
	for i := range n {
		id := fmt.Sprintf("job-%d", i)
		d.Jobs = append(d.Jobs, mix.Job{ArrivesAt: time.Duration(i) * time.Millisecond, Kind: job.Batch, AnswerBytes: 10, Spec: &v1.Spec{Id: id, Count: 2}})
		want[id] = 1
	}
	for i, one := range d.Run(t.Context()) {
		if one.AnswerMatches == (i == 1) || one.AnswerDamaged != (i == 1) || one.AnsweredAt < one.AcceptedAt || one.AcceptedAt < one.SentAt {
			t.Errorf("job %d: %+v", i, one)
		}
	}
	if diff := cmp.Diff(want, e.acks); diff != "" {
		t.Error(diff)
	}
}
