package operator

import (
	"errors"
	"strconv"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// Limits of a history request.
const (
	defaultHistory = 20
	maxHistory     = 1000 // A thousand changes of 2 KB keep the answer near 2 MB.
)

func (s *Server) getConfiguration(c call) (any, error) {
	return s.log.Current(c.request.Context())
}

func (s *Server) putConfiguration(c call) (any, error) {
	var change api.Change
	if err := read(c.request, &change); err != nil {
		return nil, err
	}
	if err := wellFormed(change); err != nil {
		return nil, err
	}
	change.By = c.operator
	if err := s.check(c, change); err != nil {
		return nil, err
	}
	return s.log.Apply(c.request.Context(), change)
}

func wellFormed(change api.Change) error {
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

// check refuses a change whose result has findings. If the log has moved on from the expected
// version, the result is not what the operator saw, and Apply answers: either the change was
// already made under its ID or the race is lost. Versions only increase, so Apply cannot accept an
// unchecked change then.
func (s *Server) check(c call, change api.Change) error {
	base, after, err := s.log.Preview(c.request.Context(), change)
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

func (s *Server) getHistory(c call) (any, error) {
	limit := defaultHistory
	if text := c.request.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, malformed("limit is %q: 1 to %d is accepted", text, maxHistory)
		}
		limit = n
	}
	changes, err := s.log.History(c.request.Context(), limit)
	return api.History{Changes: changes}, err
}

func (s *Server) postRollback(c call) (any, error) {
	var rollback api.Rollback
	if err := read(c.request, &rollback); err != nil {
		return nil, err
	}
	if rollback.ID == "" || rollback.To == 0 {
		return nil, malformed("ID and To are needed")
	}
	rollback.By = c.operator
	return s.log.Rollback(c.request.Context(), rollback)
}

func (s *Server) getState(c call) (any, error) {
	return s.fleet.State(c.request.Context())
}

func (s *Server) getStates(c call) (any, error) {
	states, err := s.fleet.States(c.request.Context())
	return api.States{States: states}, err
}

func (s *Server) getInstances(c call) (any, error) {
	instances, err := s.fleet.Instances(c.request.Context())
	return api.Instances{Instances: instances}, err
}

func (s *Server) getPipelines(c call) (any, error) {
	pipelines, err := s.fleet.Pipelines(c.request.Context())
	return api.Pipelines{Pipelines: pipelines}, err
}

func (s *Server) getPlan(c call) (any, error) {
	return s.fleet.Plan(c.request.Context())
}

func (s *Server) getDrains(c call) (any, error) {
	drains, err := s.drains.Drains(c.request.Context())
	return api.Drains{Drains: drains}, err
}

func (s *Server) postDrain(c call) (any, error) {
	var drain api.Drain
	if err := read(c.request, &drain); err != nil {
		return nil, err
	}
	if drain.Target == "" {
		return nil, malformed("Target is missing: the name of the target to drain")
	}
	drain.By = c.operator
	err := s.drains.Drain(c.request.Context(), drain)
	return drain, absent(err, "there is no target "+strconv.Quote(drain.Target))
}

func (s *Server) deleteDrain(c call) (any, error) {
	name := c.request.URL.Query().Get("target")
	if name == "" {
		return nil, malformed("the query parameter target is missing")
	}
	err := s.drains.Undrain(c.request.Context(), name)
	return api.Drain{Target: name}, absent(err, "there is no drain of "+strconv.Quote(name))
}

// absent names what was not found.
func absent(err error, message string) error {
	if errors.Is(err, ErrNotFound) {
		return notFound(message)
	}
	return err
}
