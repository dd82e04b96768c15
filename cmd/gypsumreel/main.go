// Command gypsumreel is a cluster scheduler for services, batch work and gangs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumreel/internal/cli/verb"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	exit := verb.Run(ctx, verb.StandardEnv(), os.Args[1:], verbs()...)
	stop()
	os.Exit(int(exit))
}
