package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gypsumreel/internal/base/event"
)

// raised returns the names of the events that the code of all packages mentions.
func raised(t *testing.T) map[string]bool {
	out := map[string]bool{}
	mention := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "event" {
					out[s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	}
	for _, root := range []string{"../..", "../../../platform"} {
		if err := filepath.WalkDir(root, mention); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// An alarm is set on an event of the catalogue that no code raises, and stays
// silent through the fault that it was meant for. Such events have to be marked.
func TestUnraisedEventsAreMarked(t *testing.T) {
	used := raised(t)
	// The package raises these itself, for net/http.
	used["TLSRefused"], used["RequestMalformed"], used["Panicked"] = true, true, true
	// And this one, in the stream that the lines are missing from.
	used["LinesLost"] = true
	planned := map[uint32]bool{}
	for _, id := range event.Unraised() {
		planned[id.Number] = true
	}
	for _, name := range names(t) {
		if !used[name.constant] && !planned[name.number] {
			t.Errorf("%d %s is raised nowhere and not marked", name.number, name.constant)
		}
		if used[name.constant] && planned[name.number] {
			t.Errorf("%d %s is raised and marked as not raised", name.number, name.constant)
		}
	}
}

// name is a variable of the catalogue.
type name struct {
	constant string
	number   uint32
}

func names(t *testing.T) []name {
	f, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	hyphen := regexp.MustCompile(`"([a-z-]+)"`)
	numbers := map[string]uint32{}
	for _, id := range event.All() {
		numbers[id.Name] = id.Number
	}
	var out []name
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		call, ok := v.Values[0].(*ast.CallExpr)
		if !ok {
			return true
		}
		m := hyphen.FindStringSubmatch(call.Args[1].(*ast.BasicLit).Value)
		out = append(out, name{v.Names[0].Name, numbers[m[1]]})
		return true
	})
	if len(out) != len(event.All()) {
		t.Fatalf("%d variables, %d events", len(out), len(event.All()))
	}
	return out
}
