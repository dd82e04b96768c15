package verb

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SecondSignal returns a channel that is closed by a signal to stop that comes after
// ctx has ended: whoever sends it does not want to wait for the planned stop.
func SecondSignal(ctx context.Context) <-chan struct{} {
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
