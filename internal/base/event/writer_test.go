package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/base/event"
)

// blockingWriter blocks writes while its mutex is held.
type blockingWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// Guards against a process that blocks because the reader of its log has stopped.
// Lines with level INFO are dropped before warnings.
func TestAsyncWriterDoesNotBlockOnItsReader(t *testing.T) {
	out := &blockingWriter{}
	w := &event.AsyncWriter{Out: out}
	log := event.New(w, "info")
	stop := make(chan struct{})
	out.mu.Lock()
	go w.Run(stop)
	begin := time.Now()
	const lines = 20_000
	for range lines {
		event.Log(log, event.RunsPlaced)
	}
	for range 100 {
		event.Log(log, event.FlowRefused)
	}
	if elapsed := time.Since(begin); elapsed > 5*time.Second {
		t.Errorf("writing %d lines took %v", lines, elapsed)
	}
	out.mu.Unlock()
	close(stop)
	<-w.Done()
	text := out.buf.String()
	if n := strings.Count(text, event.FlowRefused.Name); n != 100 {
		t.Errorf("%d of 100 warnings were written", n)
	}
	if n := strings.Count(text, event.RunsPlaced.Name); n == 0 || n >= lines {
		t.Errorf("%d of %d INFO lines were written, want some but not all", n, lines)
	}
}
