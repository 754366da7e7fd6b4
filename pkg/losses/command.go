package losses

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// NewCommand returns the command losses.
func NewCommand(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute losses", flag.ContinueOnError)
	interval := flags.Duration("interval", defaultInterval, "length of the intervals of the plot")
	picture := flags.String("plot", "", "write the credit lost over time to this file, .svg or .png")
	asJSON := flags.Bool("json", false, "write the figures as JSON in place of the table")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "cuminroute losses [flags] LOG...",
		ShortHelp: "what callers lost and why, from the logs of entry instances", FlagSet: flags,
		LongHelp: "Each request counts 1 if it was served within its goals, a half if it was late, 0 otherwise. - is standard input.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			if *interval <= 0 {
				return fmt.Errorf("-interval: %s is not accepted, a duration above 0 is", *interval)
			}
			l := New(WithInterval(*interval))
			for _, name := range args {
				if err := l.readFile(name, stdin); err != nil {
					return err
				}
			}
			if *picture != "" {
				if err := l.Plot(*picture); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			if *asJSON {
				return l.WriteJSON(stdout)
			}
			return l.WriteTable(stdout)
		},
	}
}

func (l *Report) readFile(name string, stdin io.Reader) error {
	if name == "-" {
		return l.Read(stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	err = l.Read(file)
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}
