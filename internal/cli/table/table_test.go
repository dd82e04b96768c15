package table_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/key"
	"gypsumreel/internal/cli/table"
	"gypsumreel/internal/cli/team"
	"gypsumreel/internal/cli/verb"
	keys "gypsumreel/internal/domain/key"
)

// entry keeps what it is asked and answers with one status.
type entry struct {
	v1.UnimplementedOperatorHandler
	asked  []*v1.ChangeRequest
	status *v1.Status
	fail   error
}

func (e *entry) Change(_ context.Context, r *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
	e.asked = append(e.asked, r.Msg)
	if e.fail != nil {
		return nil, e.fail
	}
	return connect.NewResponse(&v1.ChangeReply{Status: e.status, Revision: 8}), nil
}

func (e *entry) Show(_ context.Context, r *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	out := &v1.ShowReply{Revision: 7}
	switch r.Msg.GetPart() {
	case v1.Part_PART_TABLE:
		out.Rows = []*v1.Row{{Team: "plans", Weight: 2, Share: 500, Limit: &v1.Size{Cpu: -1}}}
		out.Held = []*v1.Size{{Cpu: 1500}}
	case v1.Part_PART_MEMBERS:
		out.Members = []*v1.MemberLine{{Name: "e1", Role: "entry", Revision: 7}, {Name: "e2", Role: "entry", Revision: 6}, {Name: "c1", Role: "control"}}
	}
	return connect.NewResponse(out), nil
}

func run(t *testing.T, e *entry, args ...string) (verb.ExitCode, string, string) {
	mux := http.NewServeMux()
	mux.Handle(v1.NewOperatorHandler(e))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	t.Setenv("GYPSUMREEL_ADDRESS", s.URL)
	t.Setenv("GYPSUMREEL_KEY", "op.secret")
	var out, errs bytes.Buffer
	exit := verb.Run(t.Context(), verb.Env{Out: &out, Err: &errs}, args, table.New(), team.New(), key.New())
	return exit, out.String(), errs.String()
}

func TestShowNamesWhoHasNotConfirmed(t *testing.T) {
	exit, out, errs := run(t, &entry{}, "table", "show")
	if exit != verb.ExitOK || !strings.Contains(out, "revision 7, not confirmed by e2\n") || !strings.Contains(out, "unlimited") {
		t.Errorf("exit %d\n%s%s", exit, out, errs)
	}
}

func TestSetStartsFromTheCurrentRevision(t *testing.T) {
	e := &entry{status: &v1.Status{}}
	if exit, _, errs := run(t, e, "table", "set", "plans", "share=12.5%", "cpu=unlimited", "--change", "c1", "--base", "3"); exit != verb.ExitOK {
		t.Fatal(errs)
	}
	if exit, _, errs := run(t, e, "table", "set", "plans", "weight=4"); exit != verb.ExitOK {
		t.Fatal(errs)
	}
	limit := func(n int64) *v1.Size { return &v1.Size{Cpu: n} }
	change := func(id string, base uint64, edit *v1.Edit) *v1.ChangeRequest {
		return &v1.ChangeRequest{Id: id, Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Base: base, Edits: []*v1.Edit{edit}}}}
	}
	want := []*v1.ChangeRequest{
		change("c1", 3, &v1.Edit{Row: &v1.Row{Team: "plans", Share: 125, Limit: limit(-1)}, Cells: []string{"share", "cpu"}}),
		change(e.asked[1].GetId(), 7, &v1.Edit{Row: &v1.Row{Team: "plans", Weight: 4, Limit: limit(0)}, Cells: []string{"weight"}}),
	}
	if diff := cmp.Diff(want, e.asked, protocmp.Transform()); diff != "" || e.asked[1].GetId() == "" {
		t.Error(diff)
	}
}

// Two operators edit the same export. The second is told that the table has
// changed, what the current revision is and what to do, by a code of its own.
func TestConflictSaysWhatToDo(t *testing.T) {
	e := &entry{status: &v1.Status{Code: uint32(code.RevisionConflict)}}
	path := filepath.Join(t.TempDir(), "t.csv")
	if err := os.WriteFile(path, []byte("team,weight,revision\nplans,3,5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, _, errs := run(t, e, "table", "import", path)
	if exit != verb.ExitConflict || !strings.Contains(errs, "the current revision is 8") || !strings.Contains(errs, "table show") {
		t.Errorf("exit %d: %s", exit, errs)
	}
	if base := e.asked[0].GetTable().GetBase(); base != 5 {
		t.Errorf("base %d", base)
	}
}

// The answer to a change is lost. Running the command as it was would make a
// second change, so that the error names the flags that make it the same one.
func TestLostAnswerSaysHowToAskAgain(t *testing.T) {
	e := &entry{fail: connect.NewError(connect.CodeUnavailable, errors.New("gone"))}
	exit, _, errs := run(t, e, "team", "add", "quotes", "--timeout", "100ms")
	if exit != verb.ExitUnreachable || !strings.Contains(errs, "--change "+e.asked[0].GetId()+" --base 7") {
		t.Errorf("exit %d: %s", exit, errs)
	}
	for _, r := range e.asked {
		if r.GetId() != e.asked[0].GetId() {
			t.Error("asked again under another id")
		}
	}
}

func TestMistakesSendNothing(t *testing.T) {
	for _, args := range [][]string{
		{"table", "set", "plans"},
		{"table", "set", "plans", "share=101%"},
		{"table", "set", "plans", "colour=1"},
		{"table", "set", "plans", "weight=1", "--change", "c1"},
		{"table", "import", "/nonexistent"},
		{"team", "add"},
		{"key", "grant"},
		{"key", "grant", "--team", "a", "--operator"},
		{"key", "withdraw"},
	} {
		e := &entry{status: &v1.Status{}}
		if exit, _, errs := run(t, e, args...); exit != verb.ExitUsage || errs == "" || len(e.asked) > 0 {
			t.Errorf("%q: exit %d, sent %d: %s", args, exit, len(e.asked), errs)
		}
	}
}

// Whoever reads the traffic or the ledger must not be able to use a granted key.
func TestSecretOfAGrantStaysHere(t *testing.T) {
	e := &entry{status: &v1.Status{}}
	exit, out, errs := run(t, e, "key", "grant", "--team", "plans")
	if exit != verb.ExitOK {
		t.Fatal(errs)
	}
	id, secret, err := keys.Parse(strings.TrimSpace(out))
	if err != nil {
		t.Fatal(err)
	}
	digest := keys.Digest(secret)
	want := &v1.KeyGrant{Id: id, Team: "plans", Digest: digest[:]}
	if diff := cmp.Diff(want, e.asked[0].GetGrant(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(e.asked[0].String(), secret) {
		t.Error("the secret was sent")
	}
}
