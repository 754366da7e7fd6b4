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

const applyHelp = `Replaces the whole configuration with the file, as the next version. The newest version must still be
the one that the file is based on: the Version in the file (see the show command), or the one given
with -expected. A file without Version expects that no version exists yet. If another change was
accepted first, the error names it, nothing is changed and the exit code is 1.

With -workspace, only that workspace is replaced, and only a change of the same workspace since the
file's version is a conflict. Use it if several operators change different workspaces.

If the response is lost, the change is sent again under the same ID and takes effect once. If the outcome
stays unknown, run the command again with the -id from the error message.

With -wait, the command returns when the version is active on every live instance, and fails with exit
code 1 if that takes longer than -wait-limit.

` + remoteHelp

// changeFlags holds the flags of the commands that create a configuration version.
type changeFlags struct {
	remote   *remoteFlags
	expected *string
	id       *string
	wait     *bool
	limit    *time.Duration
}

// defaultWaitLimit is five times the 6 s within which a version must be active on every live instance.
const defaultWaitLimit = 30 * time.Second

func newChangeFlags(set *flag.FlagSet) *changeFlags {
	return &changeFlags{
		remote:   newRemoteFlags(set),
		expected: set.String("expected", "", "version that the change is based on"),
		id:       set.String("id", "", "ID of the change, to send it again; empty for a new ID"),
		wait:     set.Bool("wait", false, "wait until the version is active on every live instance"),
		limit:    set.Duration("wait-limit", defaultWaitLimit, "maximum time to wait"),
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
				return usageErrorf("apply needs one configuration file")
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
		return e.reportError(err, flags.remote.format)
	}
	expected, err := expectedVersion(*flags.expected, c.Version)
	if err != nil {
		return err
	}
	id := flags.changeID()
	if workspace == "" {
		return e.submitChange(ctx, flags, client, id, func() (api.Head, error) {
			return client.Apply(ctx, api.Change{Expected: expected, ID: id, Configuration: c})
		})
	}
	rebased, err := newRebase(client, c, workspace, expected, id)
	if err != nil {
		return err
	}
	return e.submitChange(ctx, flags, client, id, func() (api.Head, error) { return rebased.apply(ctx) })
}

// submitChange calls send, prints the new version and, with -wait, waits until it is active.
func (e *Environment) submitChange(ctx context.Context, flags *changeFlags, client *operator.Client, id string, send func() (api.Head, error)) error {
	head, err := send()
	if err != nil {
		return e.reportError(withRetryHint(err, id), flags.remote.format)
	}
	if err := e.writeResult(flags.remote.format, head, func() {
		_, _ = fmt.Fprintf(e.Stdout, "version %d is accepted (change %s)\n", head.Version, head.ID)
	}); err != nil {
		return err
	}
	if !*flags.wait {
		return nil
	}
	return e.waitForVersion(ctx, client, head.Version, *flags.limit)
}
