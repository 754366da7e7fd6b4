package command

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/branch"
	"github.com/cuminroute/cuminroute/pkg/configuration"
)

func newExplain(e *Environment) *ffcli.Command {
	set := e.flagSet("explain")
	workspace := set.String("workspace", "", "workspace to explain")
	name := set.String("branch", "", "branch to explain; empty for clients with the key of the workspace")
	at := set.String("at", "", "time for which to evaluate the rules, such as 2026-03-02T06:00:00+01:00; empty for now")
	format := newOutputFlag(set)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cuminroute explain -workspace <name> [-branch <name>] [-at <time>] [-output json] <configuration.yaml>",
		ShortHelp:  "show the effective values of a branch and the rule that sets each",
		LongHelp:   "Prints each value with the rule that sets it and the file, line and column of its definition.",
		FlagSet:    set,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || *workspace == "" {
				return usageErrorf("explain needs -workspace and one configuration file")
			}
			when, err := e.parseTime(*at)
			if err != nil {
				return err
			}
			return e.explain(args[0], *workspace, *name, when, format)
		},
	}
}

func (e *Environment) parseTime(text string) (time.Time, error) {
	if text == "" {
		return e.Now(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usageErrorf("invalid -at %q: must be a time such as 2026-03-02T06:00:00+01:00", text)
	}
	return at, nil
}

func (e *Environment) explain(path, workspace, name string, at time.Time, format *outputFormat) error {
	c, positions, err := configuration.Load(path)
	if err != nil {
		return e.reportError(err, format)
	}
	b, err := branch.New(c, workspace, name)
	if err != nil {
		return e.reportError(err, format)
	}
	values := b.Explain(positions, at)
	return e.writeResult(format, values, func() {
		for _, v := range values {
			_, _ = fmt.Fprintln(e.Stdout, v)
		}
	})
}
