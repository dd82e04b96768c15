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

// stubLeader answers every item with the same reply or error and stores the last item.
type stubLeader struct {
	reply    *inner.Reply
	err      error
	lastItem *inner.Item
}

func (l *stubLeader) Send(_ context.Context, item *inner.Item) (*inner.Reply, error) {
	l.lastItem = item
	return l.reply, l.err
}

func (*stubLeader) Dump(context.Context, string) (*v1.DumpReply, error) { return &v1.DumpReply{}, nil }

func withKey[T any](token string, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	if token != "" {
		req.Header().Set("Authorization", "Bearer "+token)
	}
	return req
}

// A caller repeats a submission at an entry without a leader, after an earlier
// request was accepted elsewhere. Guards against a false refusal as "not run", which
// is allowed only for the first request with an id.
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
		h := &caller.Handler{Leader: &stubLeader{err: code.New(c.err, "")}}
		reply, err := h.Submit(t.Context(), withKey("id.secret", &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec("job", false, nil)}, First: c.first}))
		if err != nil {
			t.Fatal(err)
		}
		got := reply.Msg.GetJobs()[0]
		if code.Code(got.GetStatus().GetCode()) != c.code || got.GetOutcome() != c.outcome {
			t.Errorf("error %d, first %v: code %d, outcome %v; want code %d, outcome %v", c.err, c.first, got.GetStatus().GetCode(), got.GetOutcome(), c.code, c.outcome)
		}
	}
}

// A caller polls for a running job at an entry without a leader. Guards against a
// result code of the class "not run", which the caller would take for the outcome of
// the job.
func TestPollsAreNeverRefusedAsNotRun(t *testing.T) {
	for _, c := range []code.Code{code.ControlUnreachable, code.Overloaded} {
		h := &caller.Handler{Leader: &stubLeader{err: code.New(c, "")}}
		reply, err := h.Wait(t.Context(), withKey("id.secret", &v1.WaitRequest{Id: "job"}))
		if err != nil || reply.Msg.GetStatus().GetCode()/100 == 2 || reply.Msg.GetStatus().GetRetry() == 0 {
			t.Errorf("error %d: reply %v, error %v; want no code of class 2 and a retry hint", c, reply, err)
		}
	}
}

// Guards against answers in the wrong order when the entry refuses some jobs of a
// submission as malformed and forwards only the others.
func TestAnswersKeepRequestOrderDespiteMalformedJobs(t *testing.T) {
	leader := &stubLeader{reply: &inner.Reply{Answer: &inner.Reply_Submit{Submit: &v1.SubmitReply{Jobs: []*v1.Accepted{{Id: "a"}, {Id: "b"}}}}}}
	h := &caller.Handler{Leader: leader}
	oversized := newSpec("huge", false, make([]byte, caller.MaxInputSize+1))
	negative := newSpec("negative", false, nil)
	negative.Size.Cpu = -1
	jobs := []*v1.Spec{oversized, newSpec("a", false, nil), negative, newSpec("b", false, nil), newSpec("a", false, nil), newSpec("a\nb", false, nil)}
	reply, err := h.Submit(t.Context(), withKey("id.secret", &v1.SubmitRequest{Jobs: jobs}))
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
	if c := leader.lastItem.GetCredential(); c.GetId() != "id" || string(c.GetDigest()) != string(digest[:]) {
		t.Errorf("the leader got credential %v, want the id and the digest of the secret", c)
	}
}

// Guards against calls without a well-formed key that reach the leader.
func TestCallsWithoutAKeyAreRefused(t *testing.T) {
	leader := &stubLeader{}
	h := &caller.Handler{Leader: leader}
	for _, token := range []string{"", "id", ".secret", "id.", strings.Repeat("x", 600) + ".secret"} {
		reply, err := h.List(t.Context(), withKey(token, &v1.ListRequest{}))
		if err != nil || reply.Msg.GetStatus().GetCode() != uint32(code.InvalidKey) {
			t.Errorf("key %.10q: reply %v, error %v", token, reply, err)
		}
	}
	if leader.lastItem != nil {
		t.Error("a call without a well-formed key reached the leader")
	}
}

// Guards against a client without the enrolment secret that announces itself as a
// backend server and receives the inputs of jobs.
func TestBackendServersNeedTheEnrolmentSecret(t *testing.T) {
	leader := &stubLeader{reply: &inner.Reply{Answer: &inner.Reply_Announce{Announce: &v1.AnnounceReply{Status: &v1.Status{}, Incarnation: 1}}}}
	h := &backend.Handler{Leader: leader, EnrolmentDigests: []backend.Digest{key.Digest("old"), key.Digest("new")}}
	validRequest := &v1.AnnounceRequest{Server: "s1", Nonce: 1, Rack: "r", Zone: "z", Capacity: &v1.Size{Cpu: 1, Memory: 1, Slots: 1}}
	withoutCapacity := &v1.AnnounceRequest{Server: "s1", Nonce: 1, Rack: "r", Zone: "z"}
	for _, c := range []struct {
		secret string
		msg    *v1.AnnounceRequest
		want   code.Code
	}{
		{"old", validRequest, code.OK},
		{"new", validRequest, code.OK},
		{"", validRequest, code.InvalidEnrolment},
		{"wrong", validRequest, code.InvalidEnrolment},
		{"new", withoutCapacity, code.Malformed},
	} {
		reply, err := h.Announce(t.Context(), withKey(c.secret, c.msg))
		if err != nil || code.Code(reply.Msg.GetStatus().GetCode()) != c.want {
			t.Errorf("secret %q: reply %v, error %v; want code %d", c.secret, reply.Msg, err, c.want)
		}
	}
}

