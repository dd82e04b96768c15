package fault_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/demo/cell"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/server"
	"gypsumreel/internal/ledger/state"
)

// world is a whole cell on a network in memory, with what its promises are
// checked against.
type world struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	net    *network
	cell   *cell.Cell
	record *server.Record
	client *http.Client
	key    string
	cpu    int64

	mu   sync.Mutex
	runs map[string]int
	// at is told of each step that a job of the test comes to.
	at func(step string)
}

// The sizes of the world.
const (
	replicas    = 3
	entries     = 2
	servers     = 3
	coresEach   = 4000
	teamCores   = 9000
	taskCores   = 1000
	answerSize  = 200_000
	healAfter   = 12 * time.Second
	patience    = 1500 * time.Millisecond
	deadline    = 90 * time.Second
	callTimeout = 3 * time.Second
)

// newWorld starts a cell and sets up a team with a key and a limit.
func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, ctx: ctx, cancel: cancel, net: newNetwork(ctx), record: &server.Record{}, runs: map[string]int{},
		at: func(string) {},
	}
	w.cell = &cell.Cell{
		Network: w.net, Dir: t.TempDir(), Replicas: replicas, Entries: entries, Servers: servers, Zones: 3,
		Capacity:  &v1.Size{Cpu: coresEach, Memory: 64_000, Accel: 4, Slots: 8},
		Transport: w.net.wire, Record: w.record, Work: w.work, Log: logr.Discard(), Linger: time.Second,
	}
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer("caller"), IdleConnTimeout: time.Second}}
	if err := w.cell.Start(ctx); err != nil {
		t.Fatal(err)
	}
	limit := &v1.Size{Cpu: teamCores, Memory: -1, Accel: -1, Slots: -1}
	w.change(&v1.ChangeRequest{Id: "table", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
		{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 100, Limit: limit}},
	}}}})
	digest := key.Digest("secret")
	w.change(&v1.ChangeRequest{Id: "grant", Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k", Team: "rail", Digest: digest[:]}}})
	w.key = "k.secret"
	return w
}

func (w *world) close() {
	w.cell.Close()
	w.client.CloseIdleConnections()
	w.cancel()
}

// work runs a task: it takes a moment, counts its runs by request, and gives an
// answer that no other task gives.
func (w *world) work(ctx context.Context, o *v1.Order) server.Result {
	id := string(o.GetInput())
	w.mu.Lock()
	w.runs[fmt.Sprintf("%s/%d", id, o.GetAttempt().GetTask())]++
	w.mu.Unlock()
	w.at("run")
	select {
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
	}
	w.at("report")
	return server.Result{Answer: pattern(id)}
}

func pattern(id string) []byte {
	return bytes.Repeat([]byte(id+";"), answerSize/(len(id)+1))
}

func bearer[T any](m *T, k string) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+k)
	return r
}

