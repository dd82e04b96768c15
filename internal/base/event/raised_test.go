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

// raisedEvents returns the names of the event variables that the code of all packages uses.
func raisedEvents(t *testing.T) map[string]bool {
	usedVariables := map[string]bool{}
	collectUses := func(path string, _ fs.DirEntry, err error) error {
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
					usedVariables[s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	}
	for _, root := range []string{"../..", "../../../platform"} {
		if err := filepath.WalkDir(root, collectUses); err != nil {
			t.Fatal(err)
		}
	}
	return usedVariables
}

// Guards against an alarm on an event that no code logs: it would never fire. Such
// events must be listed as not raised.
func TestUnraisedEventsAreMarked(t *testing.T) {
	usedVariables := raisedEvents(t)
	// HTTPErrorLog logs these events.
	usedVariables["TLSRefused"], usedVariables["RequestMalformed"], usedVariables["Panicked"] = true, true, true
	// AsyncWriter writes this event to its output.
	usedVariables["LinesLost"] = true
	unraised := map[uint32]bool{}
	for _, d := range event.Unraised() {
		unraised[d.Number] = true
	}
	for _, v := range catalogueVariables(t) {
		if !usedVariables[v.name] && !unraised[v.number] {
			t.Errorf("no code logs event %d (%s), but it is not listed as not raised", v.number, v.name)
		}
		if usedVariables[v.name] && unraised[v.number] {
			t.Errorf("event %d (%s) is logged, but it is listed as not raised", v.number, v.name)
		}
	}
}

// catalogueVariable is a variable of the catalogue with the number of its event.
type catalogueVariable struct {
	name   string
	number uint32
}

// catalogueVariables returns the variables that catalogue.go declares.
func catalogueVariables(t *testing.T) []catalogueVariable {
	f, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	eventName := regexp.MustCompile(`"([a-z-]+)"`)
	numbers := map[string]uint32{}
	for _, d := range event.All() {
		numbers[d.Name] = d.Number
	}
	var result []catalogueVariable
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		call, ok := v.Values[0].(*ast.CallExpr)
		if !ok {
			return true
		}
		m := eventName.FindStringSubmatch(call.Args[1].(*ast.BasicLit).Value)
		result = append(result, catalogueVariable{v.Names[0].Name, numbers[m[1]]})
		return true
	})
	if len(result) != len(event.All()) {
		t.Fatalf("catalogue.go declares %d variables for %d events", len(result), len(event.All()))
	}
	return result
}
