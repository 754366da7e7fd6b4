package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

func newValidate(e *Environment) *ffcli.Command {
	set := e.flagSet("validate")
	format := newOutputFlag(set)
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "cuminroute validate [-output json] <configuration.yaml>",
		ShortHelp:  "check a configuration file and list every finding",
		LongHelp:   "The exit code is 1 if the file has findings. -output json lists them as JSON.",
		FlagSet:    set,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("validate needs one configuration file")
			}
			return e.validate(args[0], format)
		},
	}
}

func (e *Environment) validate(path string, format *outputFormat) error {
	c, _, err := configuration.Load(path)
	if err != nil {
		return e.reportError(err, format)
	}
	return e.writeResult(format, newValidationSummary(c), func() {
		_, _ = fmt.Fprintf(e.Stdout, "%s: no findings, %d workspaces\n", path, len(c.Workspaces))
	})
}

// validationSummary is the JSON output for a valid configuration.
type validationSummary struct {
	Fleet      string `json:"Fleet"`
	Workspaces int    `json:"Workspaces"`
	Findings   []int  `json:"Findings"` // Findings is empty; it is present so that scripts can count its elements.
}

func newValidationSummary(c *configuration.Configuration) validationSummary {
	return validationSummary{Fleet: c.HeadOffice.Fleet, Workspaces: len(c.Workspaces), Findings: []int{}}
}
