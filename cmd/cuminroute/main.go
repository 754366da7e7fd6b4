// Command cuminroute is the operators' client: it generates, validates and applies configurations, and
// shows and changes the state of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cuminroute/cuminroute/pkg/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, command.ProcessEnvironment(), os.Args[1:])
	stop()
	os.Exit(code)
}
