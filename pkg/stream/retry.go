package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/sleep"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// maxRetries bounds the new generations of one response. Independent failures of four stages in one response are
	// far less likely than a request that breaks every stage it reaches.
	maxRetries = 8
	// maxWaits bounds the backoffs of one response for a route, a verdict, an overloaded target or the retry budget,
	// about 8 s with the full backoff.
	maxWaits = 20
	// maxExclusiveWaits and exclusiveWait bound the waits of a suspect for targets without other suspects, about 8 s.
	maxExclusiveWaits = 160
	exclusiveWait     = 50 * time.Millisecond
	// maxFailedSteps bounds the attempts of a step that runs and fails, since another attempt would most likely fail
	// too.
	maxFailedSteps = 2
	// noRouteRetryAfter is the time in which another target's report usually covers a lost layer range again.
	noRouteRetryAfter = 2 * time.Second
	// overloadRetryAfter is the time in which a full queue drains to some extent.
	overloadRetryAfter = time.Second
)

// defaultBackoff returns the delay of the wait with the given number, counted from 1.
func defaultBackoff(waits int) time.Duration { return retry.Backoff(waits+1, rand.Int64N) }

func workspaceKey(workspace string) string { return "workspace/" + workspace }
func targetKey(name string) string         { return "target/" + name }

// excludedTarget is a target that failed during the response.
type excludedTarget struct {
	name string
	kind failureKind
}

// dead reports whether the target could not be reached or broke its connection.
func (t excludedTarget) dead() bool { return t.kind == crashed || t.kind == unreachable }

func (r *response) excludedNames() []string {
	names := make([]string, 0, len(r.excluded))
	for _, v := range r.excluded {
		names = append(names, v.name)
	}
	return names
}

// readmitOne removes one target from the excluded ones, so that it is tried again when there is no route without it.
// Slow and overloaded targets come before dead ones, which may have been restarted by now too.
func (r *response) readmitOne() {
	if len(r.excluded) == 0 {
		return
	}
	alive := max(0, slices.IndexFunc(r.excluded, func(v excludedTarget) bool { return !v.dead() }))
	r.excluded = slices.Delete(r.excluded, alive, alive+1)
}

// handleFailure excludes the failed target, and logs and counts the failure. It reports a crash to the crash tracker
// and a leaving target to the router.
func (r *response) handleFailure(f *stageFailure) {
	r.excluded = slices.DeleteFunc(r.excluded, func(v excludedTarget) bool { return v.name == f.target })
	r.excluded = append(r.excluded, excludedTarget{name: f.target, kind: f.kind})
	r.failureCounter(f.kind).Inc(1)
	switch f.kind {
	case crashed:
		r.reportCrash(f, r.runner.now())
	case leaving:
		r.runner.router.MarkLeaving(f.target)
	}
	r.runner.logger.Warn().Str("Request", r.req.ID).Str("Workspace", r.req.Workspace).Uint32("Generation", r.summary.Generations).
		Str("Target", f.target).Str("Fault", string(f.kind)).Int("TokensSent", len(r.tokens)).Err(f.cause).Msg("a stage failed")
}

func (r *response) failureCounter(k failureKind) metrics.Counter {
	switch k {
	case crashed:
		return r.runner.counters.crashed
	case frozen:
		return r.runner.counters.frozen
	case mismatched:
		return r.runner.counters.mismatched
	default:
		return r.runner.counters.refused
	}
}

// reportCrash reports a crash to the crash tracker, unless another response has reported it.
func (r *response) reportCrash(f *stageFailure, now time.Time) {
	r.runner.crashReports.once(f.target, f.startedAt, now, func() { r.runner.crashTracker.TargetCrashed(f.target, now) })
}

// prepareRetry returns nil once a new generation may start, and otherwise the final error. It counts the retry, waits
// once if the target is overloaded, and waits while the retry budget is used up.
func (r *response) prepareRetry(ctx context.Context, f *stageFailure) error {
	if f.kind == unreachable {
		return nil // Nothing was sent. The number of waits for a route bounds these attempts.
	}
	r.retries++
	if r.retries > maxRetries || f.kind == failed && r.retries >= maxFailedSteps {
		return r.failedError(f)
	}
	if f.kind == overloaded && r.backOff(ctx) != nil {
		return r.failedError(f)
	}
	for !r.consumeRetryBudget(f) {
		if r.backOff(ctx) != nil {
			return r.failedError(f)
		}
	}
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	return nil
}

