package caller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/transport"
)

// scriptedEntry is a fake entry that answers each Submit and Wait with the next function
// of a list.
type scriptedEntry struct {
	v1.UnimplementedCallerHandler
	mu              sync.Mutex
	submittedIDs    [][]string
	authorizations  []string
	firstFlags      []bool
	requestedChunks []uint32
	submitSteps     []func(*v1.SubmitRequest) (*v1.SubmitReply, error)
	waitSteps       []func(*v1.WaitRequest) (*v1.WaitReply, error)
}

func (e *scriptedEntry) Submit(_ context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, j := range r.Msg.GetJobs() {
		ids = append(ids, j.GetId())
	}
	e.submittedIDs, e.authorizations = append(e.submittedIDs, ids), append(e.authorizations, r.Header().Get("Authorization"))
	e.firstFlags = append(e.firstFlags, r.Msg.GetFirst())
	step := e.submitSteps[0]
	e.submitSteps = e.submitSteps[1:]
	return newResponse(step(r.Msg))
}

func (e *scriptedEntry) Wait(_ context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestedChunks = append(e.requestedChunks, r.Msg.GetChunk())
	step := e.waitSteps[0]
	e.waitSteps = e.waitSteps[1:]
	return newResponse(step(r.Msg))
}

func newResponse[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func startServer(t *testing.T, h v1.CallerHandler) string {
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(h))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

func newClient(addresses ...string) *caller.Client {
	return &caller.Client{Transport: &transport.Client{Addresses: addresses, Key: "id.secret", Timeout: 5 * time.Second}}
}

func newStatus(c code.Code) *v1.Status { return &v1.Status{Code: uint32(c)} }

func replyWithCodes(codes ...code.Code) func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
	return func(r *v1.SubmitRequest) (*v1.SubmitReply, error) {
		reply := &v1.SubmitReply{}
		for i, j := range r.GetJobs() {
			reply.Jobs = append(reply.Jobs, &v1.Accepted{Id: j.GetId(), Status: newStatus(codes[i])})
		}
		return reply, nil
	}
}

// The first entry stops during a submission, and the leader answers only one of two
// jobs. Both jobs must be accepted once. Every attempt must use the same ids and the
// same key, and answered jobs must not be submitted again.
func TestSubmitRetriesWithSameIDs(t *testing.T) {
	failingEntry := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){
		func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("gone"))
		},
		replyWithCodes(code.OK),
	}}
	healthyEntry := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){replyWithCodes(code.OK, code.LeaderTimeout)}}
	got, err := newClient(startServer(t, failingEntry), startServer(t, healthyEntry)).Submit(t.Context(), []*v1.Spec{{Id: "a"}, {Id: "b"}}, true)
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []string{"a", "b"} {
		if got[i].GetId() != id || got[i].GetStatus().GetCode() != 0 {
			t.Errorf("reply %d is %v", i, got[i])
		}
	}
	if diff := cmp.Diff([][]string{{"a", "b"}, {"b"}}, failingEntry.submittedIDs); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([][]string{{"a", "b"}}, healthyEntry.submittedIDs); diff != "" {
		t.Error(diff)
	}
	if got := slices.Concat(failingEntry.firstFlags, healthyEntry.firstFlags); !slices.Equal(got, []bool{true, false, false}) {
		t.Errorf("First flags of the attempts: %v", got)
	}
	if want := []string{"Bearer id.secret", "Bearer id.secret"}; !slices.Equal(failingEntry.authorizations, want) {
		t.Errorf("keys %q", failingEntry.authorizations)
	}
}

func TestFinalRefusalIsNotRetried(t *testing.T) {
	e := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){replyWithCodes(code.QueueFull)}}
	got, err := newClient(startServer(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != uint32(code.QueueFull) {
		t.Errorf("got %v, %v", got, err)
	}
	e = &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){
		func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no"))
		},
	}}
	if _, err := newClient(startServer(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true); transport.AsCodeError(err).Code != code.InvalidKey {
		t.Errorf("got %v", err)
	}
}

func replyNotRun(*v1.SubmitRequest) (*v1.SubmitReply, error) {
	return &v1.SubmitReply{Jobs: []*v1.Accepted{{Id: "a", Status: newStatus(code.ControlUnreachable), Outcome: v1.Outcome_OUTCOME_NOT_RUN}}}, nil
}

