package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumreel/internal/policy/eviction"
)

const (
	// bodyTimeout is the longest time without headway of a body.
	bodyTimeout = 30 * time.Second
	// decodeTimeout is how long a whole request waits for the memory that decoding it takes.
	decodeTimeout = time.Second
	// streamBytes is what a request takes beside its body and header where requests share a
	// connection.
	streamBytes = 16 << 10
)

// body is the body of a request. Its bytes are charged as they come.
type body struct {
	io.ReadCloser
	gate     *Gate
	conn     *conn
	writer   http.ResponseWriter
	maxBytes int64
	// compressed is true if the body may be larger once it is decoded, up to maxBytes.
	compressed bool
	// received counts the bytes of the body, and charged what the account holds for the request.
	received int64
	charged  atomic.Int64
	// unfinished is the part of charged that is for the stream of a body that has not arrived.
	unfinished int64
	// headway is the time of the last headway, and headwayAt the size at that time.
	headway   atomic.Int64
	headwayAt int64
	// text is the whole body once ReadAll has returned it, and weight what decoding it takes.
	text   []byte
	weight int64

	// mu guards the fields below, and the read deadline while the body is being read.
	mu          sync.Mutex
	whole       bool
	released    bool
	leaving     int64
	finished    bool
	registered  bool
	hasDeadline bool
}

// begin starts to account for a body. Streams of HTTP/2 share a connection, so that its limits do
// not bound them. The server's timeout applies to them.
func (b *body) begin(r *http.Request) {
	switch {
	case r.ProtoMajor == 1:
		b.setDeadline(bodyTimeout)
	case !b.gate.Trusted:
		b.unfinished = streamBytes + headerSize(r)
		b.charge(b.unfinished)
	}
}

func (b *body) setReadDeadline(t time.Time) {
	_ = http.NewResponseController(b.writer).SetReadDeadline(t)
}

// headerSize returns the size of the header of a request in bytes.
func headerSize(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// setDeadline sets the time in which further bytes must come.
func (b *body) setDeadline(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released {
		b.setReadDeadline(time.Now().Add(d))
		b.hasDeadline = true
	}
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	switch {
	case err == io.EOF:
		b.setWhole()
	case err != nil && b.wasReleased():
		err = ErrNoRoom
	case b.received-b.headwayAt >= headwayBytes:
		b.headwayAt = b.received
		b.headway.Store(int64(now()))
		if b.hasDeadline {
			b.setDeadline(bodyTimeout)
		}
	}
	return n, err
}

// setWhole records that the body has arrived. It is not released any more.
func (b *body) setWhole() {
	b.mu.Lock()
	isFirst := !b.whole
	b.whole = true
	if isFirst && b.hasDeadline && !b.released {
		b.setReadDeadline(time.Time{})
	}
	b.mu.Unlock()
	if isFirst {
		b.charged.Add(-b.unfinished)
		b.gate.held.Add(-b.unfinished)
		b.conn.beginAnswer()
	}
}

// charge adds n bytes to the account. A body that has become large may be released for others.
func (b *body) charge(n int64) {
	if b.charged.Add(n) > smallBytes {
		b.register()
		b.gate.charge(n)
		return
	}
	b.gate.held.Add(n)
}

func (b *body) register() {
	b.mu.Lock()
	isNew := !b.registered
	b.registered = true
	b.mu.Unlock()
	if isNew {
		b.headway.Store(int64(now()))
		b.gate.mu.Lock()
		defer b.gate.mu.Unlock()
		b.gate.bodies[b] = true
	}
}

// holding returns what the body holds at the given time.
func (b *body) holding(at time.Duration) eviction.Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := eviction.Holding{State: eviction.Sending, Bytes: b.charged.Load(), Waited: at - time.Duration(b.headway.Load())}
	if b.whole || b.released || b.finished {
		h.State = eviction.Answering
	}
	return h
}

// release makes the reader of the body end with ErrNoRoom. A body that has become whole meanwhile
// stays.
func (b *body) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole || b.finished || b.released {
		return
	}
	b.released = true
	b.leaving = b.charged.Load()
	b.gate.leaving.Add(b.leaving)
	b.setReadDeadline(time.Unix(1, 0))
}

func (b *body) wasReleased() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// end gives back what the request holds.
func (b *body) end() {
	b.mu.Lock()
	b.finished = true
	whole, registered := b.whole, b.registered
	b.mu.Unlock()
	if whole {
		b.conn.endAnswer()
	}
	if registered {
		b.gate.mu.Lock()
		delete(b.gate.bodies, b)
		b.gate.mu.Unlock()
	}
	b.text = nil
	b.gate.leaving.Add(-b.leaving)
	b.gate.held.Add(-b.charged.Swap(0))
	if b.weight > 0 {
		b.gate.decode.Release(b.weight)
	}
}

// readAll returns the whole body, and takes the memory that decoding it needs.
func (b *body) readAll(ctx context.Context, announced int64) ([]byte, error) {
	if b.text != nil {
		return b.text, nil
	}
	text, err := b.readBytes(announced)
	if err != nil {
		return nil, err
	}
	b.text = text
	if err := b.awaitDecoding(ctx); err != nil {
		b.gate.refusedDecodings.Inc()
		return nil, err
	}
	return text, nil
}

// readBytes reads the body into memory that is charged before it is used.
func (b *body) readBytes(announced int64) ([]byte, error) {
	if announced > b.maxBytes {
		return nil, &http.MaxBytesError{Limit: b.maxBytes}
	}
	var text []byte
	for {
		if len(text) == cap(text) {
			size := b.nextSize(int64(cap(text)), announced)
			b.charge(size - int64(cap(text)))
			grown := make([]byte, len(text), size)
			copy(grown, text)
			text = grown
		}
		n, err := b.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case int64(len(text)) > b.maxBytes:
			return nil, &http.MaxBytesError{Limit: b.maxBytes}
		case err == io.EOF:
			return text, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the memory for a body that has filled the given one. The length
// that a client announces only bounds it.
func (b *body) nextSize(size, announced int64) int64 {
	const firstBytes = 2 << 10
	size = max(2*size, firstBytes)
	if announced > 0 {
		size = min(size, announced+1) // the spare byte is for the end of the body
	}
	return min(size, b.maxBytes+1)
}

// awaitDecoding waits for the memory that decoding the body takes. Small bodies need not wait.
func (b *body) awaitDecoding(ctx context.Context) error {
	size := int64(len(b.text))
	if b.compressed {
		size = b.maxBytes
	}
	if size <= smallBytes || b.gate.Trusted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, decodeTimeout)
	defer cancel()
	weight := min(decodeFactor*size, b.gate.RequestBytes)
	if err := b.gate.decode.Acquire(ctx, weight); err != nil {
		return ErrNoRoom
	}
	b.weight = weight
	return nil
}

// wholeBody is a body that has been read.
type wholeBody struct {
	*bytes.Reader
	body *body
}

// Close does nothing, because the body has been read.
func (wholeBody) Close() error { return nil }
