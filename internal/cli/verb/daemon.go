package verb

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
)

// Logger returns the log of a daemon: JSON lines on standard error from the
// level given, one of debug, info, warn and error.
func Logger(env Env, level string) logr.Logger {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(env.Err, &slog.HandlerOptions{Level: least}))
}

// Again returns a channel that is closed by a signal to stop that comes after
// ctx has ended: whoever sends it does not want to wait for the planned stop.
func Again(ctx context.Context) <-chan struct{} {
	again := make(chan struct{})
	go func() {
		<-ctx.Done()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		<-signals
		close(again)
	}()
	return again
}
