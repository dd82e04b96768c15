package explain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/cli/explain"
	"gypsumreel/internal/cli/verb"
)

const entry = `  2.1 front-1 {"time":"2026-02-27T15:20:10.100Z","level":"INFO","msg":"m","event":818,"name":"call-answered","flow":"abc","code":0}
not ours
  2.2 front-1 {"time":"2026-02-27T15:20:10.200Z","level":"INFO","msg":"m","event":818,"name":"call-answered","flow":"other","code":0}
`

const core = `{"time":"2026-02-27T15:20:10.050Z","level":"INFO","msg":"m","event":801,"name":"flow-accepted","flow":"abc","term":2}
{"time":"2026-02-27T15:20:12.000Z","level":"INFO","msg":"m","event":200,"name":"leader-elected","term":3}
{"time":"2026-02-27T15:20:14.500Z","level":"INFO","msg":"m","event":806,"name":"run-ended","flow":"abc","how":"RUN_END_DONE"}
{"time":"2026-02-27T15:20:19.000Z","level":"INFO","msg":"m","event":200,"name":"leader-elected","term":4}
{"time":"garbage","name":"abc"}
`

func run(t *testing.T, stdin string, args ...string) (verb.ExitCode, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	exit := verb.Run(context.Background(), verb.Env{In: strings.NewReader(stdin), Out: &out, Err: &err}, append([]string{"explain"}, args...), explain.New())
	return exit, out.String(), err.String()
}

// Someone on call has an id and the logs of two processes, one with a prefix on
// each line. The answer is the order of events over both, what befell the control
// group between them, and where the time went.
func TestLifeOverSeveralLogs(t *testing.T) {
	name := filepath.Join(t.TempDir(), "core.log")
	if err := os.WriteFile(name, []byte(core), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, out, _ := run(t, entry, "abc", "--json", "--logs", name, "--logs", "-")
	var got struct {
		Lines []struct {
			Name  string
			Where string
		}
		Longest int64
		After   string
		Foreign int
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil || exit != 0 {
		t.Fatal(exit, err, out)
	}
	var names []string
	for _, l := range got.Lines {
		names = append(names, l.Where+":"+l.Name)
	}
	if diff := cmp.Diff([]string{":flow-accepted", "front-1:call-answered", ":leader-elected", ":run-ended"}, names); diff != "" {
		t.Error(diff)
	}
	if got.After != "leader-elected" || got.Longest != 2_500_000_000 || got.Foreign != 2 {
		t.Errorf("%+v", got)
	}
}

func TestNothingFound(t *testing.T) {
	exit, _, err := run(t, entry, "nobody", "--logs", "-")
	if exit != verb.ExitUsage || !strings.Contains(err, "no line about nobody") {
		t.Error(exit, err)
	}
}
