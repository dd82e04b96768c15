package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/event"
)

// Guards against a warning or error without a section in the handbook, and against a
// section for an event that does not exist.
func TestHandbookDescribesEveryAlarm(t *testing.T) {
	b, err := os.ReadFile("../../../docs/operate/handbook.md")
	if err != nil {
		t.Fatal(err)
	}
	_, alarms, _ := strings.Cut(string(b), "\n## Alarms\n")
	var want, got []string
	for _, d := range event.All() {
		if d.Level >= event.Warn {
			want = append(want, fmt.Sprintf("%d %s", d.Number, d.Name))
		}
	}
	for _, line := range strings.Split(alarms, "\n") {
		if name, ok := strings.CutPrefix(line, "### "); ok {
			got = append(got, name)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
