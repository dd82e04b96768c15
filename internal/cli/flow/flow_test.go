package flow_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/flow"
	"gypsumreel/internal/cli/verb"
)

const file = `{
	// two steps, the second a gang
	"id": "f1",
	"steps": [
		{"count": 4, "size": {"cpu": 500, "memory": 256}, "runtime": 900},
		{"count": 2, "size": {"cpu": 2000}, "after": [0], "gang": true},
	],
}`

// replica stands in for a control replica.
type replica struct {
	inner.Flows
	asked  []*inner.FlowAsk
	answer *inner.FlowAnswer
}

func (r *replica) Ask(_ context.Context, a *inner.FlowAsk) (*inner.FlowAnswer, error) {
	r.asked = append(r.asked, a)
	return r.answer, nil
}

func serve(t *testing.T, r *replica) string {
	web := httptest.NewServer(inner.NewFlowsServer(r))
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func run(stdin string, args ...string) (verb.ExitCode, string, string) {
	var out, err bytes.Buffer
	exit := verb.Run(context.Background(), verb.Env{In: strings.NewReader(stdin), Out: &out, Err: &err}, append([]string{"flow"}, args...), flow.New())
	return exit, out.String(), err.String()
}

func at(control string) []string {
	return []string{"--control", control, "--host", "h", "--path", "/q/", "--key", "key", "--timeout", "500ms"}
}

// The first replica named does not lead, and knows who does.
func TestSubmitFindsTheLeader(t *testing.T) {
	lead := &replica{answer: &inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_QUEUED}}
	other := &replica{answer: &inner.FlowAnswer{Code: uint32(code.NoLeader), Leader: serve(t, lead)}}
	exit, out, errs := run(file, append([]string{"submit", "-"}, at(serve(t, other))...)...)
	if exit != verb.ExitOK || !strings.Contains(out, "queued") {
		t.Fatalf("%d %s %s", exit, out, errs)
	}
	a := lead.asked[0]
	key := sha256.Sum256([]byte("key"))
	if a.GetPath() != "/q/f1" || !bytes.Equal(a.GetKey(), key[:]) || len(a.GetSpec().GetSteps()) != 2 || !a.GetSpec().GetSteps()[1].GetGang() {
		t.Errorf("asked: %v", a)
	}
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		answer *inner.FlowAnswer
		want   verb.ExitCode
	}{
		{&inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_RUNNING}, verb.ExitUnfinished},
		{&inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_DONE}, verb.ExitOK},
		{&inner.FlowAnswer{State: v1.FlowState_FLOW_STATE_FAILED}, verb.ExitFailed},
		{&inner.FlowAnswer{Code: uint32(code.NotFound)}, verb.ExitFailed},
		{&inner.FlowAnswer{Code: uint32(code.Overloaded)}, verb.ExitNotRun},
		{&inner.FlowAnswer{Code: uint32(code.NoLeader)}, verb.ExitUnreachable},
	} {
		exit, _, _ := run("", append([]string{"state", "f1"}, at(serve(t, &replica{answer: c.answer}))...)...)
		if diff := cmp.Diff(c.want, exit); diff != "" {
			t.Errorf("%v: %s", c.answer, diff)
		}
	}
	nobody := httptest.NewServer(http.NotFoundHandler())
	nobody.Close()
	if exit, _, _ := run("", append([]string{"cancel", "f1"}, at(strings.TrimPrefix(nobody.URL, "http://"))...)...); exit != verb.ExitUnreachable {
		t.Errorf("exit code %d where nobody listens", exit)
	}
}

func TestBadFiles(t *testing.T) {
	for text, want := range map[string]string{
		`{"id": "f1", "steps": [`:                                    "JSON",
		`{"id": "f1", "stepz": []}`:                                  "stepz",
		`{"id": "f1", "steps": [{"count": 0}]}`:                      "step 0 has 0 tasks",
		`{"id": "f1", "steps": [{"count": 1, "after": [0]}]}`:        "not before it",
		`{"id": "f1", "steps": [{"count": 1}], "input": "not b64!"}`: "input",
	} {
		exit, _, errs := run(text, "check", "-")
		if exit != verb.ExitUsage || !strings.Contains(errs, want) {
			t.Errorf("%s: exit code %d, %s", text, exit, errs)
		}
	}
	if exit, out, errs := run(file, "check", "-", "--json"); exit != verb.ExitOK || !strings.Contains(out, `"tasks": 6`) {
		t.Errorf("a sound file: %d %s %s", exit, out, errs)
	}
}
