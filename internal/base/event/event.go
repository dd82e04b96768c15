// Package event defines the numbered events that the processes log. Alarms, the
// handbook and log lines refer to an event by its number and name. Events are
// logged through logr to a slog handler. docs/EVENTS.md lists all events.
package event

import (
	"io"
	"log"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/meter"
)

// Level is the severity of an event.
type Level int8

// The levels.
const (
	// Debug events are for developers.
	Debug Level = iota
	// Info events report normal operation.
	Info
	// Warn events report a fault that the cell tolerates. Repeated ones need attention.
	Warn
	// Error events need an operator.
	Error
)

var levelNames = [...]string{"debug", "info", "warn", "error"}

// String returns the level's name in lower case.
func (l Level) String() string {
	if l < 0 || int(l) >= len(levelNames) {
		return levelNames[Info]
	}
	return levelNames[l]
}

// Definition describes one kind of event. The meaning of a number never changes. The
// hundreds digit gives the area.
type Definition struct {
	Number uint32
	// Name is a short hyphenated name for metrics and alarms.
	Name  string
	Level Level
	// Text describes what happened.
	Text string
	// Advice tells the operator what to do. The handbook has more details.
	Advice string
}

// Keys of the number and the name in the log line of an event.
const (
	NumberKey = "event"
	NameKey   = "name"
)

// Log logs an event with additional alternating keys and values, as in logr. The
// values must not contain secrets. Each event is counted in
// gypsumreel_base_events_total even if the log level suppresses its line, so that
// alarms can be set on events.
func Log(logger logr.Logger, d Definition, kv ...any) {
	countEvent(d)
	fields := append([]any{NumberKey, d.Number, NameKey, d.Name}, kv...)
	switch d.Level {
	case Debug:
		logger.V(1).Info(d.Text, fields...)
	case Info:
		logger.Info(d.Text, fields...)
	case Warn:
		// logr has no warning level. Its slog bridge has one.
		logWarning(logger, d.Text, fields)
	case Error:
		logger.Error(nil, d.Text, fields...)
	}
}

// countEvent counts an event, even if its log line is not written.
func countEvent(d Definition) {
	meter.ProcessMetrics.GetOrCreateCounter(meter.Name("base", "events_total", meter.Label{Name: "event", Value: d.Name}, meter.Label{Name: "level", Value: d.Level.String()})).Inc()
}

// LogError logs an event with the error that caused it.
func LogError(logger logr.Logger, d Definition, err error, kv ...any) {
	Log(logger, d, append([]any{"err", err}, kv...)...)
}

// logWarning logs with slog's warning level if the logger is backed by slog.
func logWarning(logger logr.Logger, text string, kv []any) {
	slog.New(logr.ToSlogHandler(logger)).Warn(text, kv...)
}

// New returns a logger that writes one JSON object per line. The level is the name
// of a Level. Any other name selects info.
func New(w io.Writer, level string) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slogLevel(level)})
	return logr.FromSlogHandler(h)
}

func slogLevel(name string) slog.Level {
	switch name {
	case Debug.String():
		// slog's debug level includes the lines of logr's V(1).
		return slog.LevelDebug
	case Warn.String():
		return slog.LevelWarn
	case Error.String():
		return slog.LevelError
	}
	return slog.LevelInfo
}

// HTTPErrorLog returns a logger for the ErrorLog field of http.Server. It logs a failed
// TLS handshake as event 707 and a panic of a handler as event 111. All other
// messages, and handshakes that the client ended by closing the connection, are
// logged as event 709 for developers.
func HTTPErrorLog(logger logr.Logger) *log.Logger {
	return log.New(httpErrorWriter{logger}, "", 0)
}

type httpErrorWriter struct{ logger logr.Logger }

func (w httpErrorWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "TLS handshake error") && !strings.HasSuffix(text, "EOF") {
		Log(w.logger, TLSRefused, "cause", text)
		return len(b), nil
	}
	if strings.Contains(text, "panic serving") {
		Log(w.logger, Panicked, "cause", text)
		return len(b), nil
	}
	Log(w.logger, RequestMalformed, "cause", text)
	return len(b), nil
}
