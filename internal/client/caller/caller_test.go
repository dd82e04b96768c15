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

// entry is a stand-in that answers each Submit and Wait by the next step of a script.
type entry struct {
	v1.UnimplementedCallerHandler
	mu     sync.Mutex
	ids    [][]string
	keys   []string
	first  []bool
	chunks []uint32
	submit []func(*v1.SubmitRequest) (*v1.SubmitReply, error)
	wait   []func(*v1.WaitRequest) (*v1.WaitReply, error)
}

func (e *entry) Submit(_ context.Context, r *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, j := range r.Msg.GetJobs() {
		ids = append(ids, j.GetId())
	}
	e.ids, e.keys = append(e.ids, ids), append(e.keys, r.Header().Get("Authorization"))
	e.first = append(e.first, r.Msg.GetFirst())
	step := e.submit[0]
	e.submit = e.submit[1:]
	return answer(step(r.Msg))
}

func (e *entry) Wait(_ context.Context, r *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chunks = append(e.chunks, r.Msg.GetChunk())
	step := e.wait[0]
	e.wait = e.wait[1:]
	return answer(step(r.Msg))
}

func answer[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func serve(t *testing.T, h v1.CallerHandler) string {
	mux := http.NewServeMux()
	mux.Handle(v1.NewCallerHandler(h))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

func client(addresses ...string) *caller.Client {
	return &caller.Client{Transport: &transport.Client{Addresses: addresses, Key: "id.secret", Timeout: 5 * time.Second}}
}

func status(c code.Code) *v1.Status { return &v1.Status{Code: uint32(c)} }

func accept(codes ...code.Code) func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
	return func(r *v1.SubmitRequest) (*v1.SubmitReply, error) {
		out := &v1.SubmitReply{}
		for i, j := range r.GetJobs() {
			out.Jobs = append(out.Jobs, &v1.Accepted{Id: j.GetId(), Status: status(codes[i])})
		}
		return out, nil
	}
}

// The first entry goes away while it holds a submission, and the leader answers
// for one of two jobs only. A caller must see both accepted once: every try
// bears the same ids and the same key, and what was answered is not asked again.
func TestSubmitAsksAgainWithTheSameIDs(t *testing.T) {
	lost := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){
		func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("gone"))
		},
		accept(code.OK),
	}}
	other := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){accept(code.OK, code.LeaderTimeout)}}
	got, err := client(serve(t, lost), serve(t, other)).Submit(t.Context(), []*v1.Spec{{Id: "a"}, {Id: "b"}}, true)
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []string{"a", "b"} {
		if got[i].GetId() != id || got[i].GetStatus().GetCode() != 0 {
			t.Errorf("answer %d is %v", i, got[i])
		}
	}
	if diff := cmp.Diff([][]string{{"a", "b"}, {"b"}}, lost.ids); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([][]string{{"a", "b"}}, other.ids); diff != "" {
		t.Error(diff)
	}
	if got := slices.Concat(lost.first, other.first); !slices.Equal(got, []bool{true, false, false}) {
		t.Errorf("claimed to be the first: %v", got)
	}
	if want := []string{"Bearer id.secret", "Bearer id.secret"}; !slices.Equal(lost.keys, want) {
		t.Errorf("keys %q", lost.keys)
	}
}

func TestFinalRefusalIsNotAskedAgain(t *testing.T) {
	e := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){accept(code.QueueFull)}}
	got, err := client(serve(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != uint32(code.QueueFull) {
		t.Errorf("got %v, %v", got, err)
	}
	e = &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){
		func(*v1.SubmitRequest) (*v1.SubmitReply, error) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no"))
		},
	}}
	if _, err := client(serve(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true); transport.AsCodeError(err).Code != code.InvalidKey {
		t.Errorf("got %v", err)
	}
}

func notRun(*v1.SubmitRequest) (*v1.SubmitReply, error) {
	return &v1.SubmitReply{Jobs: []*v1.Accepted{{Id: "a", Status: status(code.ControlUnreachable), Outcome: v1.Outcome_OUTCOME_NOT_RUN}}}, nil
}

// The leader has just died. The entries say for about a second that they can't
// hand the job over; a caller should see a short wait and no refusal. Nothing
// has left the entries, so each try may still claim to be the first.
func TestElectionIsNoRefusal(t *testing.T) {
	e := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){notRun, notRun, accept(code.OK)}}
	got, err := client(serve(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != 0 {
		t.Errorf("got %v, %v", got, err)
	}
	if !slices.Equal(e.first, []bool{true, true, true}) {
		t.Errorf("claimed to be the first: %v", e.first)
	}
}

// One try goes without an answer, then the leader is away for good. The first
// try may have been accepted, so that no later one may claim to be the first,
// and what an entry says of itself is not taken for the whole truth.
func TestRefusalAfterALostAnswerIsNotTheFirst(t *testing.T) {
	e := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){accept(code.LeaderTimeout), accept(code.LeaderTimeout), accept(code.QueueFull)}}
	if _, err := client(serve(t, e)).Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true); err != nil {
		t.Error(err)
	}
	if !slices.Equal(e.first, []bool{true, false, false}) {
		t.Errorf("claimed to be the first: %v", e.first)
	}
}

