// Package page keeps the generated tables of the documentation equal to the
// code: a test fails when a page is out of date, and rewrites it on request.
package page

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// UpdateVariable is the environment variable that makes Check rewrite pages.
const UpdateVariable = "UPDATE_PAGES"

const (
	open  = "<!-- generated: do not edit below; run UPDATE_PAGES=1 go test -->\n"
	shut  = "<!-- end of generated -->\n"
	perms = 0o644
)

// CheckGenerated compares the generated part of a page, between its two markers, with want.
func CheckGenerated(t testing.TB, path, want string) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(b), open)
	got, tail, closed := strings.Cut(rest, shut)
	if !ok || !closed {
		t.Fatalf("%s: the markers of the generated part are missing", path)
	}
	if got == want {
		return
	}
	if os.Getenv(UpdateVariable) == "" {
		t.Fatalf("%s is out of date; run %s=1 go test:\n%s", path, UpdateVariable, cmp.Diff(want, got))
	}
	if err := os.WriteFile(path, []byte(head+open+want+shut+tail), perms); err != nil {
		t.Fatal(err)
	}
}