// The leader has crashed. For about a second the entries answer that they cannot pass
// the job on. The caller must see a short delay instead of a refusal. Nothing has left
// the entries, so each attempt may still set First.
func TestSubmitRetriesDuringElection(t *testing.T) {
	e := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){replyNotRun, replyNotRun, replyWithCodes(code.OK)}}
	got, err := newClient(startServer(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != 0 {
		t.Errorf("got %v, %v", got, err)
	}
	if !slices.Equal(e.firstFlags, []bool{true, true, true}) {
		t.Errorf("First flags of the attempts: %v", e.firstFlags)
	}
}

// The first attempt gets no answer, so the leader may have accepted it. No later attempt
// may set First, because an entry would then answer "not run" for a job that may run.
func TestNoRetryClaimsFirstAfterLostAnswer(t *testing.T) {
	e := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){replyWithCodes(code.LeaderTimeout), replyWithCodes(code.LeaderTimeout), replyWithCodes(code.QueueFull)}}
	if _, err := newClient(startServer(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true); err != nil {
		t.Error(err)
	}
	if !slices.Equal(e.firstFlags, []bool{true, false, false}) {
		t.Errorf("First flags of the attempts: %v", e.firstFlags)
	}
}

func TestRetriesOfUnreachableLeaderEnd(t *testing.T) {
	e := &scriptedEntry{submitSteps: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){replyNotRun, replyNotRun}}
	c := newClient(startServer(t, e))
	c.RetryUnreachableFor = time.Nanosecond
	got, err := c.Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN || len(e.firstFlags) != 1 {
		t.Errorf("got %v, %v after %d attempts", got, err, len(e.firstFlags))
	}
}

// No entry answers before the caller's context ends. The job may run, so the reply must
// have the code LeaderTimeout and no outcome.
func TestSubmitTimeoutReportsNoOutcome(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	got, err := newClient("http://127.0.0.1:1").Submit(ctx, []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != uint32(code.LeaderTimeout) || got[0].GetOutcome() != v1.Outcome_OUTCOME_UNSPECIFIED {
		t.Errorf("got %v, %v", got, err)
	}
}

func replyWithChunk(answer string, number, count uint32, data string) func(*v1.WaitRequest) (*v1.WaitReply, error) {
	c := &v1.Chunk{Number: number, Count: count, Total: uint64(len(answer)), Sum: xxhash.Sum64String(answer), Data: []byte(data)}
	return func(r *v1.WaitRequest) (*v1.WaitReply, error) {
		return &v1.WaitReply{Id: r.GetId(), Outcome: v1.Outcome_OUTCOME_DONE, Chunk: c}, nil
	}
}

// Chunks arrive late, twice and out of order. The caller must get the complete answer in
// the right order and must request only missing chunks.
func TestWaitReordersChunks(t *testing.T) {
	e := &scriptedEntry{waitSteps: []func(*v1.WaitRequest) (*v1.WaitReply, error){
		func(*v1.WaitRequest) (*v1.WaitReply, error) {
			return &v1.WaitReply{Outcome: v1.Outcome_OUTCOME_RUNNING}, nil
		},
		func(*v1.WaitRequest) (*v1.WaitReply, error) {
			return &v1.WaitReply{Status: newStatus(code.NoLeader)}, nil
		},
		replyWithChunk("abcdef", 2, 3, "ef"),
		replyWithChunk("abcdef", 0, 3, "ab"),
		replyWithChunk("abcdef", 0, 3, "ab"),
		replyWithChunk("abcdef", 1, 3, "cd"),
	}}
	got, err := newClient(startServer(t, e)).Wait(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	want := caller.Result{ID: "a", Outcome: v1.Outcome_OUTCOME_DONE, Text: "", Data: []byte("abcdef")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint32{0, 0, 0, 0, 1, 1}, e.requestedChunks); diff != "" {
		t.Error(diff)
	}
}

// The caller's context ends after the first of two chunks of a completed job. Without an
// error the result would look like a complete but empty answer.
func TestTimeoutBetweenChunksReturnsNoAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	e := &scriptedEntry{waitSteps: []func(*v1.WaitRequest) (*v1.WaitReply, error){
		replyWithChunk("abcd", 0, 2, "ab"),
		func(*v1.WaitRequest) (*v1.WaitReply, error) {
			cancel()
			return nil, connect.NewError(connect.CodeUnavailable, nil)
		},
	}}
	got, err := newClient(startServer(t, e)).Wait(ctx, "a")
	if err == nil || got.Data != nil {
		t.Errorf("got outcome %v, data %q, error %v", got.Outcome, got.Data, err)
	}
}

func TestDamagedAnswerIsRejected(t *testing.T) {
	for name, steps := range map[string][]func(*v1.WaitRequest) (*v1.WaitReply, error){
		"changed":        {replyWithChunk("abcd", 0, 1, "abcx")},
		"cut":            {replyWithChunk("abcd", 0, 1, "abc")},
		"mixed":          {replyWithChunk("abcd", 0, 2, "ab"), replyWithChunk("wxyz", 1, 2, "yz")},
		"out of bounds":  {replyWithChunk("abcd", 2, 2, "ab")},
		"without chunks": {replyWithChunk("", 0, 0, "")},
	} {
		e := &scriptedEntry{waitSteps: steps}
		if got, err := newClient(startServer(t, e)).Wait(t.Context(), "a"); err == nil || got.Data != nil {
			t.Errorf("%s: got data %q, error %v", name, got.Data, err)
		}
	}
}
