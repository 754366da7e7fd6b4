package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// maxRetries bounds the new generations of one answer. Independent failures of four stages in
	// one answer are far less likely than a request that breaks every stage it meets.
	maxRetries = 8
	// maxWaits bounds the waits for a route or for the retry budget, about 8 s with the full backoff.
	maxWaits = 20
	// maxFailedSteps bounds the attempts of a step that runs and fails, since it would most likely fail again.
	maxFailedSteps = 2
	// noRouteRetryAfter is the time in which a lost layer range is usually held again by another target's report.
	noRouteRetryAfter = 2 * time.Second
	// overloadRetryAfter is the time in which a full queue drains to an extent.
	overloadRetryAfter = time.Second

	firstBackoff = 25 * time.Millisecond
	lastBackoff  = time.Second
)

// fullJitter returns a random wait below a bound that doubles with each attempt.
func fullJitter(attempt int) time.Duration {
	bound := min(firstBackoff<<min(attempt, 10), lastBackoff)
	return rand.N(bound)
}

func workspaceKey(workspace string) string { return "workspace/" + workspace }
func targetKey(name string) string         { return "target/" + name }

// learn remembers which targets to avoid and passes on what the fault tells.
func (a *answer) learn(f *fault) {
	now := a.runner.now()
	if !slices.Contains(a.avoid, f.target) {
		a.avoid = append(a.avoid, f.target)
	}
	counted := a.runner.counters.refused
	switch f.kind {
	case crashed:
		counted = a.runner.counters.crashed
		a.apart = true
		a.reportCrash(f, now)
	case frozen:
		counted = a.runner.counters.frozen
	case mismatched:
		counted = a.runner.counters.mismatched
	case leaving:
		a.runner.router.Leaving(f.target)
	}
	counted.Inc(1)
	a.runner.logger.Warn().Str("Request", a.req.ID).Str("Workspace", a.req.Workspace).Uint32("Generation", a.summary.Generations).
		Str("Target", f.target).Str("Fault", string(f.kind)).Int("TokensSent", len(a.tokens)).Err(f.cause).Msg("a stage failed")
}

// reportCrash tells the ledger of a crash that no other answer has reported.
func (a *answer) reportCrash(f *fault, now time.Time) {
	if a.runner.crashes.first(f.target, f.began, now) {
		a.runner.ledger.Crash(f.target, now)
	}
}

// mayRetry returns nil when a new generation may start, and otherwise the final error.
func (a *answer) mayRetry(ctx context.Context, f *fault, retry int) error {
	if retry > maxRetries || f.kind == failed && retry >= maxFailedSteps {
		return a.givenUp(f)
	}
	if f.kind == overloaded {
		if err := a.pause(ctx, retry); err != nil {
			return a.givenUp(f)
		}
	}
	for wait := 1; !a.allowed(f); wait++ {
		if wait > maxWaits || a.pause(ctx, wait) != nil {
			return a.givenUp(f)
		}
	}
	if ctx.Err() != nil {
		return a.expired(ctx)
	}
	return nil
}

// allowed asks the workspace's budget. The target's budget counts only where the target refused and may be asked again by
// others; a dead target is avoided. The first resume of an answer whose stage is gone is free: a budget of a few retries
// a second would lose most of the answers of a dead target, and one more prefill for each of them bounds the added load.
func (a *answer) allowed(f *fault) bool {
	now := a.runner.now()
	if f.gone && !a.resumed {
		a.resumed = true
		return true
	}
	if f.kind == overloaded && !a.runner.budget.Allow(targetKey(f.target), now) {
		return false
	}
	return a.runner.budget.Allow(workspaceKey(a.req.Workspace), now)
}

// pause waits before an attempt. It fails at once where the caller's deadline comes first.
func (a *answer) pause(ctx context.Context, attempt int) error {
	wait := a.runner.backoff(attempt)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return context.DeadlineExceeded
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// place finds a route for the next generation. An answer that has not begun is refused at once; one that has
// begun waits a little for a replacement.
func (a *answer) place(ctx context.Context) (*generation, error) {
	for wait := 1; ; wait++ {
		route, err := a.route()
		if err == nil {
			return newGeneration(a, route), nil
		}
		if a.reached == nowhere || wait > maxWaits {
			return nil, a.noRoute(err)
		}
		if a.pause(ctx, wait) != nil {
			return nil, a.noRoute(err)
		}
		// A target that failed may be the only one left that holds its layers and may be back by now.
		a.avoid = a.avoid[min(1, len(a.avoid)):]
	}
}

func (a *answer) route() ([]target.Target, error) {
	route, err := a.runner.router.Place(Placement{
		Request: a.req.ID, Fingerprint: a.req.Fingerprint, Model: a.req.Model, Layers: a.req.Layers, PrefixHash: a.req.PrefixHash, PromptBytes: len(a.req.Prompt),
		Avoid: slices.Clone(a.avoid), Apart: a.apart, Now: a.runner.now(),
	})
	if err != nil {
		return nil, err
	}
	ranges := make([]layer.Range, 0, len(route))
	for _, t := range route {
		ranges = append(ranges, t.Layers)
	}
	if !layer.Tiles(ranges, a.req.Layers) {
		a.runner.counters.violated.Inc(1)
		a.runner.logger.Error().Str("Invariant", "RouteTilesLayers").Str("Request", a.req.ID).Str("Ranges", fmt.Sprint(ranges)).
			Int("Layers", a.req.Layers).Msg("a route does not cover each layer exactly once")
		return nil, fmt.Errorf("the route %v does not tile %d layers", ranges, a.req.Layers)
	}
	return route, nil
}

func (a *answer) noRoute(cause error) error {
	return refusal.New(http.StatusServiceUnavailable, "no_route", a.outcome(),
		"no set of live targets holds every layer of the model").After(noRouteRetryAfter).Because(cause)
}

func (a *answer) givenUp(f *fault) error {
	if f.kind == overloaded || f.kind == leaving {
		return refusal.New(http.StatusServiceUnavailable, "overloaded", a.outcome(),
			"the targets accept no more work").After(overloadRetryAfter).Because(f)
	}
	return refusal.New(http.StatusBadGateway, "stage_failed", a.outcome(),
		"a target failed and the answer could not be continued").After(overloadRetryAfter).Because(f)
}
