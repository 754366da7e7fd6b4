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
	// maxRetries bounds the new generations of one answer. Independent failures of four stages in
	// one answer are far less likely than a request that breaks every stage it meets.
	maxRetries = 8
	// maxWaits bounds the waits of one answer for a route, a verdict or the retry budget, about 8 s
	// with the full backoff.
	maxWaits = 20
	// maxApartWaits and apartWait bound the waits of a suspect for targets without other suspects, about 8 s.
	maxApartWaits = 160
	apartWait     = 50 * time.Millisecond
	// maxFailedSteps bounds the attempts of a step that runs and fails, since it would most likely fail again.
	maxFailedSteps = 2
	// noRouteRetryAfter is the time in which a lost layer range is usually held again by another
	// target's report.
	noRouteRetryAfter = 2 * time.Second
	// overloadRetryAfter is the time in which a full queue drains to an extent.
	overloadRetryAfter = time.Second
)

// pauseBefore returns the wait after that many others.
func pauseBefore(waits int) time.Duration { return retry.Backoff(waits+1, rand.Int64N) }

func workspaceKey(workspace string) string { return "workspace/" + workspace }
func targetKey(name string) string         { return "target/" + name }

// avoided is a target that the answer has seen fail.
type avoided struct {
	name string
	dead bool
}

func (a *answer) avoidNames() []string {
	names := make([]string, 0, len(a.avoid))
	for _, v := range a.avoid {
		names = append(names, v.name)
	}
	return names
}

// forgive lets one avoided target be tried again where there is no route without it: one that was slow
// or full before one that was dead, which may be back by now too.
func (a *answer) forgive() {
	if len(a.avoid) == 0 {
		return
	}
	alive := max(0, slices.IndexFunc(a.avoid, func(v avoided) bool { return !v.dead }))
	a.avoid = slices.Delete(a.avoid, alive, alive+1)
}

// learn remembers which targets to avoid and passes on what the fault tells.
func (a *answer) learn(f *fault) {
	a.avoid = slices.DeleteFunc(a.avoid, func(v avoided) bool { return v.name == f.target })
	a.avoid = append(a.avoid, avoided{name: f.target, dead: f.kind == crashed || f.kind == unreachable})
	a.countFault(f.kind).Inc(1)
	switch f.kind {
	case crashed:
		a.reportCrash(f, a.runner.now())
	case leaving:
		a.runner.router.MarkLeaving(f.target)
	}
	a.runner.logger.Warn().Str("Request", a.req.ID).Str("Workspace", a.req.Workspace).Uint32("Generation", a.summary.Generations).
		Str("Target", f.target).Str("Fault", string(f.kind)).Int("TokensSent", len(a.tokens)).Err(f.cause).Msg("a stage failed")
}

func (a *answer) countFault(k kind) metrics.Counter {
	switch k {
	case crashed:
		return a.runner.counters.crashed
	case frozen:
		return a.runner.counters.frozen
	case mismatched:
		return a.runner.counters.mismatched
	default:
		return a.runner.counters.refused
	}
}

// reportCrash tells the ledger of a crash that no other answer has reported.
func (a *answer) reportCrash(f *fault, now time.Time) {
	a.runner.crashes.report(f.target, f.began, now, func() { a.runner.ledger.TargetCrashed(f.target, now) })
}

// mayRetry returns nil when a new generation may start, and otherwise the final error.
func (a *answer) mayRetry(ctx context.Context, f *fault) error {
	if f.kind == unreachable {
		return nil // Nothing was sent. The waits for a route bound these attempts.
	}
	a.retries++
	if a.retries > maxRetries || f.kind == failed && a.retries >= maxFailedSteps {
		return a.givenUp(f)
	}
	if f.kind == overloaded && a.pause(ctx) != nil {
		return a.givenUp(f)
	}
	for !a.allowed(f) {
		if a.pause(ctx) != nil {
			return a.givenUp(f)
		}
	}
	if ctx.Err() != nil {
		return a.expired(ctx)
	}
	return nil
}

