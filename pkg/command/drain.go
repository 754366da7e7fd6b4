package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const drainHelp = `Without a target, lists the active drains. With a target, the instances send it no new work, and running
work finishes. -end ends the drain, so that the target gets new work again.

` + remoteHelp

func newDrain(e *Environment) *ffcli.Command {
	set := e.flagSet("drain")
	end := set.Bool("end", false, "end the drain of the target")
	reason := set.String("reason", "", "reason that is shown to other operators")
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "cuminroute drain -address <url> -key <key> [-end] [-reason <text>] [-output json] [<target>]",
		ShortHelp:  "list drains, or drain a target",
		LongHelp:   drainHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 || (*end && len(args) == 0) {
				return usageErrorf("drain takes at most one target, and -end needs one")
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			switch {
			case len(args) == 0:
				return e.listDrains(ctx, client, r)
			case *end:
				drain, err := client.Undrain(ctx, args[0])
				return e.writeDrain(drain, err, "no longer drained", r)
			default:
				drain, err := client.Drain(ctx, args[0], *reason)
				return e.writeDrain(drain, err, "drained", r)
			}
		},
	}
}

func (e *Environment) listDrains(ctx context.Context, client *operator.Client, r *remoteFlags) error {
	drains, err := client.Drains(ctx)
	if err != nil {
		return e.reportError(err, r.format)
	}
	return e.writeResult(r.format, drains, func() {
		rows := [][]string{{"TARGET", "BY", "AT", "REASON"}}
		for _, d := range drains {
			rows = append(rows, []string{d.Target, d.By, formatTime(d.At), d.Reason})
		}
		e.writeTable(rows)
	})
}

func (e *Environment) writeDrain(drain api.Drain, err error, status string, r *remoteFlags) error {
	if err != nil {
		return e.reportError(err, r.format)
	}
	return e.writeResult(r.format, drain, func() {
		_, _ = fmt.Fprintf(e.Stdout, "%s is %s\n", drain.Target, status)
	})
}
