package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const drainHelp = `Without a target, the drains in force are listed. With one, the target gets no new work; what runs
there finishes. -end gives it new work again.

` + remoteHelp

func newDrain(e *Environment) *ffcli.Command {
	set := e.flagSet("drain")
	end := set.Bool("end", false, "end the drain of the target")
	reason := set.String("reason", "", "reason to show to other operators")
	r := remoteFlags(set)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "cuminroute drain -address <url> -key <key> [-end] [-reason <text>] [-output json] [<target>]",
		ShortHelp:  "list drains, or take a target out of the choice for new work",
		LongHelp:   drainHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 || (*end && len(args) == 0) {
				return usage("drain takes one target at most, and -end needs one")
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
				return e.drained(drain, err, "no longer drained", r)
			default:
				drain, err := client.Drain(ctx, args[0], *reason)
				return e.drained(drain, err, "drained", r)
			}
		},
	}
}

func (e *Environment) listDrains(ctx context.Context, client *operator.Client, r *remote) error {
	drains, err := client.Drains(ctx)
	if err != nil {
		return e.report(err, r.format)
	}
	return e.write(r.format, drains, func() {
		rows := [][]string{{"TARGET", "BY", "AT", "REASON"}}
		for _, d := range drains {
			rows = append(rows, []string{d.Target, d.By, stamp(d.At), d.Reason})
		}
		e.tabulate(rows)
	})
}

func (e *Environment) drained(drain api.Drain, err error, what string, r *remote) error {
	if err != nil {
		return e.report(err, r.format)
	}
	return e.write(r.format, drain, func() {
		_, _ = fmt.Fprintf(e.Stdout, "%s is %s\n", drain.Target, what)
	})
}
