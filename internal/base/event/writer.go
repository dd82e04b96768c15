package event

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gypsumreel/internal/base/meter"
)

// Bounds of a Writer.
const (
	// writerQueue is how many lines wait for the reader.
	writerQueue = 8192
	// writerBuffer is how many bytes are written at once.
	writerBuffer = 32 << 10
	// reserve is the part of the queue that only warnings and errors may use: a
	// refusal must not be left out for what went well.
	reserve = writerQueue / 4
	// lossEvery is how often it is told that lines were lost.
	lossEvery = time.Second
)

// AsyncWriter hands lines to a slow reader without ever waiting for it: a process
// must not stand still because nobody reads its log. Lines that find no room are
// dropped and counted. Set Out, then call Run.
type AsyncWriter struct {
	Out io.Writer

	once  sync.Once
	lines chan []byte
	done  chan struct{}
	lost  atomic.Int64
}

// drops counts the lines left out; it is there, at 0, in every process.
var drops = meter.ProcessMetrics.GetOrCreateCounter(meter.Name("base", "log_drops_total"))

func (w *AsyncWriter) init() {
	w.once.Do(func() {
		w.lines = make(chan []byte, writerQueue)
		w.done = make(chan struct{})
	})
}

// Write queues one line; it never blocks and never fails.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	w.init()
	if len(w.lines) >= writerQueue-reserve && bytes.Contains(b, ordinary) {
		w.drop()
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.drop()
	}
	return len(b), nil
}

// ordinary marks a line that may be left out first.
var ordinary = []byte(`"level":"INFO"`)

func (w *AsyncWriter) drop() {
	w.lost.Add(1)
	drops.Inc()
}

// Done is closed when Run has returned.
func (w *AsyncWriter) Done() <-chan struct{} { w.init(); return w.done }

// Run writes the lines until stop is closed, then what still waits.
func (w *AsyncWriter) Run(stop <-chan struct{}) {
	w.init()
	defer close(w.done)
	out := bufio.NewWriterSize(w.Out, writerBuffer)
	defer func() { _ = out.Flush() }()
	told := time.Now()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-stop:
			w.drain(out)
			return
		}
		if n := w.lost.Load(); n > 0 && time.Since(told) >= lossEvery {
			told = time.Now()
			w.lost.Add(-n)
			_, _ = fmt.Fprintf(out, `{"level":"WARN","msg":%q,"event":%d,"name":%q,"lines":%d}`+"\n", LinesLost.Text, LinesLost.Number, LinesLost.Name, n)
		}
		if len(w.lines) == 0 {
			_ = out.Flush()
		}
	}
}

func (w *AsyncWriter) drain(out *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
