package experiment

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// NewCommand returns the command experiment.
func NewCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute experiment", flag.ContinueOnError)
	seed := flags.Uint64("seed", 0, "seed of the arrivals, in place of the file's")
	picture := flags.String("plot", "", "write the credit over time to this file, .svg or .png")
	asJSON := flags.Bool("json", false, "write all figures as JSON in place of the table")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "cuminroute experiment [flags] FILE",
		ShortHelp: "play policies against each other on an emulated fleet", FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			s, err := Load(args[0])
			if err != nil {
				return err
			}
			if *seed != 0 {
				s.Seed = *seed
			}
			report, err := Play(s)
			if err != nil {
				return err
			}
			if *picture != "" {
				if err := report.Plot(*picture); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			if *asJSON {
				return report.WriteJSON(stdout)
			}
			return report.Write(stdout)
		},
	}
}
