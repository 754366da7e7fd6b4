// Package command holds the commands of the operators' client, cuminroute.
//
// A command is one entry in the list in commands.go: a function that takes the Environment (input,
// output, environment variables, clock) and returns an ffcli command. Commands write results to
// Stdout and everything else to Stderr, and return errors; Main turns an error into an exit code.
//
// Exit codes: 0 means done; 1 means findings, a refusal or a failure; 2 means wrong usage.
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
	ExitOK      = 0 // ExitOK means that the command did what it says.
	ExitRefused = 1 // ExitRefused means findings, a refusal or a failure.
	ExitUsage   = 2 // ExitUsage means that the arguments are wrong; nothing was done.
)

// envPrefix precedes the name of a flag in an environment variable, as in CUMINROUTE_KEY.
const envPrefix = "CUMINROUTE"

// Environment is what commands use of the process around them.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
	// Pause waits for d or until ctx is done.
	Pause func(ctx context.Context, d time.Duration)
}

// Process returns the environment of the running process.
func Process() *Environment {
	return &Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now, Pause: wait}
}

// wait ends early with the context, which the caller sees by its next call.
func wait(ctx context.Context, d time.Duration) { _ = sleep.For(ctx, d) }

// UsageError reports wrong arguments.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string {
	return e.Message
}

func usage(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// Main runs the command that args name and returns the exit code.
func Main(ctx context.Context, e *Environment, args []string) int {
	root := newRoot(e)
	if err := root.Parse(args); err != nil {
		return e.parseFailure(err)
	}
	err := root.Run(ctx)
	var wrong *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong), errors.Is(err, flag.ErrHelp):
		e.complain(err)
		return ExitUsage
	default:
		e.complain(err)
		return ExitRefused
	}
}

// parseFailure returns the exit code of a failed parse. The flag package has already written the
// message of a wrong flag, except where the value came from the environment.
func (e *Environment) parseFailure(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	e.complain(err)
	return ExitUsage
}

func (e *Environment) complain(err error) {
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintln(e.Stderr, "cuminroute:", err)
}

func newRoot(e *Environment) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "cuminroute",
		ShortUsage: "cuminroute <command> [flags] [arguments]",
		ShortHelp:  "configure and operate a fleet",
		LongHelp:   "Exit codes: 0 done; 1 findings, a refusal or a failure; 2 wrong usage.",
		FlagSet:    e.flagSet("cuminroute"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return usage("there is no command %q; cuminroute -h lists the commands", args[0])
		},
	}
	for _, construct := range commands {
		root.Subcommands = append(root.Subcommands, construct(e))
	}
	return root
}

// flagSet returns a flag set that reports faults instead of ending the process.
func (e *Environment) flagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(e.Stderr)
	return set
}

// options lets every flag be set by an environment variable as well.
func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}
