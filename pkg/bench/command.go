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

// benchResult is the result of a benchmark.
type benchResult interface {
	Plot(file string) error
}

// NewCommand returns the command bench with one subcommand for each benchmark. The last line of the output is the
// result in JSON.
func NewCommand(stdout io.Writer, start fleet.StartInstance) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "cuminroute bench throughput|recovery|overhead [flags]",
		ShortHelp:  "measure a fleet of stand-ins on loopback",
		Subcommands: []*ffcli.Command{
			newBenchCommand(stdout, start, "throughput", "tokens/s relative to the planner's bound, and latencies, for each policy", Throughput),
			newBenchCommand(stdout, start, "recovery", "time until streams and goodput recover after each failure", Recovery),
			newBenchCommand(stdout, start, "overhead", "CPU time and latency added by an instance", Overhead),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newBenchCommand[R benchResult](stdout io.Writer, start fleet.StartInstance, name, help string, run func(context.Context, Options) (R, error)) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute bench "+name, flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of links and arrivals")
	duration := flags.Duration("duration", defaultDuration, "length of each measured window")
	instances := flags.Int("entries", defaultInstances, "number of instances")
	deadline := flags.Duration("deadline", defaultDeadline, "deadline of each request")
	load := flags.Float64("load", defaultRecoveryLoad, "load of the recovery benchmark, relative to the bound")
	policyNames := flags.String("policies", strings.Join(policies, ","), "routing policies that throughput compares")
	plotFile := flags.String("plot", "", "write a plot to this file, .svg or .png")
	return &ffcli.Command{
		Name: name, ShortUsage: "cuminroute bench " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := run(ctx, Options{
				Seed: *seed, Duration: *duration, Instances: *instances, Deadline: *deadline, Load: *load,
				Policies: strings.Split(*policyNames, ","), Start: start,
			})
			if err != nil {
				return fmt.Errorf("bench %s: %w", name, err)
			}
			if *plotFile != "" {
				if err := r.Plot(*plotFile); err != nil {
					return fmt.Errorf("plot: %w", err)
				}
			}
			return json.NewEncoder(stdout).Encode(r)
		},
	}
}
