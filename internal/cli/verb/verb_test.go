package verb_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/check"
	"gypsumreel/internal/cli/verb"
)

type echo struct {
	Word string `long:"word"`
	err  error
	got  []string
}

func (e *echo) Run(_ context.Context, _ verb.Env, args []string) error {
	e.got = append([]string{e.Word}, args...)
	return e.err
}

func run(args []string, verbs ...verb.Verb) (exit verb.ExitCode, out, errs string) {
	var o, e bytes.Buffer
	exit = verb.Run(context.Background(), verb.Env{Out: &o, Err: &e}, args, verbs...)
	return exit, o.String(), e.String()
}

func TestVerbOfAGroupGetsItsFlags(t *testing.T) {
	e := &echo{}
	group := verb.Verb{Name: "outer", Subverbs: []verb.Verb{{Name: "inner", Runner: e}}}
	if exit, _, errs := run([]string{"outer", "inner", "--word", "w", "rest"}, group); exit != verb.ExitOK {
		t.Fatalf("exit %d: %s", exit, errs)
	}
	if diff := cmp.Diff([]string{"w", "rest"}, e.got); diff != "" {
		t.Error(diff)
	}
}

func TestExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		err  error
		want verb.ExitCode
	}{
		"no verb":       {nil, nil, verb.ExitUsage},
		"unknown verb":  {[]string{"nothing"}, nil, verb.ExitUsage},
		"unknown flag":  {[]string{"echo", "--nothing"}, nil, verb.ExitUsage},
		"help":          {[]string{"echo", "--help"}, nil, verb.ExitOK},
		"plain error":   {[]string{"echo"}, errors.New("e"), verb.ExitFailed},
		"conflict":      {[]string{"echo"}, verb.CodeError(code.RevisionConflict, ""), verb.ExitConflict},
		"not run":       {[]string{"echo"}, verb.CodeError(code.QueueFull, ""), verb.ExitNotRun},
		"unknown":       {[]string{"echo"}, verb.CodeError(code.ServerLost, ""), verb.ExitUnknown},
		"unanswered":    {[]string{"echo"}, verb.CodeError(code.LeaderTimeout, ""), verb.ExitUnreachable},
		"bad key":       {[]string{"echo"}, verb.CodeError(code.InvalidKey, ""), verb.ExitFailed},
		"misuse":        {[]string{"echo"}, verb.UsageError("", "m"), verb.ExitUsage},
		"missing file":  {[]string{"check", "/nonexistent"}, nil, verb.ExitUsage},
		"not one file":  {[]string{"check"}, nil, verb.ExitUsage},
		"good settings": {[]string{"check", "../../../examples/entry.json"}, nil, verb.ExitOK},
	} {
		got, _, errs := run(c.args, verb.Verb{Name: "echo", Runner: &echo{err: c.err}}, check.New())
		if got != c.want {
			t.Errorf("%s: exit %d, want %d: %s", name, got, c.want, errs)
		}
	}
}

type printer struct {
	verb.OutputFlag
	err error
}

func (p *printer) Run(context.Context, verb.Env, []string) error { return p.err }

func TestAFailureIsJSONWhereTheResultIs(t *testing.T) {
	show := func() verb.Verb {
		return verb.Verb{Name: "show", Runner: &printer{err: verb.UsageError("do this", "that failed")}}
	}
	exit, out, errs := run([]string{"show", "--json"}, show())
	want := `{"exit":2,"error":"that failed","next":"do this"}` + "\n"
	if diff := cmp.Diff(want, errs); diff != "" || exit != verb.ExitUsage || out != "" {
		t.Errorf("exit %d, output %q: %s", exit, out, diff)
	}
	if _, _, errs = run([]string{"show"}, show()); strings.Contains(errs, "{") {
		t.Errorf("without --json: %s", errs)
	}
}

// A refusal that says only a number leaves whoever is on duty searching; every
// one of them is to say what to do next.
func TestRefusalSaysWhatToDoNext(t *testing.T) {
	_, _, errs := run([]string{"echo"}, verb.Verb{Name: "echo", Runner: &echo{err: verb.CodeError(code.RevisionConflict, "current revision 7")}})
	for _, want := range []string{"601", "current revision 7", "table show"} {
		if !strings.Contains(errs, want) {
			t.Errorf("%q lacks %q", errs, want)
		}
	}
}
