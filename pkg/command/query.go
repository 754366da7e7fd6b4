package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
)

// query defines a command that prints the response to one request of the operator API.
type query[T any] struct {
	name      string
	shortHelp string
	fetch     func(context.Context, *operator.Client) (T, error)
	rows      func(T) [][]string // rows converts the response to the rows of a table.
}

// constructor is the Constructor of the command.
func (q query[T]) constructor(e *Environment) *ffcli.Command {
	set := e.flagSet(q.name)
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       q.name,
		ShortUsage: "cuminroute " + q.name + " -address <url> -key <key> [-output json]",
		ShortHelp:  q.shortHelp,
		LongHelp:   remoteHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArguments(q.name, args); err != nil {
				return err
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			response, err := q.fetch(ctx, client)
			if err != nil {
				return e.reportError(err, r.format)
			}
			return e.writeResult(r.format, response, func() { e.writeTable(q.rows(response)) })
		},
	}
}
