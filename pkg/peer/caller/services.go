package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// handleService handles /services/<service>/<path>.
func (s *Server) handleService(x *exchange) error {
	name, path, _ := strings.Cut(strings.TrimPrefix(x.request.URL.Path, "/services/"), "/")
	if err := validatePath(path); err != nil {
		return err
	}
	kind, err := findRequestKind(x, name, path)
	if err != nil {
		return err
	}
	// Service requests have no priority. The header is only validated.
	if _, err := x.priority(x.rules.Priority); err != nil {
		return err
	}
	timeout := x.rules.Timeout
	if kind.Timeout > 0 {
		timeout = kind.Timeout
	}
	ctx, cancel, err := x.withTimeout(timeout)
	if err != nil {
		return err
	}
	defer cancel()
	body, err := x.body()
	if err != nil {
		return err
	}
	response, err := s.services.Do(ctx, serviceRequest(x, name, path, kind, body))
	if err != nil {
		return err
	}
	if response.Replayed {
		x.writer.Header().Set("Cuminroute-Replayed", "true")
	}
	if response.Omitted {
		x.writer.Header().Set("Cuminroute-Body-Omitted", "true")
	}
	x.send(response.Status, response.ContentType, response.Body)
	return nil
}

// validatePath refuses paths that a target could resolve to another path than the one that the configuration allows.
func validatePath(path string) error {
	elements := strings.Split(path, "/")
	if slices.Contains(elements, ".") || slices.Contains(elements, "..") || strings.ContainsAny(path, "\\\x00") {
		return invalidRequest("invalid_path", "the path has an element that is not accepted")
	}
	return nil
}

// findRequestKind returns the configured kind of a service request. It refuses a request without one, and a request
// of a kind for phone orders if the client's branch takes none.
func findRequestKind(x *exchange, name, path string) (configuration.RequestKind, error) {
	kind, ok := x.configuration.RequestKind(x.client.Workspace, name, x.request.Method, path)
	if !ok {
		return kind, refusal.New(http.StatusNotFound, "request_kind_not_found", outcome.NotRun,
			"the workspace has no request %s %s of a service %q", x.request.Method, path, name)
	}
	if kind.Phone && !x.rules.PhoneOrders {
		return kind, refusal.New(http.StatusForbidden, "phone_orders_not_allowed", outcome.NotRun,
			"requests of the kind %s need a branch with phone orders", kind.Name)
	}
	return kind, nil
}

func serviceRequest(x *exchange, name, path string, kind configuration.RequestKind, body []byte) service.Request {
	atMostOnce := slices.Contains(x.rules.NotIdempotent, name+"/"+kind.Name)
	return service.Request{
		ID: x.id, Workspace: x.client.Workspace, Service: name, Kind: kind.Name, Method: x.request.Method, Path: path,
		Query: x.request.URL.RawQuery, ContentType: x.request.Header.Get("Content-Type"), Accept: x.request.Header.Get("Accept"),
		Body: body, Idempotent: kind.Idempotent && !atMostOnce, IdempotencyKey: x.request.Header.Get("Idempotency-Key"),
	}
}
