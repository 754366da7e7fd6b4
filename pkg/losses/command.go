package losses

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// NewCommand returns the losses subcommand.
func NewCommand(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute losses", flag.ContinueOnError)
	interval := flags.Duration("interval", defaultInterval, "length of the plot's intervals")
	plotFile := flags.String("plot", "", "write the credit lost over time to this file, .svg or .png")
	asJSON := flags.Bool("json", false, "write the figures as JSON in place of the table")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "cuminroute losses [flags] LOG...",
		ShortHelp: "report the credit that clients lost, by cause, from the logs of instances", FlagSet: flags,
		LongHelp: "A request earns 1 if it was served within its latency goals, 0.5 if it was late and 0 otherwise. - is standard input.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			if *interval <= 0 {
				return fmt.Errorf("-interval: %s is invalid, must be a positive duration", *interval)
			}
			r := New(WithInterval(*interval))
			for _, name := range args {
				if err := r.readFile(name, stdin); err != nil {
					return err
				}
			}
			if *plotFile != "" {
				if err := r.Plot(*plotFile); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			if *asJSON {
				return r.WriteJSON(stdout)
			}
			return r.WriteTable(stdout)
		},
	}
}

// readFile adds a log file to the report, or standard input if the name is "-".
func (r *Report) readFile(name string, stdin io.Reader) error {
	if name == "-" {
		return r.Read(stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	err = r.Read(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
