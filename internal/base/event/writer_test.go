package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumreel/internal/base/event"
)

// stuck is a reader that has stopped reading until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// Nobody reads the log any more while a process is under load. It must not stand
// still; what it leaves out is counted, and refusals are left out last.
func TestWriterNeverWaitsForItsReader(t *testing.T) {
	out := &stuck{}
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
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	out.mu.Unlock()
	close(stop)
	<-w.Done()
	text := out.buf.String()
	if n := strings.Count(text, event.FlowRefused.Name); n != 100 {
		t.Errorf("%d of 100 refusals were written", n)
	}
	if n := strings.Count(text, event.RunsPlaced.Name); n == 0 || n >= lines {
		t.Errorf("%d of %d ordinary lines were written", n, lines)
	}
}
