// Command cuminrouted runs one instance.
//
// Usage:
//
//	cuminrouted -config settings.yaml
//	cuminrouted platform
//
// The first form reads cuminroute's own settings file. The second runs on the users' platform, with the settings file
// that the platform provides.
//
// It exits with status 0 after a planned stop (SIGTERM or SIGINT), 1 if it cannot start or
// fails, and 2 if the command line or the settings are not valid. On SIGHUP, an instance on the platform reads its
// settings file again; other instances ignore the signal.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/gateway"
	"github.com/cuminroute/cuminroute/pkg/settings"
	"github.com/cuminroute/cuminroute/platform"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// platformCommand is the argument that selects the platform's settings.
const platformCommand = "platform"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // Before all else, since the default action ends the process.
	defer signal.Stop(hangup)
	if len(args) == 1 && args[0] == platformCommand {
		return runPlatform(hangup)
	}
	s, err := settings.Load(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	d, err := daemon.New(context.Background(), s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitStatus(d.Wait)
}

func runPlatform(hangup <-chan os.Signal) int {
	g, err := platform.Start(context.Background(), gateway.WithReloadSignal(hangup))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitStatus(g.Wait)
}

// exitStatus waits until an instance has ended and returns the exit status of the process.
func exitStatus(wait func() error) int {
	if err := wait(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
