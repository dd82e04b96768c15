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

// Limits of an AsyncWriter.
const (
	// queueLines is the maximum number of queued lines.
	queueLines = 8192
	// bufferBytes is the size of the output buffer.
	bufferBytes = 32 << 10
	// reservedLines is the part of the queue that lines with level INFO may not use,
	// so that they do not displace warnings and errors, such as refused requests.
	reservedLines = queueLines / 4
	// flushTimeout limits the wait for the reader when the process ends.
	flushTimeout = time.Second
	// lossReportInterval is the minimum time between two reports of dropped lines.
	lossReportInterval = time.Second
)

// AsyncWriter writes log lines in the background. A process must not block because
// the reader of its log is slow or stopped. Lines that do not fit into the queue are
// dropped and counted. Set Out, then call Run.
type AsyncWriter struct {
	Out io.Writer

	once         sync.Once
	lines        chan []byte
	done         chan struct{}
	droppedLines atomic.Int64
}

// dropsCounter counts the dropped lines. Every process exports this metric, even if it
// is 0.
var dropsCounter = meter.ProcessMetrics.GetOrCreateCounter(meter.Name("base", "log_drops_total"))

// init creates the channels on first use.
func (w *AsyncWriter) init() {
	w.once.Do(func() {
		w.lines = make(chan []byte, queueLines)
		w.done = make(chan struct{})
	})
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	w.init()
	if len(w.lines) >= queueLines-reservedLines && bytes.Contains(b, infoLevel) {
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

// infoLevel identifies the lines that are dropped first.
var infoLevel = []byte(`"level":"INFO"`)

// drop counts a dropped line.
func (w *AsyncWriter) drop() {
	w.droppedLines.Add(1)
	dropsCounter.Inc()
}

// Done is closed when Run has returned.
func (w *AsyncWriter) Done() <-chan struct{} { w.init(); return w.done }

// Start calls Run in the background. flush ends it once the lines left in the queue are written, or
// after flushTimeout if the reader has stopped.
func (w *AsyncWriter) Start() (flush func()) {
	stop := make(chan struct{})
	go w.Run(stop)
	return func() {
		close(stop)
		select {
		case <-w.Done():
		case <-time.After(flushTimeout):
		}
	}
}

// Run writes the queued lines until stop is closed, and then the lines left in the
// queue.
func (w *AsyncWriter) Run(stop <-chan struct{}) {
	w.init()
	defer close(w.done)
	out := bufio.NewWriterSize(w.Out, bufferBytes)
	defer func() { _ = out.Flush() }()
	reportedAt := time.Now()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-stop:
			w.drain(out)
			return
		}
		if n := w.droppedLines.Load(); n > 0 && time.Since(reportedAt) >= lossReportInterval {
			reportedAt = time.Now()
			w.droppedLines.Add(-n)
			_, _ = fmt.Fprintf(out, `{"level":"WARN","msg":%q,"event":%d,"name":%q,"lines":%d}`+"\n", LinesLost.Text, LinesLost.Number, LinesLost.Name, n)
		}
		if len(w.lines) == 0 {
			_ = out.Flush()
		}
	}
}

// drain writes the lines left in the queue.
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
