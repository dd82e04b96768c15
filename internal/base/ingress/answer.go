package ingress

import (
	"io"
	"net/http"
	"time"
)

const (
	// restTimeout is how long an answer waits for the rest of a body that nobody needs. A client
	// that sends its request whole can use the connection again.
	restTimeout = 100 * time.Millisecond
	// closeTimeout is how long the rest of a body is taken after the answer, so that the client
	// reads the answer before the connection is closed.
	closeTimeout = time.Second
)

// answer is the writer of an answer of HTTP/1 to a request with a body. It does not let the answer
// wait for a body that never ends.
type answer struct {
	http.ResponseWriter
	body    *body
	started bool
}

// Unwrap returns the writer for http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader sends the status. The connection is closed after the answer if the body has not come.
func (a *answer) WriteHeader(status int) {
	if !a.started && status >= http.StatusOK {
		a.started = true
		if !a.body.discardRest() {
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (a *answer) Write(p []byte) (int, error) {
	if !a.started {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Flush sends what has been written.
func (a *answer) Flush() {
	if !a.started {
		a.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(a.ResponseWriter).Flush()
}

// finish starts the answer if the handler has not.
func (a *answer) finish() {
	if !a.started {
		a.WriteHeader(http.StatusOK)
	}
}

// discardRest discards the rest of the body, and returns false if it does not come in time.
func (b *body) discardRest() bool {
	if b.isWhole() {
		return true
	}
	if !b.wasReleased() {
		b.setDeadline(restTimeout)
		if _, err := io.CopyN(io.Discard, b.ReadCloser, b.maxBytes+1); err == io.EOF {
			b.setWhole()
			return true
		}
	}
	b.setReadDeadline(time.Now().Add(closeTimeout))
	return false
}

func (b *body) isWhole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}
