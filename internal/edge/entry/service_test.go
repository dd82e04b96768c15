package entry_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/caller"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/operator"
	"gypsumreel/internal/fake/relay"
	"gypsumreel/internal/fake/server"
)

// asker answers everything with one reply or error and keeps the last item.
type asker struct {
	reply *inner.Reply
	err   error
	item  *inner.Item
}

func (a *asker) Send(_ context.Context, item *inner.Item) (*inner.Reply, error) {
	a.item = item
	return a.reply, a.err
}

func (*asker) Dump(context.Context, string) (*v1.DumpReply, error) { return &v1.DumpReply{}, nil }

func with[T any](token string, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	if token != "" {
		req.Header().Set("Authorization", "Bearer "+token)
	}
	return req
}

// A caller sends a job again at an entry that reaches no leader, after the
// first request got through elsewhere. "Not run" would be false; only of a
// first and only request may the entry say it.
func TestOnlyAFirstRequestIsRefusedAsNotRun(t *testing.T) {
	for _, c := range []struct {
		err     code.Code
		first   bool
		code    code.Code
		outcome v1.Outcome
	}{
		{code.ControlUnreachable, true, code.ControlUnreachable, v1.Outcome_OUTCOME_NOT_RUN},
		{code.Overloaded, true, code.Overloaded, v1.Outcome_OUTCOME_NOT_RUN},
		{code.LeaderTimeout, true, code.LeaderTimeout, v1.Outcome_OUTCOME_UNSPECIFIED},
		{code.ControlUnreachable, false, code.LeaderTimeout, v1.Outcome_OUTCOME_UNSPECIFIED},
		{code.Overloaded, false, code.LeaderTimeout, v1.Outcome_OUTCOME_UNSPECIFIED},
	} {
		h := &caller.Handler{Leader: &asker{err: code.New(c.err, "")}}
		reply, err := h.Submit(t.Context(), with("id.secret", &v1.SubmitRequest{Jobs: []*v1.Spec{spec("job", false, nil)}, First: c.first}))
		if err != nil {
			t.Fatal(err)
		}
		got := reply.Msg.GetJobs()[0]
		if code.Code(got.GetStatus().GetCode()) != c.code || got.GetOutcome() != c.outcome {
			t.Errorf("%d, first %v: code %d, outcome %v", c.err, c.first, got.GetStatus().GetCode(), got.GetOutcome())
		}
	}
}

// A caller polls for a job that runs while its entry reaches no leader. A code
// of the class "not run" would read as the job's outcome.
func TestPollsAreNeverRefusedAsNotRun(t *testing.T) {
	for _, c := range []code.Code{code.ControlUnreachable, code.Overloaded} {
		h := &caller.Handler{Leader: &asker{err: code.New(c, "")}}
		reply, err := h.Wait(t.Context(), with("id.secret", &v1.WaitRequest{Id: "job"}))
		if err != nil || reply.Msg.GetStatus().GetCode()/100 == 2 || reply.Msg.GetStatus().GetRetry() == 0 {
			t.Errorf("%d: %v, %v", c, reply, err)
		}
	}
}

