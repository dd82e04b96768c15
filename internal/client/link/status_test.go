package link_test

import (
	"testing"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/link"
)

// A status contains the number and the standard text of its code, and code.Error adds
// both when it is printed. They must not appear twice.
func TestStatusErrorOmitsRepeatedCodeText(t *testing.T) {
	for text, want := range map[string]string{
		"":                                      "",
		code.Conflict.String():                  "",
		code.New(code.Conflict, "").Error():     "",
		code.New(code.Conflict, "at 7").Error(): "at 7",
		"at 7":                                  "at 7",
	} {
		got := link.StatusError(&v1.Status{Code: uint32(code.Conflict), Text: text})
		if got.Code != code.Conflict || got.Detail != want {
			t.Errorf("status text %q: detail %q, want %q", text, got.Detail, want)
		}
	}
}
