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

const diffHelp = `Compares the newest accepted configuration with the file. The version and the order of workspaces are
ignored. The exit code is 1 if they differ.

` + remoteHelp

// errDiffers is returned if there are differences, so that the exit code is ExitRefused.
var errDiffers = errorx.NewNamespace("command").NewType("differs").New("the file differs from the newest version")

func newDiff(e *Environment) *ffcli.Command {
	set := e.flagSet("diff")
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "cuminroute diff -address <url> -key <key> [-output json] <configuration.yaml>",
		ShortHelp:  "compare a configuration file with the newest accepted configuration",
		LongHelp:   diffHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("diff needs one configuration file")
			}
			return e.diff(ctx, r, args[0])
		},
	}
}

// diffResult is the JSON output of the diff command.
type diffResult struct {
	Version uint64 `json:"Version"` // Version is the newest accepted version.
	Differs bool   `json:"Differs"`
	Diff    string `json:"Diff"`
}

func (e *Environment) diff(ctx context.Context, r *remoteFlags, path string) error {
	local, _, err := configuration.Load(path)
	if err != nil {
		return e.reportError(err, r.format)
	}
	version, text, err := e.compareWithNewest(ctx, r, path, local)
	if err != nil {
		return err
	}
	result := diffResult{Version: version, Differs: len(text) > 0, Diff: string(text)}
	if err := e.writeResult(r.format, result, func() { _, _ = e.Stdout.Write(text) }); err != nil {
		return err
	}
	if result.Differs {
		return errDiffers
	}
	return nil
}

// compareWithNewest returns the newest accepted version and how the configuration of a file differs from it.
func (e *Environment) compareWithNewest(ctx context.Context, r *remoteFlags, path string, local *configuration.Configuration) (version uint64, text []byte, err error) {
	client, err := r.client()
	if err != nil {
		return 0, nil, err
	}
	current, err := client.Current(ctx)
	if err != nil {
		return 0, nil, e.reportError(err, r.format)
	}
	text, err = diffConfigurations(fmt.Sprintf("version %d", current.Head.Version), &current.Configuration, path, local)
	return current.Head.Version, text, err
}

// diffConfigurations returns a diff with context lines, or nil if the configurations are equal.
func diffConfigurations(oldName string, old *configuration.Configuration, newName string, updated *configuration.Configuration) ([]byte, error) {
	before, err := configuration.Marshal(normalisedConfiguration(old))
	if err != nil {
		return nil, err
	}
	after, err := configuration.Marshal(normalisedConfiguration(updated))
	if err != nil {
		return nil, err
	}
	if bytes.Equal(before, after) {
		return nil, nil
	}
	return diff.Diff(oldName, before, newName, after), nil
}
