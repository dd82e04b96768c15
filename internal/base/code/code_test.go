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

// Guards against a code without a text: callers would receive a bare number.
func TestEveryCodeHasAText(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	for _, decl := range f.Decls {
		if d, ok := decl.(*ast.GenDecl); ok && d.Tok == token.CONST {
			constants += len(d.Specs)
		}
	}
	if got := len(code.All()); got != constants {
		t.Errorf("code.go declares %d codes, %d have a text", constants, got)
	}
}
