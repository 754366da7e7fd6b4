// Command cuminrouted runs one entry instance.
//
// Usage:
//
//	cuminrouted -config settings.yaml
//
// It exits with status 0 after a planned stop (SIGTERM or SIGINT), 1 if it cannot start or
// fails, and 2 if the command line or the settings are not accepted.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/settings"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
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
	if err := d.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
