package demo

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// errBad means that something was lost or doubled.
var errBad = errors.New("demo: a request was lost or an order was doubled")

// NewCommand returns the command demo. The last line of its output is the report in JSON.
func NewCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "cuminroute demo", ShortHelp: "show the whole system with stand-ins on loopback",
		FlagSet: flag.NewFlagSet("cuminroute demo", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			report, err := Run(ctx, stdout)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(stdout).Encode(report); err != nil {
				return err
			}
			if !report.Good() {
				return errBad
			}
			return nil
		},
	}
}