// ask calls an entry until one answers; the same request each time. patient
// codes are asked again as well.
func ask[Req, Rep any](w *world, peer string, k string, m *Req, call func(url string) func(context.Context, *connect.Request[Req]) (*connect.Response[Rep], error)) (*Rep, error) {
	var last error
	until := time.Now().Add(deadline)
	for n := 0; time.Now().Before(until); n++ {
		name := fmt.Sprintf("e%d", n%entries+1)
		ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
		rep, err := call("http://"+w.net.Address(name+"-"+peer))(ctx, bearer(m, k))
		cancel()
		if err == nil {
			return rep.Msg, nil
		}
		last = err
		if final(err) {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, last
}

// final tells whether asking again with the same id makes no sense.
func final(err error) bool {
	var c *connect.Error
	if !errors.As(err, &c) {
		return false
	}
	switch c.Code() {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeNotFound:
		return true
	}
	return false
}

func (w *world) change(req *v1.ChangeRequest) *v1.ChangeReply {
	w.t.Helper()
	rep, err := ask(w, "operators", w.cell.Operator, req, func(url string) func(context.Context, *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
		return v1.NewOperatorClient(w.client, url).Change
	})
	if err != nil {
		w.t.Fatalf("change %s: %v", req.GetId(), err)
	}
	return rep
}

func (w *world) submit(spec *v1.Spec) (*v1.Accepted, error) {
	rep, err := ask(w, "callers", w.key, &v1.SubmitRequest{Jobs: []*v1.Spec{spec}}, func(url string) func(context.Context, *connect.Request[v1.SubmitRequest]) (*connect.Response[v1.SubmitReply], error) {
		return v1.NewCallerClient(w.client, url).Submit
	})
	if err != nil {
		return nil, err
	}
	return rep.GetJobs()[0], nil
}

func (w *world) wait(id string, chunk uint32) (*v1.WaitReply, error) {
	req := &v1.WaitRequest{Id: id, Chunk: chunk, Patience: uint64(patience.Milliseconds())}
	return ask(w, "callers", w.key, req, func(url string) func(context.Context, *connect.Request[v1.WaitRequest]) (*connect.Response[v1.WaitReply], error) {
		return v1.NewCallerClient(w.client, url).Wait
	})
}

// result is how a job ended for its caller.
type result struct {
	id      string
	spec    *v1.Spec
	outcome v1.Outcome
	code    code.Code
	answer  []byte
	err     error
}

// serve submits a job and waits for its outcome and whole answer.
func (w *world) serve(spec *v1.Spec) result {
	r := result{id: spec.GetId(), spec: spec}
	w.at("submit")
	a, err := w.submit(spec)
	if err != nil {
		r.err = err
		return r
	}
	w.at("accepted")
	if a.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN || a.GetOutcome() == v1.Outcome_OUTCOME_UNSPECIFIED {
		r.outcome, r.code = a.GetOutcome(), code.Code(a.GetStatus().GetCode())
		return r
	}
	until := time.Now().Add(deadline)
	var parts answer.Parts
	for chunk := uint32(0); time.Now().Before(until); {
		rep, err := w.wait(spec.GetId(), chunk)
		if err != nil {
			r.err = err
			return r
		}
		r.outcome, r.code = rep.GetOutcome(), code.Code(rep.GetStatus().GetCode())
		if r.outcome < v1.Outcome_OUTCOME_DONE {
			continue
		}
		if r.outcome != v1.Outcome_OUTCOME_DONE {
			return r
		}
		w.at("answer")
		if r.err = parts.Add(rep.GetChunk()); r.err != nil {
			return r
		}
		data, whole, err := parts.Whole()
		if whole || err != nil {
			r.answer, r.err = data, err
			return r
		}
		chunk = rep.GetChunk().GetNumber() + 1
	}
	r.err = errors.New("no outcome in time")
	return r
}

// check holds what came out against the promises, and returns what is broken.
func (w *world) check(results []result) (faults []string) {
	faults = append(faults, w.record.Faults()...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range results {
		runs, most := 0, 0
		for i := range r.spec.GetCount() {
			n := w.runs[fmt.Sprintf("%s/%d", r.id, i)]
			runs, most = runs+n, max(most, n)
		}
		switch {
		case r.err != nil:
			faults = append(faults, fmt.Sprintf("%s: no answer: %v", r.id, r.err))
		case r.spec.GetOnce() && most > 1:
			faults = append(faults, fmt.Sprintf("%s may not be repeated and ran %d times", r.id, most))
		case r.outcome == v1.Outcome_OUTCOME_NOT_RUN && runs > 0:
			faults = append(faults, fmt.Sprintf("%s was said not to have run and ran %d times", r.id, runs))
		case r.outcome == v1.Outcome_OUTCOME_DONE && r.code == code.OK && !bytes.Equal(r.answer, bytes.Repeat(pattern(r.id), int(r.spec.GetCount()))):
			faults = append(faults, fmt.Sprintf("%s: the answer is not whole", r.id))
		case r.outcome == v1.Outcome_OUTCOME_UNKNOWN && !r.spec.GetOnce():
			faults = append(faults, fmt.Sprintf("%s may be repeated and is unknown", r.id))
		}
	}
	return append(faults, w.ledgers()...)
}

// ledgers holds every replica's ledger against capacity and limits.
func (w *world) ledgers() (faults []string) {
	for _, name := range w.cell.Names("c", replicas) {
		n := w.cell.Node(name)
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		err := n.Control.Do(ctx, func(st *state.State) {
			if st.Faults() > 0 {
				faults = append(faults, name+": an event that no chart allows")
			}
			for _, b := range st.Servers() {
				if !b.Held.Fits(b.Capacity) {
					faults = append(faults, fmt.Sprintf("%s: %s is overcommitted", name, b.ID))
				}
			}
			for _, r := range st.Table().Rows() {
				if !st.Held(r.Name).Within(r.Limit) {
					faults = append(faults, fmt.Sprintf("%s: %s is over its limit", name, r.Name))
				}
			}
		})
		cancel()
		if err != nil && !strings.Contains(err.Error(), "ended") {
			faults = append(faults, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return faults
}
