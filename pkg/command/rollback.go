package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const rollbackHelp = `Creates a new version with the content of an earlier one. -expected is the newest version, as the
history command shows it. If another change was accepted since, nothing is changed.

` + remoteHelp

func newRollback(e *Environment) *ffcli.Command {
	set := e.flagSet("rollback")
	to := set.Uint64("to", 0, "version to restore")
	flags := newChangeFlags(set)
	return &ffcli.Command{
		Name:       "rollback",
		ShortUsage: "cuminroute rollback -address <url> -key <key> -to <version> -expected <version> [-wait] [-output json]",
		ShortHelp:  "restore the content of an earlier version",
		LongHelp:   rollbackHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArguments("rollback", args); err != nil {
				return err
			}
			if *to == 0 || *flags.expected == "" {
				return usageErrorf("rollback needs -to and -expected")
			}
			return e.rollback(ctx, flags, *to)
		},
	}
}

func (e *Environment) rollback(ctx context.Context, flags *changeFlags, to uint64) error {
	client, err := flags.remote.client()
	if err != nil {
		return err
	}
	expected, err := expectedVersion(*flags.expected, 0)
	if err != nil {
		return err
	}
	rollback := api.Rollback{To: to, Expected: expected, ID: flags.changeID()}
	return e.submitChange(ctx, flags, client, rollback.ID, func() (api.Head, error) {
		return client.Rollback(ctx, rollback)
	})
}
