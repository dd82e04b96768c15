package code_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/page"
)

func TestPageListsEveryCode(t *testing.T) {
	page.CheckGenerated(t, "../../../docs/CODES.md", code.Markdown())
}

// A code without a text would reach callers as a bare number.
func TestEveryConstantHasAText(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, decl := range f.Decls {
		if d, ok := decl.(*ast.GenDecl); ok && d.Tok == token.CONST {
			n += len(d.Specs)
		}
	}
	if got := len(code.All()); got != n {
		t.Errorf("%d constants, %d with a text", n, got)
	}
}
