package service

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// maxAttempts limits the number of targets that an idempotent request is sent to.
const maxAttempts = 3

// doIdempotent sends an idempotent request and retries the request on another target if a target fails. While further
// attempts remain, a target that does not respond within its usual latency counts as failed.
func (c *Client) doIdempotent(ctx context.Context, req Request) (Response, error) {
	all := c.targets(req.Service)
	c.retryBudget.RecordRequest("workspace/"+req.Workspace, c.now())
	call := &idempotentCall{client: c, req: req, targets: all, ran: outcome.NotRun}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !call.takeRetry(ctx) {
			break
		}
		if call.attempt(ctx, attempt) {
			return call.response, nil
		}
	}
	return call.result(ctx)
}

// idempotentCall is an idempotent request and the results of its attempts.
type idempotentCall struct {
	client    *Client
	req       Request
	targets   []target.Target
	tried     []string        // tried has the names of the targets of all attempts.
	ran       outcome.Outcome // ran is NotRun until an attempt may have reached a target, and then Unknown.
	response  Response
	limited   bool // limited means that the targets that remain take no more requests now.
	responded bool // responded means that response is set, to the last response of a target.
	lastErr   error
}

// attempt sends the request to one target. It returns whether no further attempt is needed.
func (c *idempotentCall) attempt(ctx context.Context, number int) bool {
	chosen, err := c.client.balancer.choose(c.targets, c.tried, c.client.now())
	if err != nil {
		c.limited = errors.Is(err, errLimited)
		return false
	}
	c.tried = append(c.tried, chosen.Name)
	c.client.retryBudget.RecordRequest("target/"+chosen.Name, c.client.now())
	bounded, cancel := c.attemptContext(ctx, chosen.Name, number)
	defer cancel()
	start := c.client.now()
	connections := c.client.unpooled
	if c.client.echoing.contains(chosen.Address) {
		connections = c.client.pooled
	}
	response, err := c.client.dispatch(bounded, connections, chosen, c.req)
	c.client.balancer.finish(chosen.Name, start, c.client.now(), err == nil)
	if err != nil {
		c.recordFailure(err)
		return false
	}
	c.response, c.responded, c.ran = response, true, outcome.Unknown
	return !isTransient(response.Status)
}

// attemptContext returns the context of an attempt with the attempt's timeout. The last possible attempt has no timeout
// of its own, so that it gets all the time that remains for the request.
func (c *idempotentCall) attemptContext(ctx context.Context, name string, number int) (context.Context, context.CancelFunc) {
	if number == maxAttempts || len(c.tried) >= len(c.targets) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.client.balancer.attemptTimeout(name))
}

func (c *idempotentCall) recordFailure(err error) {
	c.lastErr = err
	if refusal.OutcomeOf(err) != outcome.NotRun {
		c.ran = outcome.Unknown
	}
	c.client.logger.Warn().Str("Request", c.req.ID).Str("Workspace", c.req.Workspace).Err(err).Msg("service target failed")
}

// takeRetry reports whether the retry budgets of the workspace and of the last target allow a retry, and if so takes and
// counts the retry. If only the workspace's budget allows it, the retry is still taken from that budget.
func (c *idempotentCall) takeRetry(ctx context.Context) bool {
	now := c.client.now()
	failed := c.tried
	if ctx.Err() != nil || len(failed) == 0 || !c.client.retryBudget.Allow("workspace/"+c.req.Workspace, now) {
		return false
	}
	if !c.client.retryBudget.Allow("target/"+failed[len(failed)-1], now) {
		return false
	}
	c.client.counters.retries.Inc(1)
	return true
}

// isTransient reports whether a response status is of an error that another target may not have.
func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// result returns the last response of a target, even if its status is an error, or a refusal if no target responded.
func (c *idempotentCall) result(ctx context.Context) (Response, error) {
	switch {
	case c.responded:
		return c.response, nil
	case ctx.Err() != nil:
		return Response{}, refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", c.ran,
			"the request's timeout passed before the service %s answered", c.req.Service).
			WithRetryAfter(failedRetryAfter).WithCause(c.lastErr)
	case c.limited && c.ran == outcome.NotRun:
		return Response{}, c.client.limitedError(c.req).WithCause(c.lastErr)
	case c.lastErr == nil || c.ran == outcome.NotRun:
		return Response{}, c.client.noTargetError(c.req).WithCause(c.lastErr)
	default:
		return Response{}, refusal.New(http.StatusBadGateway, "service_failed", outcome.Unknown,
			"the service %s did not answer", c.req.Service).WithRetryAfter(failedRetryAfter).WithCause(c.lastErr)
	}
}

// failedRetryAfter is the time in which all instances have usually ejected a failed target.
const failedRetryAfter = time.Second
