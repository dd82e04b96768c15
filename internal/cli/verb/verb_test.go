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

type echoRunner struct {
	Word     string `long:"word"`
	err      error
	received []string
}

func (e *echoRunner) Run(_ context.Context, _ verb.Env, args []string) error {
	e.received = append([]string{e.Word}, args...)
	return e.err
}

func run(args []string, verbs ...verb.Verb) (exit verb.ExitCode, out, errs string) {
	var stdout, stderr bytes.Buffer
	exit = verb.Run(context.Background(), verb.Env{Out: &stdout, Err: &stderr}, args, verbs...)
	return exit, stdout.String(), stderr.String()
}

func TestSubverbReceivesFlagsAndArgs(t *testing.T) {
	e := &echoRunner{}
	group := verb.Verb{Name: "outer", Subverbs: []verb.Verb{{Name: "inner", Runner: e}}}
	if exit, _, errs := run([]string{"outer", "inner", "--word", "w", "rest"}, group); exit != verb.ExitOK {
		t.Fatalf("exit %d: %s", exit, errs)
	}
	if diff := cmp.Diff([]string{"w", "rest"}, e.received); diff != "" {
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
		got, _, errs := run(c.args, verb.Verb{Name: "echo", Runner: &echoRunner{err: c.err}}, check.New())
		if got != c.want {
			t.Errorf("%s: exit %d, want %d: %s", name, got, c.want, errs)
		}
	}
}

type failingRunner struct {
	verb.OutputFlag
	err error
}

func (p *failingRunner) Run(context.Context, verb.Env, []string) error { return p.err }

func TestFailureIsPrintedAsJSONWithJSONFlag(t *testing.T) {
	show := func() verb.Verb {
		return verb.Verb{Name: "show", Runner: &failingRunner{err: verb.UsageError("do this", "that failed")}}
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

// Guards against refusals that show the operator only a result code: the message also
// contains the detail and the advice for that code.
func TestCodeErrorPrintsAdvice(t *testing.T) {
	_, _, errs := run([]string{"echo"}, verb.Verb{Name: "echo", Runner: &echoRunner{err: verb.CodeError(code.RevisionConflict, "current revision 7")}})
	for _, want := range []string{"601", "current revision 7", "table show"} {
		if !strings.Contains(errs, want) {
			t.Errorf("%q lacks %q", errs, want)
		}
	}
}
