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

func start(t *testing.T) (*platform.Server, *logbackend.Backend) {
	server, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	return server, logbackend.New(configlog.New(table.New(server.URL())))
}

func with(workspaces ...string) *configuration.Configuration {
	c := &configuration.Configuration{HeadOffice: configuration.HeadOffice{Fleet: "Test"}}
	for _, name := range workspaces {
		c.Workspaces = append(c.Workspaces, configuration.Workspace{Name: name, Weight: 1})
	}
	return c
}

func names(documents []api.Document) string {
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

// TestWholeConfiguration guards against a workspace that survives its removal, against copying
// unchanged documents to every instance, and against a version that is not the content applied.
func TestWholeConfiguration(t *testing.T) {
	_, j := start(t)
	for n, c := range []*configuration.Configuration{with("a", "b"), with("b", "c")} {
		head, err := j.Apply(t.Context(), api.Change{Expected: uint64(n), ID: string(rune('x' + n)), By: "mara", Configuration: c})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, head.Version, qt.Equals, uint64(n+1))
	}
	history, err := j.History(t.Context(), 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, names(history[0].Documents), qt.Equals, "Workspace/c; Workspace/a deleted; ")
	current, err := j.Current(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, current.Head.ID, qt.Equals, "y")
	qt.Assert(t, current.Configuration.Workspaces, qt.HasLen, 2)
	_, err = j.Rollback(t.Context(), api.Rollback{To: 1, Expected: 2, ID: "z", By: "mara"})
	qt.Assert(t, err, qt.IsNil)
	base, after, err := j.Preview(t.Context(), api.Change{Documents: []api.Document{{Name: "Workspace/b", Deleted: true}}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, base, qt.Equals, uint64(3))
	qt.Assert(t, after.Workspaces, qt.HasLen, 1)
	qt.Assert(t, after.Workspaces[0].Name, qt.Equals, "a")
}

// TestResolve guards against a repeated change that is made twice or reported as lost after later
// changes, against a lost race that does not name the change that came first, and against a
// success for an ID that stands for other content.
func TestResolve(t *testing.T) {
	tests := []struct {
		name     string
		id       string
		content  *configuration.Configuration
		conflict string
		refused  bool
	}{
		{name: "repeated", id: "first", content: with("a", "b")},
		{name: "lost race", id: "other", content: with("a", "b"), conflict: "first"},
		{name: "ID used again", id: "first", content: with("a"), refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, j := start(t)
			for n, id := range []string{"zero", "first", "second"} {
				c := []*configuration.Configuration{with("a"), with("a", "b"), with("a", "b", "c")}[n]
				_, err := j.Apply(t.Context(), api.Change{Expected: uint64(n), ID: id, By: "mara", Configuration: c})
				qt.Assert(t, err, qt.IsNil)
			}
			head, err := j.Apply(t.Context(), api.Change{Expected: 1, ID: test.id, By: "mara", Configuration: test.content})
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

// TestErrors guards against an outage or an absent version that reaches operators without its code.
func TestErrors(t *testing.T) {
	server, j := start(t)
	_, err := j.Rollback(t.Context(), api.Rollback{To: 7, Expected: 8, ID: "a", By: "mara"})
	qt.Assert(t, err, qt.ErrorIs, operator.ErrNotFound)
	server.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Refused}})
	_, err = j.Apply(t.Context(), api.Change{ID: "a", By: "mara", Configuration: with("a")})
	qt.Assert(t, err, qt.ErrorIs, operator.ErrUnavailable)
}
