package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

const (
	// unconfiguredAfter is when a caller comes back to an instance that knows no configuration yet.
	unconfiguredAfter = 100 * time.Millisecond
	// staleAfter is when a caller comes back if the configuration may be out of date. Another instance may serve it.
	staleAfter = 200 * time.Millisecond
	// stoppingAfter is when a caller comes back that a stopping instance refuses: another instance takes it at once.
	stoppingAfter = 50 * time.Millisecond
	// heldAfter is when a caller comes back whose request is suspected; a verdict usually takes a second.
	heldAfter = time.Second
)

// admit finds the route and checks the key.
func (r *activeRequest) admit() error {
	view := r.server.views.Snapshot()
	if view == nil {
		return refusal.New(http.StatusServiceUnavailable, "no_configuration", outcome.NotRun,
			"this instance has no configuration yet").WithRetryAfter(unconfiguredAfter)
	}
	r.view = view
	fresh := r.server.views.Fresh()
	route, ok := view.Catalogue.MatchRoute(r.Host, r.Path)
	if !ok {
		return r.unlessStale(fresh, refusal.New(http.StatusNotFound, "no_route", outcome.NotRun, "no route matches %s%s", r.Host, r.Path))
	}
	r.route, r.rank = route, route.Priority
	if !route.Public {
		workspace, ok := view.Catalogue.WorkspaceForKey(r.Key)
		if !ok {
			return r.unlessStale(fresh, refusal.New(http.StatusUnauthorized, "unknown_key", outcome.NotRun, "the key is not known"))
		}
		if !fresh {
			return r.stale()
		}
		r.workspace = workspace.Name
		if workspace.HasPriority {
			r.rank = workspace.Priority
		}
	}
	if err := r.checkCrashes(); err != nil {
		return err
	}
	r.service = view.Catalogue.Service(route.PickService(xxhash.Sum64String(r.ID)))
	if r.service.Engine != nil && r.server.stopsSoon() {
		return refusal.New(http.StatusServiceUnavailable, "stopping", outcome.NotRun, "this instance stops soon").WithRetryAfter(stoppingAfter)
	}
	r.deadline = r.ReceivedAt.Add(route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline = r.Deadline
	}
	return nil
}

// checkCrashes refuses a request that is known to crash the targets that run it, or may be.
func (r *activeRequest) checkCrashes() error {
	r.fingerprint = quarantine.Fingerprint(r.workspace, append([]byte(r.Method+" "+r.Host+r.URI+"\n"), r.Body...))
	switch r.server.ledger.Check(r.fingerprint, time.Now()) {
	case quarantine.Quarantined:
		return refusal.New(http.StatusBadGateway, "crashes_targets", outcome.Failed, "this request crashes the targets that run it")
	case quarantine.Held:
		return refusal.New(http.StatusServiceUnavailable, "crash_suspected", outcome.NotRun, "this request may have crashed a target").
			WithRetryAfter(heldAfter)
	default:
		return nil
	}
}

// unlessStale returns the refusal, or one that promises nothing if a newer configuration may say otherwise.
func (r *activeRequest) unlessStale(fresh bool, e *refusal.Error) error {
	if fresh {
		return e
	}
	return r.stale()
}

func (r *activeRequest) stale() error {
	return refusal.New(http.StatusServiceUnavailable, "stale_configuration", outcome.NotRun,
		"this instance cannot confirm its configuration").WithRetryAfter(staleAfter)
}

// confirmed refuses a request with a key whose configuration has become too old since it was admitted.
func (r *activeRequest) confirmed() error {
	if !r.route.Public && !r.server.views.Fresh() {
		return r.stale()
	}
	return nil
}