// consumeRetryBudget reports whether a retry is within the retry budgets, and consumes budget of the workspace. Budget
// of the target is consumed only if the target was overloaded and other requests may retry it; a dead target is
// excluded. The first resume of a response whose stage is unavailable is free: a budget of a few retries per second
// would lose most of the responses of a dead target, and one more prefill for each of them bounds the added load.
func (r *response) consumeRetryBudget(f *stageFailure) bool {
	now := r.runner.now()
	if f.unavailable && !r.freeResumeUsed {
		r.freeResumeUsed = true
		return true
	}
	if f.kind == overloaded && !r.runner.retryBudget.Allow(targetKey(f.target), now) {
		return false
	}
	return r.runner.retryBudget.Allow(workspaceKey(r.req.Workspace), now)
}

// backOff waits with increasing delays. It fails without waiting if the client's deadline would pass during the wait,
// or if the response has waited maxWaits times already.
func (r *response) backOff(ctx context.Context) error {
	r.waits++
	if r.waits > maxWaits {
		return context.DeadlineExceeded
	}
	return r.sleep(ctx, r.runner.backoff(r.waits))
}

// sleep waits, or fails without waiting if the client's deadline would pass during the wait.
func (r *response) sleep(ctx context.Context, wait time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return context.DeadlineExceeded
	}
	return sleep.For(ctx, wait)
}

// backOffExclusive waits for targets without other suspects. The waits are short, since another suspect releases its
// targets with its first token.
func (r *response) backOffExclusive(ctx context.Context) error {
	r.exclusiveWaits++
	if r.exclusiveWaits > maxExclusiveWaits {
		return context.DeadlineExceeded
	}
	return r.sleep(ctx, min(r.runner.backoff(r.exclusiveWaits), rand.N(2*exclusiveWait)))
}

// startGeneration finds a route and starts the next generation on it. If there is no route, a request that has not
// reached a target is refused without a wait, unless a target that seemed frozen may still be live: its step waited in this process
// only. Any other request waits briefly for a replacement of the missing target.
func (r *response) startGeneration(ctx context.Context) (*generation, error) {
	for {
		route, err := r.pickRoute()
		if err == nil {
			return newGeneration(r, route), nil
		}
		if r.progress == notReached && !r.hasFrozen() || r.awaitRoute(ctx) != nil {
			return nil, r.noRouteError(err)
		}
		if err := r.awaitVerdict(ctx); err != nil {
			return nil, err
		}
	}
}

// hasFrozen reports whether a target that seemed frozen is excluded.
func (r *response) hasFrozen() bool {
	return slices.ContainsFunc(r.excluded, func(v excludedTarget) bool { return v.kind == frozen })
}

// awaitRoute waits for other suspects to release their targets, or for a replacement of a failed target. After the
// latter wait, one excluded target is admitted again.
func (r *response) awaitRoute(ctx context.Context) error {
	if r.exclusive && r.exclusiveWaits < maxExclusiveWaits {
		return r.backOffExclusive(ctx)
	}
	err := r.backOff(ctx)
	r.readmitOne()
	return err
}

// pickRoute requests a route from the router and checks that the route covers the layers exactly once. The route of an
// exclusive request is reserved.
func (r *response) pickRoute() ([]target.Target, error) {
	route, err := r.runner.router.PickRoute(RouteRequest{
		Request: r.req.ID, Fingerprint: r.req.Fingerprint, Model: r.req.Model, Layers: r.req.Layers,
		PrefixHash: r.req.PrefixHash, PromptBytes: len(r.req.Prompt),
		Excluded: r.excludedNames(), Exclusive: r.exclusive, Now: r.runner.now(),
	})
	if err != nil {
		return nil, err
	}
	ranges := make([]layer.Range, 0, len(route))
	for _, t := range route {
		ranges = append(ranges, t.Layers)
	}
	if !layer.IsPartition(ranges, r.req.Layers) {
		r.runner.counters.invariantsBroken.Inc(1)
		r.runner.logger.Error().Str("Invariant", "RouteTilesLayers").Str("Request", r.req.ID).Str("Ranges", fmt.Sprint(ranges)).
			Int("Layers", r.req.Layers).Msg("a route does not cover each layer exactly once")
		return nil, fmt.Errorf("the route %v does not cover %d layers exactly once", ranges, r.req.Layers)
	}
	return route, nil
}

func (r *response) noRouteError(cause error) error {
	return refusal.New(http.StatusServiceUnavailable, "no_route", r.outcome(),
		"no set of live targets holds every layer of the model").WithRetryAfter(noRouteRetryAfter).WithCause(cause)
}

func (r *response) failedError(f *stageFailure) error {
	if f.kind == overloaded || f.kind == leaving {
		return refusal.New(http.StatusServiceUnavailable, "overloaded", r.outcome(),
			"the targets accept no more work").WithRetryAfter(overloadRetryAfter).WithCause(f)
	}
	return refusal.New(http.StatusBadGateway, "stage_failed", r.outcome(),
		"a target failed and the answer could not be continued").WithRetryAfter(overloadRetryAfter).WithCause(f)
}
