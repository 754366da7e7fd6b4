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
	// noConfigurationRetryAfter is the Retry-After of an instance that has not received a configuration yet.
	noConfigurationRetryAfter = 100 * time.Millisecond
	// staleRetryAfter is the Retry-After while the configuration is stale. Another instance may accept the request.
	staleRetryAfter = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping instance. It is short because another instance accepts the
	// request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// heldRetryAfter is the Retry-After of a held request: one that is suspected of crashing targets. A verdict usually
	// takes a second.
	heldRetryAfter = time.Second
)

// admit matches the route, authenticates the key, picks the service and sets the deadline. It returns a refusal if the
// request must not be sent.
func (r *activeRequest) admit() error {
	snapshot := r.server.snapshots.Snapshot()
	if snapshot == nil {
		return refusal.New(http.StatusServiceUnavailable, "no_configuration", outcome.NotRun,
			"this instance has no configuration yet").WithRetryAfter(noConfigurationRetryAfter)
	}
	r.snapshot = snapshot
	fresh := r.server.snapshots.Fresh()
	route, ok := snapshot.Catalogue.MatchRoute(r.Host, r.Path)
	if !ok {
		return r.refusalUnlessStale(fresh, refusal.New(http.StatusNotFound, "no_route", outcome.NotRun, "no route matches %s%s", r.Host, r.Path))
	}
	r.route, r.priority = route, route.Priority
	if !route.Public {
		workspace, ok := snapshot.Catalogue.WorkspaceForKey(r.Key)
		if !ok {
			return r.refusalUnlessStale(fresh, refusal.New(http.StatusUnauthorized, "unknown_key", outcome.NotRun, "the key is not known"))
		}
		if !fresh {
			return r.staleRefusal()
		}
		r.workspace = workspace.Name
		if workspace.HasPriority {
			r.priority = workspace.Priority
		}
	}
	if err := r.checkCrashes(); err != nil {
		return err
	}
	r.service = snapshot.Catalogue.Service(route.PickService(xxhash.Sum64String(r.ID)))
	r.deadline = r.ReceivedAt.Add(route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline = r.Deadline
	}
	if end := r.server.mustEndBy(); !end.IsZero() && r.deadline.After(end) {
		return StoppingError()
	}
	return nil
}

// StoppingError returns the refusal of a request that might not end before this instance stops.
func StoppingError() error {
	return refusal.New(http.StatusServiceUnavailable, "stopping", outcome.NotRun, "this instance stops soon").WithRetryAfter(stoppingRetryAfter)
}

// checkCrashes refuses a request whose content, or a part of whose prompt, is quarantined, since it crashes the targets
// that run it, or whose content is held, since it may have crashed one.
func (r *activeRequest) checkCrashes() error {
	r.fingerprint = quarantine.Fingerprint(r.workspace, append([]byte(r.Method+" "+r.Host+r.URI+"\n"), r.Body...))
	for _, id := range r.PromptParts[:max(0, len(r.PromptParts)-1)] {
		r.parts = append(r.parts, quarantine.Part(id))
	}
	switch r.server.crashTracker.Check(r.fingerprint, time.Now(), r.parts...) {
	case quarantine.Quarantined:
		return quarantinedError()
	case quarantine.Held:
		return refusal.New(http.StatusServiceUnavailable, "crash_suspected", outcome.NotRun, "this request may have crashed a target").
			WithRetryAfter(heldRetryAfter)
	default:
		return nil
	}
}

// checkQuarantine returns the final error of a request whose content was quarantined since the request was admitted.
func (r *activeRequest) checkQuarantine() error {
	if r.server.crashTracker.Check(r.fingerprint, time.Now(), r.parts...) == quarantine.Quarantined {
		return quarantinedError()
	}
	return nil
}

func quarantinedError() error {
	return refusal.New(http.StatusBadGateway, "crashes_targets", outcome.Failed, "this request crashes the targets that run it")
}

// refusalUnlessStale returns e, or a retryable refusal if the configuration is stale: a newer one might accept the
// request.
func (r *activeRequest) refusalUnlessStale(fresh bool, e *refusal.Error) error {
	if fresh {
		return e
	}
	return r.staleRefusal()
}

// staleRefusal returns the refusal of a request while the configuration is stale. As with refuse, its outcome is Unknown if an
// earlier attempt may have run.
func (r *activeRequest) staleRefusal() error {
	const code, message = "stale_configuration", "this instance cannot confirm its configuration"
	if r.mayHaveRunAnywhere() {
		return unknownError(code, message, nil)
	}
	return refusal.New(http.StatusServiceUnavailable, code, outcome.NotRun, message).WithRetryAfter(staleRetryAfter)
}

// checkFresh refuses a request that needs a key if the configuration has become stale since the request was admitted.
func (r *activeRequest) checkFresh() error {
	if !r.route.Public && !r.server.snapshots.Fresh() {
		return r.staleRefusal()
	}
	return nil
}
