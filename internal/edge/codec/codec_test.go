package codec_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/edge/codec"
)

// A script sends half a message, nothing, or far too much. Whoever reads the
// answer finds the number of the fault in the list of codes.
func TestBadInputGetsANumber(t *testing.T) {
	const most = 100
	path, handler := v1.NewCallerHandler(v1.UnimplementedCallerHandler{}, codec.HandlerOptions())
	h := codec.LimitRequestSize(most, handler)
	for name, c := range map[string]struct {
		kind, body, want string
	}{
		"half of JSON":     {"application/json", `{"jobs":`, "501: "},
		"nothing":          {"application/json", "", "501: "},
		"wrong type":       {"application/json; charset=utf-8", `{"jobs":7}`, "501: "},
		"half of protobuf": {"application/proto", "\x0a\x7f", "501: "},
		"too much":         {"application/json", strings.Repeat(" ", most+1), "504: "},
		"good":             {"application/json", `{"unknown":1}`, "unimplemented"},
	} {
		r := httptest.NewRequest(http.MethodPost, path+"Submit", strings.NewReader(c.body))
		r.Header.Set("Content-Type", c.kind)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusOK || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s: %d %s", name, w.Code, w.Body)
		}
	}
}
