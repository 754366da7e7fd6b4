package configlint_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configlint"
	"github.com/cuminroute/cuminroute/pkg/configuration"
)

func pointer[T any](value T) *T { return &value }

// example returns a configuration without warnings.
func example() *configuration.Configuration {
	key := configuration.Key{Name: "k", Hash: configuration.HashKey("k")}
	return &configuration.Configuration{
		HeadOffice: configuration.HeadOffice{
			Models: []configuration.Model{{Name: "m"}},
			Services: []configuration.Service{{Name: "stock", Requests: []configuration.RequestKind{
				{Name: "Lookup", Method: "GET", Path: "/items/*", Idempotent: true},
				{Name: "Order", Method: "POST", Path: "/items/*"},
			}}},
		},
		Workspaces: []configuration.Workspace{{
			Name: "w", Keys: []configuration.Key{key}, Services: []string{"stock"},
			Pipelines: []configuration.Pipeline{{Name: "p", Model: "m"}}, Branches: []configuration.Branch{{Name: "b"}},
		}},
	}
}

// TestWarnings guards against entries without effect that are not found, and against warnings about a sound configuration.
func TestWarnings(t *testing.T) {
	tests := []struct {
		about  string
		change func(c *configuration.Configuration, w *configuration.Workspace)
		paths  []string
	}{
		{"a sound configuration", func(*configuration.Configuration, *configuration.Workspace) {}, nil},
		{"a kind behind one that covers it", func(c *configuration.Configuration, _ *configuration.Workspace) {
			s := &c.HeadOffice.Services[0]
			s.Requests = append(s.Requests, configuration.RequestKind{Name: "One", Method: "GET", Path: "items/one"})
		}, []string{"$.HeadOffice.Services[0].Requests[2].Path"}},
		{"a wider kind behind a narrow one", func(c *configuration.Configuration, _ *configuration.Workspace) {
			s := &c.HeadOffice.Services[0]
			s.Requests = append(s.Requests, configuration.RequestKind{Name: "All", Method: "GET", Path: "/*"})
		}, nil},
		{"a service that nobody has", func(c *configuration.Configuration, _ *configuration.Workspace) {
			c.HeadOffice.Services = append(c.HeadOffice.Services, configuration.Service{Name: "spare"})
		}, []string{"$.HeadOffice.Services[1].Name"}},
		{"a model that nobody uses", func(c *configuration.Configuration, _ *configuration.Workspace) {
			c.HeadOffice.Models = append(c.HeadOffice.Models, configuration.Model{Name: "spare"})
		}, []string{"$.HeadOffice.Models[1].Name"}},
		{"a workspace without keys", func(_ *configuration.Configuration, w *configuration.Workspace) { w.Keys = nil }, []string{"$.Workspaces[0].Keys"}},
		{"keys at a branch only", func(_ *configuration.Configuration, w *configuration.Workspace) {
			w.Branches[0].Keys, w.Keys = w.Keys, nil
		}, nil},
		{"kinds for phone orders without such a branch", func(c *configuration.Configuration, _ *configuration.Workspace) {
			for i := range c.HeadOffice.Services[0].Requests {
				c.HeadOffice.Services[0].Requests[i].Phone = true
			}
		}, []string{"$.Workspaces[0].Services[0]"}},
		{"entries of NotIdempotent without effect", func(_ *configuration.Configuration, w *configuration.Workspace) {
			w.Rules.NotIdempotent = pointer([]string{"stock/Lookup", "stock/Order", "none/Order"})
		}, []string{"$.Workspaces[0].Rules.NotIdempotent[1]", "$.Workspaces[0].Rules.NotIdempotent[2]"}},
		{"a timeout that all override", func(c *configuration.Configuration, w *configuration.Workspace) {
			w.Branches[0].Rules.Timeout = pointer(time.Second)
			w.Pipelines[0].Timeout = time.Minute
			for i := range c.HeadOffice.Services[0].Requests {
				c.HeadOffice.Services[0].Requests[i].Timeout = time.Minute
			}
		}, []string{"$.Workspaces[0].Branches[0].Rules.Timeout"}},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			c := example()
			test.change(c, &c.Workspaces[0])
			var paths []string
			for _, w := range configlint.Warnings(c) {
				paths = append(paths, w.Path)
			}
			qt.Assert(t, paths, qt.DeepEquals, test.paths)
		})
	}
}
