package command

import (
	"context"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

func newHistory(e *Environment) *ffcli.Command {
	set := e.flagSet("history")
	limit := set.Int("limit", 20, "number of changes to list, at most 1000")
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "cuminroute history -address <url> -key <key> [-limit 20] [-output json]",
		ShortHelp:  "list the latest changes of the configuration",
		LongHelp:   remoteHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireNoArguments("history", args); err != nil {
				return err
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			changes, err := client.History(ctx, *limit)
			if err != nil {
				return e.reportError(err, r.format)
			}
			return e.writeResult(r.format, changes, func() { e.writeTable(historyRows(changes)) })
		},
	}
}

func historyRows(changes []api.Change) [][]string {
	rows := [][]string{{"VERSION", "AT", "BY", "CHANGE", "DOCUMENTS"}}
	for _, c := range changes {
		rows = append(rows, []string{formatVersion(c.Version), formatTime(c.At), c.By, c.ID, documentNames(c.Documents)})
	}
	return rows
}

// maxDocumentNames limits the names in a row, which stays readable if a change replaced every document.
const maxDocumentNames = 5

func documentNames(documents []api.Document) string {
	var names []string
	for _, d := range documents {
		name := d.Name
		if d.Deleted {
			name += " (deleted)"
		}
		names = append(names, name)
	}
	if len(names) > maxDocumentNames {
		names = append(names[:maxDocumentNames], "…")
	}
	return strings.Join(names, ", ")
}

func formatTime(at time.Time) string {
	return at.UTC().Format(time.RFC3339)
}
