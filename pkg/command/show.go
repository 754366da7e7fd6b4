package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

const showHelp = `Prints the newest accepted configuration as YAML with its Version, so that it can be edited and applied.
With -out, writes it to a file that must not exist.

` + remoteHelp

func newShow(e *Environment) *ffcli.Command {
	set := e.flagSet("show")
	out := set.String("out", "", "file to write; it must not exist")
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "cuminroute show -address <url> -key <key> [-out configuration.yaml] [-output json]",
		ShortHelp:  "print the newest accepted configuration",
		LongHelp:   showHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArguments("show", args); err != nil {
				return err
			}
			return e.show(ctx, r, *out)
		},
	}
}

func (e *Environment) show(ctx context.Context, r *remoteFlags, out string) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	current, err := client.Current(ctx)
	if err != nil {
		return e.reportError(err, r.format)
	}
	current.Configuration.Version = current.Head.Version
	content, err := configuration.Marshal(&current.Configuration)
	if err != nil {
		return err
	}
	if out != "" {
		return e.writeNewFile(out, content)
	}
	return e.writeResult(r.format, current, func() { _, _ = fmt.Fprint(e.Stdout, string(content)) })
}