func TestPersistenceEnds(t *testing.T) {
	e := &entry{submit: []func(*v1.SubmitRequest) (*v1.SubmitReply, error){notRun, notRun}}
	c := client(serve(t, e))
	c.RetryUnreachableFor = time.Nanosecond
	got, err := c.Submit(t.Context(), []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN || len(e.first) != 1 {
		t.Errorf("got %v, %v after %d tries", got, err, len(e.first))
	}
}

// No entry answers before the caller's time is over. The job may run, so the
// answer is "unanswered" and never an outcome.
func TestSubmitWithoutAnswerIsNoOutcome(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	got, err := client("http://127.0.0.1:1").Submit(ctx, []*v1.Spec{{Id: "a"}}, true)
	if err != nil || got[0].GetStatus().GetCode() != uint32(code.LeaderTimeout) || got[0].GetOutcome() != v1.Outcome_OUTCOME_UNSPECIFIED {
		t.Errorf("got %v, %v", got, err)
	}
}

func chunk(whole string, number, count uint32, data string) func(*v1.WaitRequest) (*v1.WaitReply, error) {
	c := &v1.Chunk{Number: number, Count: count, Total: uint64(len(whole)), Sum: xxhash.Sum64String(whole), Data: []byte(data)}
	return func(r *v1.WaitRequest) (*v1.WaitReply, error) {
		return &v1.WaitReply{Id: r.GetId(), Outcome: v1.Outcome_OUTCOME_DONE, Chunk: c}, nil
	}
}

// Chunks come late, twice and out of order. The caller gets the whole answer in
// its right order, and asks only for what is missing.
func TestWaitPutsChunksInOrder(t *testing.T) {
	e := &entry{wait: []func(*v1.WaitRequest) (*v1.WaitReply, error){
		func(*v1.WaitRequest) (*v1.WaitReply, error) {
			return &v1.WaitReply{Outcome: v1.Outcome_OUTCOME_RUNNING}, nil
		},
		func(*v1.WaitRequest) (*v1.WaitReply, error) { return &v1.WaitReply{Status: status(code.NoLeader)}, nil },
		chunk("abcdef", 2, 3, "ef"),
		chunk("abcdef", 0, 3, "ab"),
		chunk("abcdef", 0, 3, "ab"),
		chunk("abcdef", 1, 3, "cd"),
	}}
	got, err := client(serve(t, e)).Wait(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	want := caller.Result{ID: "a", Outcome: v1.Outcome_OUTCOME_DONE, Text: "", Data: []byte("abcdef")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint32{0, 0, 0, 0, 1, 1}, e.chunks); diff != "" {
		t.Error(diff)
	}
}

// A caller's time runs out after the first of two chunks. The job is done, and a
// result without an error would be taken for its whole answer, which is empty.
func TestTimeRunningOutBetweenChunksIsNoAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	e := &entry{wait: []func(*v1.WaitRequest) (*v1.WaitReply, error){
		chunk("abcd", 0, 2, "ab"),
		func(*v1.WaitRequest) (*v1.WaitReply, error) {
			cancel()
			return nil, connect.NewError(connect.CodeUnavailable, nil)
		},
	}}
	got, err := client(serve(t, e)).Wait(ctx, "a")
	if err == nil || got.Data != nil {
		t.Errorf("got %v %q, %v", got.Outcome, got.Data, err)
	}
}

func TestDamagedAnswerIsNoAnswer(t *testing.T) {
	for name, steps := range map[string][]func(*v1.WaitRequest) (*v1.WaitReply, error){
		"changed":        {chunk("abcd", 0, 1, "abcx")},
		"cut":            {chunk("abcd", 0, 1, "abc")},
		"mixed":          {chunk("abcd", 0, 2, "ab"), chunk("wxyz", 1, 2, "yz")},
		"out of bounds":  {chunk("abcd", 2, 2, "ab")},
		"without chunks": {chunk("", 0, 0, "")},
	} {
		e := &entry{wait: steps}
		if got, err := client(serve(t, e)).Wait(t.Context(), "a"); err == nil || got.Data != nil {
			t.Errorf("%s: got %q, %v", name, got.Data, err)
		}
	}
}
