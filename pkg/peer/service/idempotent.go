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

// doIdempotent sends an idempotent request and retries the request on another target if a target fails. A target that does not
// respond within its usual latency counts as failed once another target takes the request.
func (c *Client) doIdempotent(ctx context.Context, req Request) (Response, error) {
	all := c.targets(req.Service)
	c.retryBudget.RecordRequest("workspace/"+req.Workspace, c.now())
	call := &idempotentCall{client: c, req: req, targets: all, ran: outcome.NotRun}
	for more := call.choose(); more; {
		more = call.attempt(ctx) && call.chooseRetry(ctx)
	}
	return call.result(ctx)
}

// idempotentCall is an idempotent request and the results of its attempts.
type idempotentCall struct {
	client    *Client
	req       Request
	targets   []target.Target
	chosen    *target.Target  // chosen is the target of the next attempt, or nil if none is chosen yet.
	tried     []string        // tried has the names of the targets of all attempts.
	asked     bool            // asked means that the retry budgets were asked for the next attempt.
	paid      bool            // paid means that they allowed it.
	ran       outcome.Outcome // ran is NotRun until an attempt may have reached a target, and then Unknown.
	response  Response
	limited   bool // limited means that the targets that remain take no more requests now.
	responded bool // responded means that response is set, to the last response of a target.
	lastErr   error
}

// choose chooses the target of the next attempt. It reports whether a target takes the request.
func (c *idempotentCall) choose() bool {
	chosen, err := c.client.balancer.choose(c.targets, c.tried, c.client.now())
	c.limited = errors.Is(err, errLimited)
	if err != nil {
		return false
	}
	c.chosen = &chosen
	return true
}

// chooseRetry chooses the target of a further attempt, unless that is done. It reports whether there is one.
func (c *idempotentCall) chooseRetry(ctx context.Context) bool {
	if c.chosen != nil {
		return true
	}
	if !c.mayRetry() || !c.takeRetry(ctx) || !c.choose() {
		return false
	}
	c.asked = false
	c.client.counters.retries.Inc(1)
	return true
}

// mayRetry reports whether a further attempt is possible, disregarding the retry budgets and the request limits of targets.
func (c *idempotentCall) mayRetry() bool {
	return len(c.tried) < maxAttempts && len(c.tried) < len(c.targets)
}

// attempt sends the request to the chosen target. It reports whether the request needs a further attempt, whose target may be
// chosen already.
func (c *idempotentCall) attempt(ctx context.Context) bool {
	chosen := *c.chosen
	c.chosen, c.tried = nil, append(c.tried, chosen.Name)
	c.client.retryBudget.RecordRequest("target/"+chosen.Name, c.client.now())
	start := c.client.now()
	response, err := c.dispatch(ctx, chosen)
	c.client.balancer.finish(chosen.Name, start, c.client.now(), err == nil)
	if err != nil {
		c.recordFailure(err)
		return true
	}
	c.response, c.responded, c.ran = response, true, outcome.Unknown
	if isTransient(response.Status) {
		return true
	}
	c.releaseChosen()
	return false
}

// dispatch sends the request to a target. If the target does not respond within its usual latency, another target is looked for
// until one takes the request, and only then is the attempt given up: its target may have run the request and may still respond.
// Without a retry budget, the attempt is given up at once.
func (c *idempotentCall) dispatch(ctx context.Context, t target.Target) (Response, error) {
	if !c.mayRetry() {
		return c.send(ctx, t)
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan sentResult, 1)
	go func() {
		response, err := c.send(bounded, t)
		sent <- sentResult{response, err}
	}()
	result, done := c.await(ctx, t.Name, sent)
	if !done {
		cancel()
		result = <-sent
	}
	return result.response, result.err
}

// await waits for the result of the request to a target. It reports false if the attempt is to be given up.
func (c *idempotentCall) await(ctx context.Context, name string, sent <-chan sentResult) (sentResult, bool) {
	ticker := time.NewTicker(c.client.balancer.attemptTimeout(name))
	defer ticker.Stop()
	for ejected := false; ; ejected = true {
		select {
		case result := <-sent:
			return result, true
		case <-ticker.C:
		}
		if !ejected {
			c.client.balancer.eject(name, c.client.now())
		}
		if c.chooseRetry(ctx) || !c.paid {
			return sentResult{}, false
		}
	}
}

// sentResult is the result of a request to one target.
type sentResult struct {
	response Response
	err      error
}

// send sends the request to a target and waits for the response. It changes no field of the call.
func (c *idempotentCall) send(ctx context.Context, t target.Target) (Response, error) {
	connections := c.client.unpooled
	if c.client.echoing.contains(t.Address) {
		connections = c.client.pooled
	}
	return c.client.dispatch(ctx, connections, t, c.req)
}

// releaseChosen ends the request that is counted for the target of a further attempt, which is not needed.
func (c *idempotentCall) releaseChosen() {
	if c.chosen != nil {
		c.client.balancer.release(c.chosen.Name, c.client.now())
		c.chosen = nil
	}
}

func (c *idempotentCall) recordFailure(err error) {
	c.lastErr = err
	if refusal.OutcomeOf(err) != outcome.NotRun {
		c.ran = outcome.Unknown
	}
	c.client.logger.Warn().Str("Request", c.req.ID).Str("Workspace", c.req.Workspace).Err(err).Msg("service target failed")
}

// takeRetry reports whether the retry budgets of the workspace and of the last target allow a retry, and if so takes the retry.
// The budgets are asked once for each further attempt, so a retry that found no target is kept. If only the workspace's budget
// allows it, the retry is still taken from that budget.
func (c *idempotentCall) takeRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if !c.asked {
		now := c.client.now()
		c.asked = true
		c.paid = c.client.retryBudget.Allow("workspace/"+c.req.Workspace, now) &&
			c.client.retryBudget.Allow("target/"+c.tried[len(c.tried)-1], now)
	}
	return c.paid
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
