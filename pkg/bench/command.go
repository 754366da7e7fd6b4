package bench

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// result is what a measurement returns.
type result interface {
	Plot(file string) error
}

// NewCommand returns the command bench with its subcommands. The last line of the output is JSON.
func NewCommand(stdout io.Writer, start fleet.StartInstance) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "cuminroute bench throughput|recovery|overhead [flags]",
		ShortHelp:  "measure a fleet of stand-ins on loopback",
		Subcommands: []*ffcli.Command{
			newMeasurement(stdout, start, "throughput", "tokens/s relative to the planner's bound, and latencies, for each policy", Throughput),
			newMeasurement(stdout, start, "recovery", "time until streams and goodput are back after each failure", Recovery),
			newMeasurement(stdout, start, "overhead", "processor time and latency added by an entry instance", Overhead),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newMeasurement[R result](stdout io.Writer, start fleet.StartInstance, name, help string, measure func(context.Context, Options) (R, error)) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute bench "+name, flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of links and arrivals")
	duration := flags.Duration("duration", defaultDuration, "length of each measured window")
	entries := flags.Int("entries", defaultEntries, "number of entry instances")
	limit := flags.Duration("deadline", defaultDeadline, "deadline of each question")
	atLoad := flags.Float64("load", defaultRecoveryLoad, "load of recovery, relative to the bound")
	compared := flags.String("policies", strings.Join(policies, ","), "routing policies that throughput compares")
	file := flags.String("plot", "", "write a plot to this file, .svg or .png")
	return &ffcli.Command{
		Name: name, ShortUsage: "cuminroute bench " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := measure(ctx, Options{
				Seed: *seed, Duration: *duration, Entries: *entries, Deadline: *limit, Load: *atLoad,
				Policies: strings.Split(*compared, ","), Start: start,
			})
			if err != nil {
				return fmt.Errorf("bench %s: %w", name, err)
			}
			if *file != "" {
				if err := r.Plot(*file); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			return json.NewEncoder(stdout).Encode(r)
		},
	}
}