// The answers of a submission stand in the request's order also when some jobs
// never leave the entry because they break a bound.
func TestMalformedJobsDoNotShiftTheAnswers(t *testing.T) {
	a := &asker{reply: &inner.Reply{Answer: &inner.Reply_Submit{Submit: &v1.SubmitReply{Jobs: []*v1.Accepted{{Id: "a"}, {Id: "b"}}}}}}
	h := &caller.Handler{Leader: a}
	huge := spec("huge", false, make([]byte, caller.MaxInputSize+1))
	negative := spec("negative", false, nil)
	negative.Size.Cpu = -1
	jobs := []*v1.Spec{huge, spec("a", false, nil), negative, spec("b", false, nil), spec("a", false, nil), spec("a\nb", false, nil)}
	reply, err := h.Submit(t.Context(), with("id.secret", &v1.SubmitRequest{Jobs: jobs}))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, j := range reply.Msg.GetJobs() {
		got = append(got, j.GetId()+" "+code.Code(j.GetStatus().GetCode()).String())
	}
	want := []string{
		"huge " + code.TooLarge.String(), "a ok", "negative " + code.Malformed.String(), "b ok",
		"a " + code.Malformed.String(), "a\nb " + code.Malformed.String(),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	digest := key.Digest("secret")
	if c := a.item.GetCredential(); c.GetId() != "id" || string(c.GetDigest()) != string(digest[:]) {
		t.Errorf("credential %v", c)
	}
}

// Without a well-formed key nothing is asked of the leader.
func TestCallsWithoutAKeyAreRefused(t *testing.T) {
	a := &asker{}
	h := &caller.Handler{Leader: a}
	for _, token := range []string{"", "id", ".secret", "id.", strings.Repeat("x", 600) + ".secret"} {
		reply, err := h.List(t.Context(), with(token, &v1.ListRequest{}))
		if err != nil || reply.Msg.GetStatus().GetCode() != uint32(code.InvalidKey) {
			t.Errorf("key %.10q: %v, %v", token, reply, err)
		}
	}
	if a.item != nil {
		t.Error("the leader was asked")
	}
}

// A stranger must not announce a backend server and be handed the teams' inputs.
func TestBackendServersNeedTheEnrolmentSecret(t *testing.T) {
	a := &asker{reply: &inner.Reply{Answer: &inner.Reply_Announce{Announce: &v1.AnnounceReply{Status: &v1.Status{}, Incarnation: 1}}}}
	h := &backend.Handler{Leader: a, EnrolmentDigests: []backend.Digest{key.Digest("old"), key.Digest("new")}}
	good := &v1.AnnounceRequest{Server: "s1", Nonce: 1, Rack: "r", Zone: "z", Capacity: &v1.Size{Cpu: 1, Memory: 1, Slots: 1}}
	bare := &v1.AnnounceRequest{Server: "s1", Nonce: 1, Rack: "r", Zone: "z"}
	for _, c := range []struct {
		secret string
		msg    *v1.AnnounceRequest
		want   code.Code
	}{
		{"old", good, code.OK},
		{"new", good, code.OK},
		{"", good, code.InvalidEnrolment},
		{"wrong", good, code.InvalidEnrolment},
		{"new", bare, code.Malformed},
	} {
		reply, err := h.Announce(t.Context(), with(c.secret, c.msg))
		if err != nil || code.Code(reply.Msg.GetStatus().GetCode()) != c.want {
			t.Errorf("secret %q: %v, %v", c.secret, reply.Msg, err)
		}
	}
}

// A backend server whose entry gets no answer must not take the refusal for a lease.
func TestSyncWithoutAnAnswerGivesNoLease(t *testing.T) {
	h := &backend.Handler{Leader: &asker{err: code.New(code.LeaderTimeout, "")}, EnrolmentDigests: []backend.Digest{key.Digest("s")}}
	reply, err := h.Sync(t.Context(), with("s", &v1.SyncRequest{Server: "s1", Incarnation: 1, Number: 9}))
	if err != nil || reply.Msg.GetLease() != 0 || !reply.Msg.GetElsewhere() || reply.Msg.GetNumber() != 9 {
		t.Errorf("%v, %v", reply, err)
	}
}

type audit []operator.AuditRecord

func (a *audit) RecordCall(_ context.Context, r operator.AuditRecord) { *a = append(*a, r) }

// Whoever guesses keys or floods the cell with changes is slowed down, and every change is on record.
func TestChangesAreLimitedAndRecorded(t *testing.T) {
	var kept audit
	a := &asker{reply: &inner.Reply{Answer: &inner.Reply_Change{Change: &v1.ChangeReply{Status: &v1.Status{}, Revision: 4}}}}
	h := &operator.Handler{Leader: a, Auditor: &kept, RateLimits: operator.RateLimits{Rate: 0.001, Burst: 2}}
	change := &v1.ChangeRequest{Id: "c", Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "k"}}}
	for range 3 {
		if _, err := h.Change(t.Context(), with("duty.secret", change)); err != nil {
			t.Fatal(err)
		}
	}
	done := operator.AuditRecord{KeyID: "duty", Call: "withdraw", Subject: "k", ChangeID: "c", TableRevision: 4}
	limited := done
	limited.Code, limited.TableRevision = code.LeaderTimeout, 0
	if diff := cmp.Diff(audit{done, done, limited}, kept); diff != "" {
		t.Error(diff)
	}
}

// A dump shows the entry's state to an operator, and nothing to a key that the leader refuses.
func TestDumpNeedsAnOperatorsKey(t *testing.T) {
	a := &asker{reply: &inner.Reply{Answer: &inner.Reply_Show{Show: &v1.ShowReply{Status: &v1.Status{}}}}}
	h := &operator.Handler{Leader: a, EntryName: "e1", State: func() any { return map[string]int{"pending": 3} }}
	reply, _ := h.Dump(t.Context(), with("duty.secret", &v1.DumpRequest{}))
	if !strings.Contains(reply.Msg.GetText(), `"pending": 3`) {
		t.Error(reply.Msg)
	}
	a.reply = &inner.Reply{Status: &v1.Status{Code: uint32(code.InvalidKey)}}
	reply, _ = h.Dump(t.Context(), with("duty.secret", &v1.DumpRequest{}))
	if reply.Msg.GetText() != "" || reply.Msg.GetStatus().GetCode() != uint32(code.InvalidKey) {
		t.Error(reply.Msg)
	}
}

// An operator changes the table and looks who serves it. Idle entries must have
// the new revision within a second, without any traffic that carries it.
func TestTableIsInForceEverywhereWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		time.Sleep(time.Second)
		c := w.client(w.operator)
		defer c.reset()
		c.change(0, &v1.ChangeRequest{Id: "one", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{}}})
		time.Sleep(600 * time.Millisecond)
		for _, name := range entryNames {
			if got := w.process(name).entry.LeaderClient().TableRevision(); got != 1 {
				t.Errorf("%s serves revision %d", name, got)
			}
		}
	})
}

// A backend server is cut off from everything while its task runs. Nobody can
// tell it to stop, so it must stop by its own clock before the cell places the
// task again.
func TestServerStopsAtTheEndOfItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		c := w.client(w.team)
		defer c.reset()
		time.Sleep(500 * time.Millisecond) // both servers are there, and the first one is taken
		c.submit(0, spec("long", false, server.TaskScript{Sleep: "8s"}.Input()))
		time.Sleep(500 * time.Millisecond)
		each(func(name string) bool { return strings.HasPrefix(name, "s1>") }, func(r *relay.Relay) {
			r.SetMode(relay.Upstream, relay.Drop)
			r.SetMode(relay.Downstream, relay.Drop)
		})(w)
		time.Sleep(w.cell.lease + time.Millisecond)
		if n := w.backend("s1").Running(); n > 0 {
			t.Errorf("%d tasks run past the lease", n)
		}
		if reply, _ := c.wait(0, "long"); reply.GetOutcome() != v1.Outcome_OUTCOME_DONE {
			t.Errorf("outcome %v", reply.GetOutcome())
		}
		if starts := w.record.StartCount(server.Task{Job: 1}); starts != 2 || len(w.record.Violations()) > 0 {
			t.Errorf("%d starts, %v", starts, w.record.Violations())
		}
	})
}

var _ control.Sender = (*asker)(nil)