// Guards against a lease in the reply to a sync that the leader did not answer.
func TestSyncWithoutAnAnswerGivesNoLease(t *testing.T) {
	h := &backend.Handler{Leader: &stubLeader{err: code.New(code.LeaderTimeout, "")}, EnrolmentDigests: []backend.Digest{key.Digest("s")}}
	reply, err := h.Sync(t.Context(), withKey("s", &v1.SyncRequest{Server: "s1", Incarnation: 1, Number: 9}))
	if err != nil || reply.Msg.GetLease() != 0 || !reply.Msg.GetElsewhere() || reply.Msg.GetNumber() != 9 {
		t.Errorf("reply %v, error %v; want number 9, no lease and the advice to use another entry", reply, err)
	}
}

type auditRecords []operator.AuditRecord

func (a *auditRecords) RecordCall(_ context.Context, r operator.AuditRecord) { *a = append(*a, r) }

// Guards against clients that guess keys or flood the cell with changes, and against
// changes without an audit record.
func TestChangesAreRateLimitedAndAudited(t *testing.T) {
	var recorded auditRecords
	leader := &stubLeader{reply: &inner.Reply{Answer: &inner.Reply_Change{Change: &v1.ChangeReply{Status: &v1.Status{}, Revision: 4}}}}
	h := &operator.Handler{Leader: leader, Auditor: &recorded, RateLimits: operator.RateLimits{Rate: 0.001, Burst: 2}}
	change := &v1.ChangeRequest{Id: "c", Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "k"}}}
	for range 3 {
		if _, err := h.Change(t.Context(), withKey("duty.secret", change)); err != nil {
			t.Fatal(err)
		}
	}
	accepted := operator.AuditRecord{KeyID: "duty", Call: "withdraw", Subject: "k", ChangeID: "c", TableRevision: 4}
	limited := accepted
	limited.Code, limited.TableRevision = code.LeaderTimeout, 0
	if diff := cmp.Diff(auditRecords{accepted, accepted, limited}, recorded); diff != "" {
		t.Error(diff)
	}
}

// Guards against a state dump for a key that the leader refuses.
func TestDumpRequiresOperatorKey(t *testing.T) {
	leader := &stubLeader{reply: &inner.Reply{Answer: &inner.Reply_Show{Show: &v1.ShowReply{Status: &v1.Status{}}}}}
	h := &operator.Handler{Leader: leader, EntryName: "e1", State: func() any { return map[string]int{"pending": 3} }}
	reply, _ := h.Dump(t.Context(), withKey("duty.secret", &v1.DumpRequest{}))
	if !strings.Contains(reply.Msg.GetText(), `"pending": 3`) {
		t.Errorf("an operator's key got %v, want the state", reply.Msg)
	}
	leader.reply = &inner.Reply{Status: &v1.Status{Code: uint32(code.InvalidKey)}}
	reply, _ = h.Dump(t.Context(), withKey("duty.secret", &v1.DumpRequest{}))
	if reply.Msg.GetText() != "" || reply.Msg.GetStatus().GetCode() != uint32(code.InvalidKey) {
		t.Errorf("a refused key got %v, want code %d and no state", reply.Msg, code.InvalidKey)
	}
}

// Guards against idle entries that keep an old table revision because no traffic
// brings them the new one.
func TestIdleEntriesLearnTableRevisionWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		time.Sleep(time.Second)
		c := w.newClient(w.operatorKey)
		defer c.closeIdle()
		c.change(0, &v1.ChangeRequest{Id: "one", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{}}})
		time.Sleep(600 * time.Millisecond)
		for _, name := range entryNames {
			if got := w.currentEntry(name).entry.LeaderClient().TableRevision(); got != 1 {
				t.Errorf("entry %s has table revision %d, want 1", name, got)
			}
		}
	})
}

// A backend server loses all connections while its task runs. Guards against a task
// that runs twice at the same time: the server must stop it when its lease ends,
// before the cell places the task again.
func TestServerStopsTasksAtLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		time.Sleep(500 * time.Millisecond) // both servers have announced; the first one gets the job
		c.submit(0, newSpec("long", false, server.TaskScript{Sleep: "8s"}.Input()))
		time.Sleep(500 * time.Millisecond)
		applyToRelays(func(name string) bool { return strings.HasPrefix(name, "s1>") }, func(r *relay.Relay) {
			r.SetMode(relay.Upstream, relay.Drop)
			r.SetMode(relay.Downstream, relay.Drop)
		})(w)
		time.Sleep(w.ledger.leaseLength + time.Millisecond)
		if n := w.backendServer("s1").Running(); n > 0 {
			t.Errorf("%d tasks still run after the end of the lease", n)
		}
		if reply, _ := c.wait(0, "long"); reply.GetOutcome() != v1.Outcome_OUTCOME_DONE {
			t.Errorf("the job has outcome %v, want done", reply.GetOutcome())
		}
		if starts := w.taskRecord.StartCount(server.Task{Job: 1}); starts != 2 || len(w.taskRecord.Violations()) > 0 {
			t.Errorf("the task started %d times, want 2; violations: %v", starts, w.taskRecord.Violations())
		}
	})
}

var _ control.Sender = (*stubLeader)(nil)
