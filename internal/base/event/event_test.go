package event_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/base/page"
)

func TestPageListsEveryEvent(t *testing.T) {
	page.CheckGenerated(t, "../../../docs/EVENTS.md", event.Markdown())
}

// Two events of one number would send whoever is on duty to the wrong page.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[uint32]string{}, map[string]uint32{}
	form := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	for _, id := range event.All() {
		if other, ok := numbers[id.Number]; ok {
			t.Errorf("%d is %s and %s", id.Number, other, id.Name)
		}
		if other, ok := names[id.Name]; ok {
			t.Errorf("%s is %d and %d", id.Name, other, id.Number)
		}
		if !form.MatchString(id.Name) || id.Text == "" || id.Advice == "" {
			t.Errorf("%d is incomplete: %+v", id.Number, id)
		}
		numbers[id.Number], names[id.Name] = id.Name, id.Number
	}
}

func TestLogCarriesNumberNameAndLevel(t *testing.T) {
	for _, c := range []struct {
		id    event.Definition
		level string
	}{
		{event.SnapshotWritten, "DEBUG"},
		{event.Started, "INFO"},
		{event.LeaderLost, "WARN"},
		{event.DiskFull, "ERROR"},
	} {
		var b bytes.Buffer
		event.LogError(event.New(&b, "debug"), c.id, errors.New("cause"), "cell", "main")
		var got map[string]any
		if err := json.Unmarshal(b.Bytes(), &got); err != nil {
			t.Fatalf("%s: %v", b.String(), err)
		}
		delete(got, "time")
		if level, _ := got["level"].(string); !strings.HasPrefix(level, c.level) {
			t.Errorf("%s has level %v", c.id.Name, got["level"])
		}
		delete(got, "level")
		want := map[string]any{"msg": c.id.Text, "event": float64(c.id.Number), "name": c.id.Name, "err": "cause", "cell": "main"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestLevelHidesWhatIsBelow(t *testing.T) {
	var b bytes.Buffer
	l := event.New(&b, "warn")
	event.Log(l, event.Started)
	if b.Len() > 0 {
		t.Errorf("logged %s", b.String())
	}
	event.Log(l, event.LeaderLost)
	if b.Len() == 0 {
		t.Error("a warning was dropped")
	}
	b.Reset()
	meter.ProcessMetrics.WritePrometheus(&b)
	for _, name := range []string{"started", "leader-lost"} {
		if !strings.Contains(b.String(), `gypsumreel_base_events_total{event="`+name+`"`) {
			t.Errorf("%s is not counted", name)
		}
	}
}

// net/http writes lines of its own when a handshake fails. Whoever searches the
// log by number must find them, and a probe that just hangs up is no alarm.
func TestHandshakesBecomeEvents(t *testing.T) {
	for text, want := range map[string]string{
		"http: TLS handshake error from 10.0.0.1:5: tls: client didn't provide a certificate": `"event":707`,
		"http: TLS handshake error from 10.0.0.1:5: EOF":                                      `"event":709`,
		"http2: server: error reading preface":                                                `"event":709`,
	} {
		var b bytes.Buffer
		event.HTTPErrorLog(event.New(&b, "debug")).Println(text)
		if !strings.Contains(b.String(), want) {
			t.Errorf("%s: %s", text, b.String())
		}
	}
}
