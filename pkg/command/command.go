// Package command holds the commands of the operators' client, cuminroute.
//
// commands.go lists the constructors of all commands. A Constructor takes the Environment (input, output
// and clock) and returns an ffcli command. Commands write results to Stdout and everything else to
// Stderr, and return errors; Main converts an error to an exit code.
//
// Exit codes: 0 means success; 1 means findings, a refusal or a failure; 2 means invalid arguments.
//
// Usage:
//
//	os.Exit(command.Main(ctx, command.Process(), os.Args[1:]))
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// Exit codes.
const (
	ExitOK      = 0 // ExitOK means that the command succeeded.
	ExitRefused = 1 // ExitRefused means findings, a refusal or a failure.
	ExitUsage   = 2 // ExitUsage means that the arguments are invalid; nothing was changed.
)

// envPrefix is the prefix of the environment variables that set flags, as in CUMINROUTE_KEY.
const envPrefix = "CUMINROUTE"

// Environment holds the streams and the clock that commands use, so that tests can replace them.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
	// Sleep returns after d, or earlier when ctx is done.
	Sleep func(ctx context.Context, d time.Duration)
}

// ProcessEnvironment returns the environment of the running process.
func ProcessEnvironment() *Environment {
	return &Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now, Sleep: sleepContext}
}

// sleepContext discards the error of sleep.For: the next call that uses ctx returns the cancellation.
func sleepContext(ctx context.Context, d time.Duration) { _ = sleep.For(ctx, d) }

// UsageError reports invalid arguments.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Message
}

func usageErrorf(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// Main runs the command that args select and returns the exit code of the process.
func Main(ctx context.Context, e *Environment, args []string) int {
	root := newRootCommand(e)
	if err := root.Parse(args); err != nil {
		return e.parseExitCode(err)
	}
	err := root.Run(ctx)
	var usageErr *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr), errors.Is(err, flag.ErrHelp):
		e.printError(err)
		return ExitUsage
	default:
		e.printError(err)
		return ExitRefused
	}
}

// parseExitCode returns the exit code of a failed parse, and prints err unless help was requested. The flag
// package has already printed the error of an invalid flag, except where the value came from an environment variable.
func (e *Environment) parseExitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	e.printError(err)
	return ExitUsage
}

func (e *Environment) printError(err error) {
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintln(e.Stderr, "cuminroute:", err)
}

func newRootCommand(e *Environment) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "cuminroute",
		ShortUsage: "cuminroute <command> [flags] [arguments]",
		ShortHelp:  "configure and operate a fleet",
		LongHelp:   "Exit codes: 0 success; 1 findings, a refusal or a failure; 2 invalid arguments.",
		FlagSet:    e.flagSet("cuminroute"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return usageErrorf("no command %q; cuminroute -h lists the commands", args[0])
		},
	}
	for _, newCommand := range commands {
		root.Subcommands = append(root.Subcommands, newCommand(e))
	}
	return root
}

// flagSet returns a flag set that returns parse errors instead of exiting the process.
func (e *Environment) flagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(e.Stderr)
	return set
}

// options returns the parse options that let an environment variable set any flag.
func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}
