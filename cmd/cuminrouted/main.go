// Command cuminrouted runs one entry instance.
//
// Usage:
//
//	cuminrouted -config settings.yaml
//	cuminrouted platform
//
// The first form reads the product's own settings. The second runs on the users' platform, with the settings file
// that the platform lays out.
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
	"github.com/cuminroute/cuminroute/platform"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// platformCommand selects the platform's settings.
const platformCommand = "platform"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 1 && args[0] == platformCommand {
		return runPlatform()
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
	return wait(d.Wait)
}

func runPlatform() int {
	s, err := platform.Start(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return wait(s.Wait)
}

// wait returns the exit status of an instance after its end.
func wait(ended func() error) int {
	if err := ended(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
