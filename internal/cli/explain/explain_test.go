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

// entryLog holds lines of an entry, each with a prefix that ends with the process name,
// and one line that is not from gypsumreel.
const entryLog = `  2.1 front-1 {"time":"2026-02-27T15:20:10.100Z","level":"INFO","msg":"m","event":818,"name":"call-answered","flow":"abc","code":0}
a line of another program
  2.2 front-1 {"time":"2026-02-27T15:20:10.200Z","level":"INFO","msg":"m","event":818,"name":"call-answered","flow":"other","code":0}
`

// controlLog holds lines of a control replica: one flow, two leader elections, of which
// the second follows the end of the flow, and one line without a valid time.
const controlLog = `{"time":"2026-02-27T15:20:10.050Z","level":"INFO","msg":"m","event":801,"name":"flow-accepted","flow":"abc","term":2}
{"time":"2026-02-27T15:20:12.000Z","level":"INFO","msg":"m","event":200,"name":"leader-elected","term":3}
{"time":"2026-02-27T15:20:14.500Z","level":"INFO","msg":"m","event":806,"name":"run-ended","flow":"abc","how":"RUN_END_DONE"}
{"time":"2026-02-27T15:20:19.000Z","level":"INFO","msg":"m","event":200,"name":"leader-elected","term":4}
{"time":"invalid","name":"abc"}
`

func run(t *testing.T, stdin string, args ...string) (verb.ExitCode, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	exit := verb.Run(context.Background(), verb.Env{In: strings.NewReader(stdin), Out: &out, Err: &errs}, append([]string{"explain"}, args...), explain.New())
	return exit, out.String(), errs.String()
}

// Guards against a timeline that misses or misorders events when they are spread over the
// logs of two processes: it has to merge both, include leader changes and find the
// longest gap.
func TestTimelineMergesSeveralLogs(t *testing.T) {
	name := filepath.Join(t.TempDir(), "core.log")
	if err := os.WriteFile(name, []byte(controlLog), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, out, _ := run(t, entryLog, "abc", "--json", "--logs", name, "--logs", "-")
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
		t.Fatalf("exit code %d, error %v, output %s", exit, err, out)
	}
	var names []string
	for _, l := range got.Lines {
		names = append(names, l.Where+":"+l.Name)
	}
	if diff := cmp.Diff([]string{":flow-accepted", "front-1:call-answered", ":leader-elected", ":run-ended"}, names); diff != "" {
		t.Error(diff)
	}
	if got.After != "leader-elected" || got.Longest != 2_500_000_000 || got.Foreign != 2 {
		t.Errorf("longest gap, event before it or number of foreign lines is wrong: %+v", got)
	}
}

func TestUnknownIDIsUsageError(t *testing.T) {
	exit, _, errs := run(t, entryLog, "absent", "--logs", "-")
	if exit != verb.ExitUsage || !strings.Contains(errs, "no log line about absent") {
		t.Errorf("exit code %d, errors %q", exit, errs)
	}
}
