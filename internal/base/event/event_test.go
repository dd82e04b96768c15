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

// Guards against two events with the same number: an operator would read the wrong
// section of the handbook.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[uint32]string{}, map[string]uint32{}
	namePattern := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	for _, d := range event.All() {
		if other, ok := numbers[d.Number]; ok {
			t.Errorf("number %d is used by events %s and %s", d.Number, other, d.Name)
		}
		if other, ok := names[d.Name]; ok {
			t.Errorf("name %s is used by events %d and %d", d.Name, other, d.Number)
		}
		if !namePattern.MatchString(d.Name) || d.Text == "" || d.Advice == "" {
			t.Errorf("event %d has an invalid name or lacks a text or an advice: %+v", d.Number, d)
		}
		numbers[d.Number], names[d.Name] = d.Name, d.Number
	}
}

func TestLogLineContainsNumberNameAndLevel(t *testing.T) {
	for _, c := range []struct {
		definition event.Definition
		level      string
	}{
		{event.SnapshotWritten, "DEBUG"},
		{event.Started, "INFO"},
		{event.LeaderLost, "WARN"},
		{event.DiskFull, "ERROR"},
	} {
		var b bytes.Buffer
		event.LogError(event.New(&b, "debug"), c.definition, errors.New("cause"), "cell", "main")
		var got map[string]any
		if err := json.Unmarshal(b.Bytes(), &got); err != nil {
			t.Fatalf("%s: %v", b.String(), err)
		}
		delete(got, "time")
		if level, _ := got["level"].(string); !strings.HasPrefix(level, c.level) {
			t.Errorf("%s is logged with level %v, want %s", c.definition.Name, got["level"], c.level)
		}
		delete(got, "level")
		want := map[string]any{"msg": c.definition.Text, "event": float64(c.definition.Number), "name": c.definition.Name, "err": "cause", "cell": "main"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestLowerLevelsAreCountedButNotLogged(t *testing.T) {
	var b bytes.Buffer
	l := event.New(&b, "warn")
	event.Log(l, event.Started)
	if b.Len() > 0 {
		t.Errorf("an info event was logged at level warn: %s", b.String())
	}
	event.Log(l, event.LeaderLost)
	if b.Len() == 0 {
		t.Error("a warning was not logged at level warn")
	}
	b.Reset()
	meter.ProcessMetrics.WritePrometheus(&b)
	for _, name := range []string{"started", "leader-lost"} {
		if !strings.Contains(b.String(), `gypsumreel_base_events_total{event="`+name+`"`) {
			t.Errorf("event %s is not counted in the metrics", name)
		}
	}
}

// Guards against messages of net/http without an event number, and against an alarm
// for a health check that closes its connection during the TLS handshake.
func TestHTTPServerErrorsAreLoggedAsEvents(t *testing.T) {
	for text, want := range map[string]string{
		"http: TLS handshake error from 10.0.0.1:5: tls: client didn't provide a certificate": `"event":707`,
		"http: TLS handshake error from 10.0.0.1:5: EOF":                                      `"event":709`,
		"http2: server: error reading preface":                                                `"event":709`,
	} {
		var b bytes.Buffer
		event.HTTPErrorLog(event.New(&b, "debug")).Println(text)
		if !strings.Contains(b.String(), want) {
			t.Errorf("message %q is logged as %s, want %s", text, b.String(), want)
		}
	}
}
