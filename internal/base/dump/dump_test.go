package dump_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/dump"
)

type state struct {
	Name      string
	Number    uint64
	KeyDigest []byte
	Inner     []map[string]string
	Long      []int
}

func TestSecretsAreHidden(t *testing.T) {
	s := state{Name: "n", Number: 1<<63 + 1, KeyDigest: []byte("hush"), Inner: []map[string]string{{"clientSecret": "hush", "zone": "z"}}, Long: []int{1}}
	text := dump.Render(s, 0)
	var got map[string]any
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{
		"Name": "n", "Number": float64(1<<63 + 1), "KeyDigest": dump.Redacted, "Long": []any{1.0},
		"Inner": []any{map[string]any{"clientSecret": dump.Redacted, "zone": "z"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(text, "hush") || strings.Contains(text, "aHVzaA") || !strings.Contains(text, "9223372036854775809") {
		t.Error(text)
	}
}

// A cell with everything waiting has a state of many megabytes. Whoever asks for
// a dump then still gets one that a program can read.
func TestDumpIsCutToItsBound(t *testing.T) {
	s := state{Name: strings.Repeat("ü", 50_000), Long: make([]int, 100_000)}
	for _, limit := range []int{1_000_000, 20_000, 500, 10} {
		text := dump.Render(s, limit)
		if len(text) > max(limit, 20) || !json.Valid([]byte(text)) {
			t.Errorf("%d bytes of %d, valid %v", len(text), limit, json.Valid([]byte(text)))
		}
	}
	if !strings.Contains(dump.Render(s, 20_000), "(cut)") {
		t.Error("the cut is not marked")
	}
}

func TestWhatHasNoJSONIsSaid(t *testing.T) {
	if text := dump.Render(make(chan int), 0); !strings.Contains(text, "can't be shown") {
		t.Error(text)
	}
}

func TestFilesTakeTurns(t *testing.T) {
	s := dump.SignalHandler{Dir: t.TempDir(), Name: "n", State: func() any { return 1 }, Log: logr.Discard()}
	for range 9 {
		s.Write()
	}
	files, err := filepath.Glob(filepath.Join(s.Dir, "*.json"))
	if err != nil || len(files) != 4 {
		t.Errorf("%v, %v", files, err)
	}
	if b, err := os.ReadFile(files[0]); err != nil || string(b) != "1\n" {
		t.Errorf("%q, %v", b, err)
	}
}
