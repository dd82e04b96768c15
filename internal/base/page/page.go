// Package page compares the generated tables of documentation pages with the code. A
// test that uses it fails when a page is out of date, and can rewrite the page.
package page

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// UpdateVariable is the environment variable that makes CheckGenerated rewrite pages.
const UpdateVariable = "UPDATE_PAGES"

const (
	startMarker = "<!-- generated: do not edit below; run UPDATE_PAGES=1 go test -->\n"
	endMarker   = "<!-- end of generated -->\n"
	fileMode    = 0o644
)

// CheckGenerated fails the test if the text between the two markers of a page differs
// from want. If the environment variable UpdateVariable is set it rewrites the page
// instead.
func CheckGenerated(t testing.TB, path, want string) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	beforeStartMarker, afterStartMarker, hasStart := strings.Cut(string(b), startMarker)
	got, afterEndMarker, hasEnd := strings.Cut(afterStartMarker, endMarker)
	if !hasStart || !hasEnd {
		t.Fatalf("%s: a marker of the generated part is missing", path)
	}
	if got == want {
		return
	}
	if os.Getenv(UpdateVariable) == "" {
		t.Fatalf("%s is out of date; run %s=1 go test:\n%s", path, UpdateVariable, cmp.Diff(want, got))
	}
	if err := os.WriteFile(path, []byte(beforeStartMarker+startMarker+want+endMarker+afterEndMarker), fileMode); err != nil {
		t.Fatal(err)
	}
}
