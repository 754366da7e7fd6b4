package experiment

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// NewCommand returns the command experiment, which writes its report to stdout.
func NewCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute experiment", flag.ContinueOnError)
	seed := flags.Uint64("seed", 0, "seed of the arrivals, overrides that of the file")
	plotFile := flags.String("plot", "", "write the credit over time to this file, .svg or .png")
	asJSON := flags.Bool("json", false, "write all figures as JSON instead of the table")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "cuminroute experiment [flags] FILE",
		ShortHelp: "compare routing policies on an emulated fleet", FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			settings, err := Load(args[0])
			if err != nil {
				return err
			}
			if *seed != 0 {
				settings.Seed = *seed
			}
			report, err := Run(settings)
			if err != nil {
				return err
			}
			if *plotFile != "" {
				if err := report.Plot(*plotFile); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			if *asJSON {
				return report.WriteJSON(stdout)
			}
			return report.WriteTable(stdout)
		},
	}
}