// allowed asks the workspace's budget. The target's budget counts only where the target refused and may
// be asked again by others; a dead target is avoided. The first resume of an answer whose stage is gone
// is free: a budget of a few retries a second would lose most of the answers of a dead target, and one
// more prefill for each of them bounds the added load.
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

// pause waits a little longer each time. It fails at once where the caller's deadline comes first, or
// after maxWaits.
func (a *answer) pause(ctx context.Context) error {
	a.waits++
	if a.waits > maxWaits {
		return context.DeadlineExceeded
	}
	return a.sleep(ctx, a.runner.backoff(a.waits))
}

func (a *answer) sleep(ctx context.Context, wait time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return context.DeadlineExceeded
	}
	return sleep.For(ctx, wait)
}

// pauseApart waits shortly, since another suspect frees its targets with its first token.
func (a *answer) pauseApart(ctx context.Context) error {
	a.apartWaits++
	if a.apartWaits > maxApartWaits {
		return context.DeadlineExceeded
	}
	return a.sleep(ctx, min(a.runner.backoff(a.apartWaits), rand.N(2*apartWait)))
}

// place finds a route for the next generation. An answer that has not begun is refused at once; one that has
// begun waits a little for a replacement.
func (a *answer) place(ctx context.Context) (*generation, error) {
	for {
		route, err := a.route()
		if err == nil {
			return newGeneration(a, route), nil
		}
		if a.reached == nowhere || a.awaitRoute(ctx) != nil {
			return nil, a.noRoute(err)
		}
		if err := a.awaitVerdict(ctx); err != nil {
			return nil, err
		}
	}
}

// awaitRoute waits for other suspects, or for a replacement of a lost target.
func (a *answer) awaitRoute(ctx context.Context) error {
	if a.apart && a.apartWaits < maxApartWaits {
		return a.pauseApart(ctx)
	}
	err := a.pause(ctx)
	a.forgive()
	return err
}

func (a *answer) route() ([]target.Target, error) {
	route, err := a.runner.router.PickRoute(RouteRequest{
		Request: a.req.ID, Fingerprint: a.req.Fingerprint, Model: a.req.Model, Layers: a.req.Layers,
		PrefixHash: a.req.PrefixHash, PromptBytes: len(a.req.Prompt),
		Excluded: a.avoidNames(), Exclusive: a.apart, Now: a.runner.now(),
	})
	if err != nil {
		return nil, err
	}
	ranges := make([]layer.Range, 0, len(route))
	for _, t := range route {
		ranges = append(ranges, t.Layers)
	}
	if !layer.IsPartition(ranges, a.req.Layers) {
		a.runner.counters.violated.Inc(1)
		a.runner.logger.Error().Str("Invariant", "RouteTilesLayers").Str("Request", a.req.ID).Str("Ranges", fmt.Sprint(ranges)).
			Int("Layers", a.req.Layers).Msg("a route does not cover each layer exactly once")
		return nil, fmt.Errorf("the route %v does not tile %d layers", ranges, a.req.Layers)
	}
	return route, nil
}

func (a *answer) noRoute(cause error) error {
	return refusal.New(http.StatusServiceUnavailable, "no_route", a.outcome(),
		"no set of live targets holds every layer of the model").WithRetryAfter(noRouteRetryAfter).WithCause(cause)
}

func (a *answer) givenUp(f *fault) error {
	if f.kind == overloaded || f.kind == leaving {
		return refusal.New(http.StatusServiceUnavailable, "overloaded", a.outcome(),
			"the targets accept no more work").WithRetryAfter(overloadRetryAfter).WithCause(f)
	}
	return refusal.New(http.StatusBadGateway, "stage_failed", a.outcome(),
		"a target failed and the answer could not be continued").WithRetryAfter(overloadRetryAfter).WithCause(f)
}
