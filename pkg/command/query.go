package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
)

// query is a command that shows one answer of the operator API.
type query[T any] struct {
	name      string
	shortHelp string
	fetch     func(context.Context, *operator.Client) (T, error)
	rows      func(T) [][]string // rows is the answer as a table with a heading.
}

// constructor returns the command in the form that the list of commands holds.
func (q query[T]) constructor(e *Environment) *ffcli.Command {
	set := e.flagSet(q.name)
	r := remoteFlags(set)
	return &ffcli.Command{
		Name:       q.name,
		ShortUsage: "cuminroute " + q.name + " -address <url> -key <key> [-output json]",
		ShortHelp:  q.shortHelp,
		LongHelp:   remoteHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(q.name, args); err != nil {
				return err
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			answer, err := q.fetch(ctx, client)
			if err != nil {
				return e.report(err, r.format)
			}
			return e.write(r.format, answer, func() { e.tabulate(q.rows(answer)) })
		},
	}
}
