package codec_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/edge/codec"
)

// A client that sends a truncated, empty or oversized message must get a numbered
// result code, which it can look up in the list of codes.
func TestBadInputGetsResultCode(t *testing.T) {
	const maxBytes = 100
	path, handler := v1.NewCallerHandler(v1.UnimplementedCallerHandler{}, codec.HandlerOptions())
	h := codec.LimitRequestSize(maxBytes, handler)
	for name, c := range map[string]struct {
		contentType, body, want string
	}{
		"truncated JSON":     {"application/json", `{"jobs":`, "501: "},
		"empty body":         {"application/json", "", "501: "},
		"wrong type":         {"application/json; charset=utf-8", `{"jobs":7}`, "501: "},
		"truncated protobuf": {"application/proto", "\x0a\x7f", "501: "},
		"oversized body":     {"application/json", strings.Repeat(" ", maxBytes+1), "504: "},
		"valid JSON":         {"application/json", `{"unknown":1}`, "unimplemented"},
	} {
		r := httptest.NewRequest(http.MethodPost, path+"Submit", strings.NewReader(c.body))
		r.Header.Set("Content-Type", c.contentType)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusOK || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s: HTTP status %d, body %s; want an error that contains %q", name, w.Code, w.Body, c.want)
		}
	}
}
