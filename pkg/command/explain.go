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
	name := set.String("branch", "", "branch to explain; empty for callers with a key of the whole workspace")
	at := set.String("at", "", "time to explain, such as 2026-03-02T06:00:00+01:00; empty for now")
	asJSON := outputFlag(set)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cuminroute explain -workspace <name> [-branch <name>] [-at <time>] [-output json] <configuration.yaml>",
		ShortHelp:  "show each value in force for one branch and which rule gave it",
		LongHelp:   "Each value is shown with the rule that gave it and the file, line and column where it is written.",
		FlagSet:    set,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || *workspace == "" {
				return usage("explain needs -workspace and one configuration file")
			}
			moment, err := e.moment(*at)
			if err != nil {
				return err
			}
			return e.explain(args[0], *workspace, *name, moment, asJSON)
		},
	}
}

func (e *Environment) moment(text string) (time.Time, error) {
	if text == "" {
		return e.Now(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usage("-at is %q: a time such as 2026-03-02T06:00:00+01:00 is accepted", text)
	}
	return at, nil
}

func (e *Environment) explain(path, workspace, name string, at time.Time, asJSON *outputFormat) error {
	c, places, err := configuration.Load(path)
	if err != nil {
		return e.report(err, asJSON)
	}
	b, err := branch.New(c, workspace, name)
	if err != nil {
		return e.report(err, asJSON)
	}
	values := b.Explain(places, at)
	return e.write(asJSON, values, func() {
		for _, v := range values {
			_, _ = fmt.Fprintln(e.Stdout, v)
		}
	})
}
