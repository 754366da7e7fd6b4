package operator

import (
	"errors"
	"strconv"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// Numbers of changes that a history request returns.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000 // The response with 1,000 changes of 2 KB takes about 2 MB.
)

func (s *Server) getConfiguration(r operatorRequest) (any, error) {
	return s.log.Current(r.request.Context())
}

func (s *Server) putConfiguration(r operatorRequest) (any, error) {
	var change api.Change
	if err := decodeBody(r.request, &change); err != nil {
		return nil, err
	}
	if err := validateChange(change); err != nil {
		return nil, err
	}
	change.By = r.operator
	if err := s.validateResult(r, change); err != nil {
		return nil, err
	}
	return s.log.Apply(r.request.Context(), change)
}

func validateChange(change api.Change) error {
	switch {
	case change.ID == "":
		return malformed("ID is missing: a unique ID of the change")
	case change.Version != 0 || !change.At.IsZero():
		return malformed("Version and At are assigned by the server")
	case (change.Configuration == nil) == (len(change.Documents) == 0):
		return malformed("either Documents or Configuration is needed")
	}
	return nil
}

// validateResult refuses a change if the resulting configuration has findings. If the newest version is
// already above the expected one, the result is not what the operator reviewed, and validateResult leaves
// the response to Apply: either the change was already applied under its ID, or there is a conflict.
// Versions only increase, so Apply cannot accept an unvalidated change in this case.
func (s *Server) validateResult(r operatorRequest, change api.Change) error {
	base, after, err := s.log.Preview(r.request.Context(), change)
	if err != nil {
		return err
	}
	if base > change.Expected {
		return nil
	}
	if base < change.Expected {
		return malformed("Expected is %d, but the newest version is %d; nothing was changed", change.Expected, base)
	}
	var findings finding.List
	for _, f := range configuration.Check(after) {
		findings.Add(f)
	}
	return findings.Err()
}

func (s *Server) getHistory(r operatorRequest) (any, error) {
	limit := defaultHistoryLimit
	if text := r.request.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return nil, malformed("limit is %q: 1 to %d is accepted", text, maxHistoryLimit)
		}
		limit = n
	}
	changes, err := s.log.History(r.request.Context(), limit)
	return api.History{Changes: changes}, err
}

func (s *Server) postRollback(r operatorRequest) (any, error) {
	var rollback api.Rollback
	if err := decodeBody(r.request, &rollback); err != nil {
		return nil, err
	}
	if rollback.ID == "" || rollback.To == 0 {
		return nil, malformed("ID and To are needed")
	}
	rollback.By = r.operator
	return s.log.Rollback(r.request.Context(), rollback)
}

func (s *Server) getState(r operatorRequest) (any, error) {
	return s.fleet.State(r.request.Context())
}

func (s *Server) getStates(r operatorRequest) (any, error) {
	states, err := s.fleet.States(r.request.Context())
	return api.States{States: states}, err
}

func (s *Server) getInstances(r operatorRequest) (any, error) {
	instances, err := s.fleet.Instances(r.request.Context())
	return api.Instances{Instances: instances}, err
}

func (s *Server) getPipelines(r operatorRequest) (any, error) {
	pipelines, err := s.fleet.Pipelines(r.request.Context())
	return api.Pipelines{Pipelines: pipelines}, err
}

func (s *Server) getPlan(r operatorRequest) (any, error) {
	return s.fleet.Plan(r.request.Context())
}

func (s *Server) getDrains(r operatorRequest) (any, error) {
	drains, err := s.drains.Drains(r.request.Context())
	return api.Drains{Drains: drains}, err
}

func (s *Server) postDrain(r operatorRequest) (any, error) {
	var drain api.Drain
	if err := decodeBody(r.request, &drain); err != nil {
		return nil, err
	}
	if drain.Target == "" {
		return nil, malformed("Target is missing: the name of the target to drain")
	}
	drain.By = r.operator
	err := s.drains.Drain(r.request.Context(), drain)
	return drain, describeNotFound(err, "there is no target "+strconv.Quote(drain.Target))
}

func (s *Server) deleteDrain(r operatorRequest) (any, error) {
	name := r.request.URL.Query().Get("target")
	if name == "" {
		return nil, malformed("the query parameter target is missing")
	}
	err := s.drains.Undrain(r.request.Context(), name)
	return api.Drain{Target: name}, describeNotFound(err, "there is no drain of "+strconv.Quote(name))
}

// describeNotFound replaces ErrNotFound by an error with a message that names the missing target or drain.
func describeNotFound(err error, message string) error {
	if errors.Is(err, ErrNotFound) {
		return notFound(message)
	}
	return err
}
