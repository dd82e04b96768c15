package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/event"
)

// Whoever is woken by an alarm looks its number up: every warning and error has
// to be there, and nothing that the catalogue lacks.
func TestHandbookHasEveryAlarm(t *testing.T) {
	b, err := os.ReadFile("../../../docs/operate/handbook.md")
	if err != nil {
		t.Fatal(err)
	}
	_, alarms, _ := strings.Cut(string(b), "\n## Alarms\n")
	var want, got []string
	for _, id := range event.All() {
		if id.Level >= event.Warn {
			want = append(want, fmt.Sprintf("%d %s", id.Number, id.Name))
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
