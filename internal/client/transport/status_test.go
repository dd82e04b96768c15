package transport_test

import (
	"testing"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
)

// A status contains the number and the standard text of its code, and code.Error adds
// both when it is printed. They must not appear twice.
func TestStatusErrorOmitsRepeatedCodeText(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "",
		code.RevisionConflict.String(): "",
		code.New(code.RevisionConflict, "").Error():     "",
		code.New(code.RevisionConflict, "at 7").Error(): "at 7",
		"at 7": "at 7",
	} {
		got := transport.StatusError(&v1.Status{Code: uint32(code.RevisionConflict), Text: text})
		if got.Code != code.RevisionConflict || got.Detail != want {
			t.Errorf("status text %q: detail %q, want %q", text, got.Detail, want)
		}
	}
}
