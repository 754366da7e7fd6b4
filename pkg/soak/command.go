package soak

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// NewCommand returns the soak command. The last line of its output is the report as JSON. The command fails if a
// promise was violated.
func NewCommand(stdout io.Writer, start fleet.StartInstance) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the random requests and faults")
	duration := flags.Duration("duration", DefaultDuration, "time during which faults are injected")
	instances := flags.Int("entries", defaultInstances, "number of instances")
	rate := flags.Float64("rate", defaultRate, "requests per second")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "cuminroute soak [flags]", FlagSet: flags,
		ShortHelp: "run a fleet of stand-ins under random faults and check the promises P1 to P7",
		Exec: func(ctx context.Context, _ []string) error {
			report, err := Run(ctx, Options{Seed: *seed, Duration: *duration, Instances: *instances, RequestRate: *rate, Start: start})
			if err != nil {
				return fmt.Errorf("soak: %w", err)
			}
			if err := report.WriteJSON(stdout); err != nil {
				return err
			}
			if n := report.ViolationCount(); n > 0 {
				return fmt.Errorf("soak: %d violations with seed %d", n, *seed)
			}
			return nil
		},
	}
}
