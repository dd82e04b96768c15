package verb

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SecondSignal returns a channel that is closed when SIGINT or SIGTERM arrives after ctx
// is cancelled. A second signal aborts the graceful shutdown.
func SecondSignal(ctx context.Context) <-chan struct{} {
	secondSignal := make(chan struct{})
	go func() {
		<-ctx.Done()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		<-signals
		close(secondSignal)
	}()
	return secondSignal
}
