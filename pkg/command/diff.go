package command

import (
	"bytes"
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

const diffHelp = `The newest accepted configuration is compared with the file, without the version and without regard
to the order of workspaces. The exit code is 1 if they differ.

` + remoteHelp

// errDiffers makes the exit code tell a script that there are differences.
var errDiffers = errorx.NewNamespace("command").NewType("differs").New("the file differs from the newest version")

func newDiff(e *Environment) *ffcli.Command {
	set := e.flagSet("diff")
	r := remoteFlags(set)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "cuminroute diff -address <url> -key <key> [-output json] <configuration.yaml>",
		ShortHelp:  "compare a configuration file with the newest accepted configuration",
		LongHelp:   diffHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("diff needs one configuration file")
			}
			return e.diff(ctx, r, args[0])
		},
	}
}

// difference is the result of diff for scripts.
type difference struct {
	Version uint64 `json:"Version"` // Version is the newest accepted version.
	Differs bool   `json:"Differs"`
	Diff    string `json:"Diff"`
}

func (e *Environment) diff(ctx context.Context, r *remote, path string) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	mine, _, err := configuration.Load(path)
	if err != nil {
		return e.report(err, r.format)
	}
	current, err := client.Current(ctx)
	if err != nil {
		return e.report(err, r.format)
	}
	text, err := compare(fmt.Sprintf("version %d", current.Head.Version), &current.Configuration, path, mine)
	if err != nil {
		return err
	}
	result := difference{Version: current.Head.Version, Differs: len(text) > 0, Diff: string(text)}
	if err := e.write(r.format, result, func() { _, _ = e.Stdout.Write(text) }); err != nil {
		return err
	}
	if result.Differs {
		return errDiffers
	}
	return nil
}

// compare returns the changed lines with lines around them, and nothing if both are the same.
func compare(oldName string, old *configuration.Configuration, newName string, other *configuration.Configuration) ([]byte, error) {
	before, err := configuration.Marshal(normalised(old))
	if err != nil {
		return nil, err
	}
	after, err := configuration.Marshal(normalised(other))
	if err != nil {
		return nil, err
	}
	if bytes.Equal(before, after) {
		return nil, nil
	}
	return diff.Diff(oldName, before, newName, after), nil
}
