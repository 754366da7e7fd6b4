package demo

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// errFailed is returned if the report counts a lost request or an order executed more than once, or no
// complete request.
var errFailed = errors.New("demo: a request was lost or an order was executed more than once")

// NewCommand returns the demo command. The last line of its output is the report as JSON.
func NewCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "cuminroute demo", ShortHelp: "run the whole system with stand-ins on loopback",
		FlagSet: flag.NewFlagSet("cuminroute demo", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			report, err := Run(ctx, stdout)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(stdout).Encode(report); err != nil {
				return err
			}
			if !report.Passed() {
				return errFailed
			}
			return nil
		},
	}
}
