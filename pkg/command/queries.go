package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

var instancesQuery = query[[]api.Instance]{
	name:      "instances",
	shortHelp: "list the instances, each with its active version",
	fetch: func(ctx context.Context, c *operator.Client) ([]api.Instance, error) {
		return c.Instances(ctx)
	},
	rows: func(instances []api.Instance) [][]string {
		rows := [][]string{{"INSTANCE", "DATA CENTRE", "STATE", "LIVE", "VERSION"}}
		for _, i := range instances {
			rows = append(rows, []string{i.Name, i.DataCentre, i.State, strconv.FormatBool(i.Live), formatVersion(i.Version)})
		}
		return rows
	},
}

var stateQuery = query[api.State]{
	name:      "state",
	shortHelp: "show the state of the instance that responds",
	fetch: func(ctx context.Context, c *operator.Client) (api.State, error) {
		return c.State(ctx)
	},
	rows: stateRows,
}

var statesQuery = query[[]api.State]{
	name:      "states",
	shortHelp: "show the state of every live instance that responds",
	fetch: func(ctx context.Context, c *operator.Client) ([]api.State, error) {
		return c.States(ctx)
	},
	rows: func(states []api.State) [][]string {
		var rows [][]string
		for _, s := range states {
			rows = append(rows, stateRows(s)...)
		}
		return rows
	},
}

func stateRows(s api.State) [][]string {
	rows := [][]string{
		{"INSTANCE", s.Instance},
		{"VERSION", formatVersion(s.Version)},
		{"READY", strconv.FormatBool(s.Ready)},
		{"STREAMS", strconv.Itoa(s.Streams)},
		{"QUEUED", strconv.Itoa(s.Queued)},
	}
	for _, t := range s.Targets {
		role := t.Service
		if t.Model != "" {
			role = t.Model + " " + t.Layers.String()
		}
		rows = append(rows, []string{"TARGET", t.Name, string(t.State), t.DataCentre, role})
	}
	for _, q := range s.Quarantine {
		rows = append(rows, []string{"QUARANTINED", q.Fingerprint, "until " + formatTime(q.Until)})
	}
	return rows
}

var pipelinesQuery = query[[]api.Pipeline]{
	name:      "pipelines",
	shortHelp: "list the pipelines and whether targets cover their models",
	fetch: func(ctx context.Context, c *operator.Client) ([]api.Pipeline, error) {
		return c.Pipelines(ctx)
	},
	rows: func(pipelines []api.Pipeline) [][]string {
		rows := [][]string{{"WORKSPACE", "PIPELINE", "MODEL", "PRIORITY", "COMPLETE", "TARGETS"}}
		for _, p := range pipelines {
			priority := string(p.Priority)
			if priority == "" {
				priority = "of the branch"
			}
			rows = append(rows, []string{p.Workspace, p.Name, p.Model, priority, strconv.FormatBool(p.Complete), strconv.Itoa(p.Targets)})
		}
		return rows
	},
}

var planQuery = query[api.Plan]{
	name:      "plan",
	shortHelp: "show the desired placement and the resulting throughput bound",
	fetch: func(ctx context.Context, c *operator.Client) (api.Plan, error) {
		return c.Plan(ctx)
	},
	rows: func(p api.Plan) [][]string {
		bound := "unknown"
		if p.Bound > 0 {
			bound = fmt.Sprintf("%.0f tokens/s", p.Bound)
		}
		rows := [][]string{
			{"BOUND", bound},
			{"LIMITED BY", p.LimitedBy},
			{"TARGET", "MODEL", "LAYERS"},
		}
		for _, a := range p.Assignments {
			rows = append(rows, []string{a.Target, a.Model, fmt.Sprintf("[%d,%d)", a.First, a.End)})
		}
		return rows
	},
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
