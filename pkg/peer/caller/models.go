package caller

import (
	"net/http"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// model and modelList are the response objects of the models endpoints.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"` // Created is 0, since the configuration has no creation times of pipelines.
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// handleModels lists the pipelines of the client's workspace or returns one of them.
func (s *Server) handleModels(x *exchange) error {
	if x.request.Method != http.MethodGet {
		return wrongMethod(x, http.MethodGet)
	}
	workspace, _ := x.configuration.Workspace(x.client.Workspace)
	if name, one := strings.CutPrefix(x.request.URL.Path, "/v1/models/"); one {
		return s.getModel(x, workspace, name)
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, p := range workspace.Pipelines {
		list.Data = append(list.Data, newModel(workspace, p))
	}
	x.sendJSON(http.StatusOK, list)
	return nil
}

func (s *Server) getModel(x *exchange, workspace configuration.Workspace, name string) error {
	for _, p := range workspace.Pipelines {
		if p.Name == name {
			x.sendJSON(http.StatusOK, newModel(workspace, p))
			return nil
		}
	}
	return unknownModel(name)
}

func newModel(w configuration.Workspace, p configuration.Pipeline) model {
	return model{ID: p.Name, Object: "model", OwnedBy: w.Name}
}

// unknownModel returns the refusal for a name that is not a pipeline of the client's workspace.
func unknownModel(name string) error {
	return refusal.New(http.StatusNotFound, "model_not_found", outcome.NotRun, "the workspace has no model %q", name)
}

// wrongMethod returns the refusal for a method that is not allowed, and sets the response header Allow.
func wrongMethod(x *exchange, allowed string) error {
	x.writer.Header().Set("Allow", allowed)
	return refusal.New(http.StatusMethodNotAllowed, "method_not_allowed", outcome.NotRun,
		"the method %s is not accepted here; %s is", x.request.Method, allowed)
}
