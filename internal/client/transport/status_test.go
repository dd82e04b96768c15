package transport_test

import (
	"testing"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
)

// A status carries the number and the standing text beside its detail, and who
// prints it adds both again; a person is to read them once.
func TestStatusIsSaidOnce(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "",
		code.RevisionConflict.String(): "",
		code.New(code.RevisionConflict, "").Error():     "",
		code.New(code.RevisionConflict, "at 7").Error(): "at 7",
		"at 7": "at 7",
	} {
		got := transport.StatusError(&v1.Status{Code: uint32(code.RevisionConflict), Text: text})
		if got.Code != code.RevisionConflict || got.Detail != want {
			t.Errorf("%q: got %q, want %q", text, got.Detail, want)
		}
	}
}
