package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

const showHelp = `The newest accepted configuration is printed as YAML with its Version, ready to be changed and applied.
With -out, it is written to a file that must not exist.

` + remoteHelp

func newShow(e *Environment) *ffcli.Command {
	set := e.flagSet("show")
	out := set.String("out", "", "file to write; it must not exist")
	r := remoteFlags(set)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "cuminroute show -address <url> -key <key> [-out configuration.yaml] [-output json]",
		ShortHelp:  "print the newest accepted configuration",
		LongHelp:   showHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("show", args); err != nil {
				return err
			}
			return e.show(ctx, r, *out)
		},
	}
}

func (e *Environment) show(ctx context.Context, r *remote, out string) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	current, err := client.Current(ctx)
	if err != nil {
		return e.report(err, r.format)
	}
	current.Configuration.Version = current.Head.Version
	content, err := configuration.Marshal(&current.Configuration)
	if err != nil {
		return err
	}
	if out != "" {
		return e.created(out, content)
	}
	return e.write(r.format, current, func() { _, _ = fmt.Fprint(e.Stdout, string(content)) })
}
