package logbackend_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/logbackend"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

func startBackend(t *testing.T) (*platform.Server, *logbackend.Backend) {
	server, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	return server, logbackend.New(configlog.New(table.New(server.URL())))
}

func withWorkspaces(workspaces ...string) *configuration.Configuration {
	c := &configuration.Configuration{HeadOffice: configuration.HeadOffice{Fleet: "Test"}}
	for _, name := range workspaces {
		c.Workspaces = append(c.Workspaces, configuration.Workspace{Name: name, Weight: 1})
	}
	return c
}

func describe(documents []api.Document) string {
	text := ""
	for _, d := range documents {
		text += d.Name
		if d.Deleted {
			text += " deleted"
		}
		text += "; "
	}
	return text
}

// TestFullConfiguration guards against a removed workspace that stays in the configuration, against writing unchanged
// documents, which are copied to every instance, and against a version with other content than was applied.
func TestFullConfiguration(t *testing.T) {
	_, b := startBackend(t)
	for n, c := range []*configuration.Configuration{withWorkspaces("a", "b"), withWorkspaces("b", "c")} {
		head, err := b.Apply(t.Context(), api.Change{Expected: uint64(n), ID: string(rune('x' + n)), By: "mara", Configuration: c})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, head.Version, qt.Equals, uint64(n+1))
	}
	history, err := b.History(t.Context(), 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, describe(history[0].Documents), qt.Equals, "Workspace/c; Workspace/a deleted; ")
	current, err := b.Current(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, current.Head.ID, qt.Equals, "y")
	qt.Assert(t, current.Configuration.Workspaces, qt.HasLen, 2)
	_, err = b.Rollback(t.Context(), api.Rollback{To: 1, Expected: 2, ID: "z", By: "mara"})
	qt.Assert(t, err, qt.IsNil)
	base, after, err := b.Preview(t.Context(), api.Change{Documents: []api.Document{{Name: "Workspace/b", Deleted: true}}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, base, qt.Equals, uint64(3))
	qt.Assert(t, after.Workspaces, qt.HasLen, 1)
	qt.Assert(t, after.Workspaces[0].Name, qt.Equals, "a")
}

// TestResolveStale guards against a retried change that is applied twice or reported as a conflict after later
// changes, against a conflict that does not name the change that was applied first, and against success for an ID
// that was used for other content.
func TestResolveStale(t *testing.T) {
	tests := []struct {
		name     string
		id       string
		content  *configuration.Configuration
		conflict string
		refused  bool
	}{
		{name: "retried", id: "first", content: withWorkspaces("a", "b")},
		{name: "conflict", id: "other", content: withWorkspaces("a", "b"), conflict: "first"},
		{name: "ID reused", id: "first", content: withWorkspaces("a"), refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, b := startBackend(t)
			for n, id := range []string{"zero", "first", "second"} {
				c := []*configuration.Configuration{withWorkspaces("a"), withWorkspaces("a", "b"), withWorkspaces("a", "b", "c")}[n]
				_, err := b.Apply(t.Context(), api.Change{Expected: uint64(n), ID: id, By: "mara", Configuration: c})
				qt.Assert(t, err, qt.IsNil)
			}
			head, err := b.Apply(t.Context(), api.Change{Expected: 1, ID: test.id, By: "mara", Configuration: test.content})
			var conflict *operator.ConflictError
			var refusal *api.Error
			switch {
			case test.refused:
				qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
			case test.conflict != "":
				qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, conflict.ConflictingChange.ID, qt.Equals, test.conflict)
			default:
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, head.Version, qt.Equals, uint64(2))
			}
		})
	}
}

// TestErrors guards against an outage or a missing version that is reported to operators without its code.
func TestErrors(t *testing.T) {
	server, b := startBackend(t)
	_, err := b.Rollback(t.Context(), api.Rollback{To: 7, Expected: 8, ID: "a", By: "mara"})
	qt.Assert(t, err, qt.ErrorIs, operator.ErrNotFound)
	server.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Refused}})
	_, err = b.Apply(t.Context(), api.Change{ID: "a", By: "mara", Configuration: withWorkspaces("a")})
	qt.Assert(t, err, qt.ErrorIs, operator.ErrUnavailable)
}
