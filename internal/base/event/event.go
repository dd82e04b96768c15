// Package event numbers what the processes log, so that an alarm, a handbook
// page and a line of the log name the same thing. Events go through logr to a
// slog handler; docs/EVENTS.md lists the catalogue.
package event

import (
	"io"
	"log"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/meter"
)

// Level says who has to look at an event.
type Level int8

// The levels.
const (
	// Debug is for developers.
	Debug Level = iota
	// Info is the ordinary course of things.
	Info
	// Warn is a fault that the cell copes with; look at it when it repeats.
	Warn
	// Error needs a person.
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

// Definition is one kind of event. The number never changes its meaning; the hundreds
// tell the area.
type Definition struct {
	Number uint32
	// Name is short and hyphenated; metrics and alarms use it.
	Name  string
	Level Level
	// Text says what has happened.
	Text string
	// Advice says what whoever is on duty should do; the handbook tells more.
	Advice string
}

// Keys of the values that every event carries.
const (
	NumberKey = "event"
	NameKey   = "name"
)

// Log logs an event with further keys and values, as logr takes them. Secrets
// never belong in them. Each event is counted in gypsumreel_base_events_total,
// whatever the level that is logged, so that alarms can be set on events.
func Log(logger logr.Logger, id Definition, kv ...any) {
	count(id)
	all := append([]any{NumberKey, id.Number, NameKey, id.Name}, kv...)
	switch id.Level {
	case Debug:
		logger.V(1).Info(id.Text, all...)
	case Info:
		logger.Info(id.Text, all...)
	case Warn:
		// logr has no warning of its own; a negative slog verbosity is one.
		warn(logger, id.Text, all)
	case Error:
		logger.Error(nil, id.Text, all...)
	}
}

// count counts an event, whether its line is written or not.
func count(id Definition) {
	meter.ProcessMetrics.GetOrCreateCounter(meter.Name("base", "events_total", meter.Label{Name: "event", Value: id.Name}, meter.Label{Name: "level", Value: id.Level.String()})).Inc()
}

// LogError logs an event with the error behind it.
func LogError(logger logr.Logger, id Definition, err error, kv ...any) {
	Log(logger, id, append([]any{"err", err}, kv...)...)
}

// warn reaches slog's warning level where the logger is backed by slog.
func warn(logger logr.Logger, text string, kv []any) {
	slog.New(logr.ToSlogHandler(logger)).Warn(text, kv...)
}

// New returns a logger that writes one JSON object a line. The level is one of
// the names of levels; others stand for info.
func New(w io.Writer, level string) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slogLevel(level)})
	return logr.FromSlogHandler(h)
}

func slogLevel(name string) slog.Level {
	switch name {
	case Debug.String():
		// logr's V(1) is one below slog's info.
		return slog.LevelDebug
	case Warn.String():
		return slog.LevelWarn
	case Error.String():
		return slog.LevelError
	}
	return slog.LevelInfo
}

// HTTPErrorLog returns what net/http servers log to, as their ErrorLog. Handshakes
// that failed become event 707, faults of a handler event 111; the rest is for
// developers.
func HTTPErrorLog(logger logr.Logger) *log.Logger {
	return log.New(httpWriter{logger}, "", 0)
}

type httpWriter struct{ logger logr.Logger }

func (w httpWriter) Write(b []byte) (int, error) {
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
