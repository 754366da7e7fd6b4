package command

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const applyHelp = `The whole configuration in the file replaces the one in force under the next version, if the newest
version is still the one that the file was made from: the Version written in the file (see show), or
the one given with -expected. A file without Version expects that there is none yet. If another change
came first, it is named, nothing is changed and the exit code is 1.

With -workspace, only that workspace is replaced, and only a change of the same workspace since the
file was made counts as a lost race. Use it where several operators change different workspaces.

If the answer is lost, the change is sent again under the same ID and takes effect once. If its outcome
stays unknown, run the command again with the -id that the message names.

With -wait, the command returns when every live instance has the version in force, and fails with exit
code 1 if that takes longer than -wait-limit.

` + remoteHelp

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	remote   *remote
	expected *string
	id       *string
	wait     *bool
	limit    *time.Duration
}

// waitLimit is five times the 6 s within which a version is to be in force everywhere.
const waitLimit = 30 * time.Second

func newChangeFlags(set *flag.FlagSet) *changeFlags {
	return &changeFlags{
		remote:   remoteFlags(set),
		expected: set.String("expected", "", "version that the change was made from"),
		id:       set.String("id", "", "ID of a change that is sent again; empty for a new one"),
		wait:     set.Bool("wait", false, "wait until every live instance has the version in force"),
		limit:    set.Duration("wait-limit", waitLimit, "longest time to wait"),
	}
}

func (f *changeFlags) changeID() string {
	if *f.id != "" {
		return *f.id
	}
	return uuid.NewString()
}

func newApply(e *Environment) *ffcli.Command {
	set := e.flagSet("apply")
	workspace := set.String("workspace", "", "replace only this workspace")
	flags := newChangeFlags(set)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "cuminroute apply -address <url> -key <key> [-workspace <name>] [-expected <version>] [-wait] [-output json] <configuration.yaml>",
		ShortHelp:  "make a configuration file the newest version",
		LongHelp:   applyHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("apply needs one configuration file")
			}
			return e.apply(ctx, flags, args[0], *workspace)
		},
	}
}

func (e *Environment) apply(ctx context.Context, flags *changeFlags, path, workspace string) error {
	client, err := flags.remote.client()
	if err != nil {
		return err
	}
	c, _, err := configuration.Load(path)
	if err != nil {
		return e.report(err, flags.remote.format)
	}
	expected, err := expectedVersion(*flags.expected, c.Version)
	if err != nil {
		return err
	}
	id := flags.changeID()
	if workspace == "" {
		return e.change(ctx, flags, client, id, func() (api.Head, error) {
			return client.Apply(ctx, api.Change{Expected: expected, ID: id, Configuration: c})
		})
	}
	one, err := newRebase(client, c, workspace, expected, id)
	if err != nil {
		return err
	}
	return e.change(ctx, flags, client, id, func() (api.Head, error) { return one.apply(ctx) })
}

// change sends a change, prints the new version and waits for it if asked to.
func (e *Environment) change(ctx context.Context, flags *changeFlags, client *operator.Client, id string, send func() (api.Head, error)) error {
	head, err := send()
	if err != nil {
		return e.report(withID(err, id), flags.remote.format)
	}
	if err := e.write(flags.remote.format, head, func() {
		_, _ = fmt.Fprintf(e.Stdout, "version %d is accepted (change %s)\n", head.Version, head.ID)
	}); err != nil {
		return err
	}
	if !*flags.wait {
		return nil
	}
	return e.waitFor(ctx, client, head.Version, *flags.limit)
}
