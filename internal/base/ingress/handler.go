package ingress

import (
	"bytes"
	"io"
	"net/http"
)

// Track wraps the handler of a listener so that requests are accounted for. Bodies of more than
// maxBytes end with a *http.MaxBytesError. An answer is sent at once, also if the rest of the
// body has not come.
func (g *Gate) Track(maxBytes int64, next http.Handler) http.Handler {
	if g == nil {
		return next
	}
	g.init()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil {
			c.beginRequest(r)
		}
		if r.ContentLength == 0 || r.Body == nil {
			serveWhole(c, next, w, r)
			return
		}
		b := &body{
			ReadCloser: r.Body, gate: g, conn: c, writer: w, maxBytes: maxBytes, compressed: !g.Trusted && isCompressed(r),
		}
		b.begin(r)
		defer b.end()
		if r.ProtoMajor > 1 {
			b.serve(next, w, r)
			return
		}
		a := &answer{ResponseWriter: w, body: b}
		b.serve(next, a, r)
		a.finish()
	})
}

// serve serves a request with a body.
func (b *body) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	tracked := r
	if r.ProtoMajor == 1 { // the server of HTTP/1 looks at the body of its own request
		tracked = new(http.Request)
		*tracked = *r
	}
	if hasNoBody(r.Method) {
		tracked.Body, tracked.ContentLength = http.NoBody, 0
		serveWhole(b.conn, next, w, tracked)
		return
	}
	tracked.Body = b
	next.ServeHTTP(w, tracked)
}

// hasNoBody reports whether requests of a method are answered without their bodies.
func hasNoBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete
}

// encodingHeaders are the headers in which the protocols name the compression of a message.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

func isCompressed(r *http.Request) bool {
	for _, name := range encodingHeaders {
		if v := r.Header.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

// serveWhole serves a request without a body.
func serveWhole(c *conn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	c.beginAnswer()
	defer c.endAnswer()
	next.ServeHTTP(w, r)
}

// ReadAll returns the whole body of a request and waits until it may be decoded. The error is
// ErrNoRoom if others need the memory, and a *http.MaxBytesError if the body is too large. The
// account counts the text until the request is answered. Without a Gate, only maxBytes bounds the
// body.
func ReadAll(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	switch b := r.Body.(type) {
	case *body:
		b.maxBytes = min(b.maxBytes, maxBytes)
		return b.readAll(r.Context(), r.ContentLength)
	case wholeBody:
		return b.body.text, nil
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
}

// ReadFirst wraps a handler so that it is called with requests whose bodies have arrived. refuse
// answers the others.
func ReadFirst(refuse func(w http.ResponseWriter, r *http.Request, err error), next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, ok := r.Body.(*body)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		text, err := b.readAll(r.Context(), r.ContentLength)
		if err != nil {
			refuse(w, r, err)
			return
		}
		r.Body = wholeBody{bytes.NewReader(text), b}
		next.ServeHTTP(w, r)
	})
}
