package codec_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/edge/codec"
)

// Guards against a small text that fills the memory once it is decoded.
func TestRequestWithTooManyElementsIsRefused(t *testing.T) {
	const many = 200_000
	path, handler := v1.NewCallerHandler(v1.UnimplementedCallerHandler{}, codec.HandlerOptions())
	full, err := proto.Marshal(largestSubmit())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ contentType, body, want string }{
		"empty messages":         {"application/proto", strings.Repeat("\n\x00", many), "504: "},
		"nested empty messages":  {"application/proto", "\n\x80\xb5\x18" + strings.Repeat("R\x00", many), "504: "},
		"empty objects":          {"application/json", `{"jobs":[` + strings.Repeat("{},", many) + `{}]}`, "504: "},
		"commas in a text":       {"application/json", `{"jobs":[{"name":"` + strings.Repeat(`,{\"`, many) + `"}]}`, "unimplemented"},
		"largest legal message":  {"application/proto", string(full), "unimplemented"},
		"few bytes of malformed": {"application/proto", "\x0a\x7f", "501: "},
	} {
		r := httptest.NewRequest(http.MethodPost, path+"Submit", strings.NewReader(c.body))
		r.Header.Set("Content-Type", c.contentType)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s: HTTP status %d, body %.200s; want %q", name, w.Code, w.Body, c.want)
		}
	}
}

// largestSubmit returns a request with as many jobs and labels as a submission may have.
func largestSubmit() *v1.SubmitRequest {
	const jobs, labels = 1000, 16
	m := &v1.SubmitRequest{First: true}
	for range jobs {
		spec := &v1.Spec{
			Id: "id", Kind: v1.Kind_KIND_BATCH, Name: "name", Count: 1, Size: &v1.Size{Cpu: 1, Memory: 1, Accel: 1},
			Runtime: 1, Once: true, Input: []byte("input"), Deadline: 1, Floor: 1, Labels: map[string]string{},
		}
		for i := range labels {
			spec.Labels[strings.Repeat("k", i+1)] = "value"
		}
		m.Jobs = append(m.Jobs, spec)
	}
	return m
}
