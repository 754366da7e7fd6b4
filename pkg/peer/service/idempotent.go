package service

import (
	"context"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// maxAttempts bounds the targets that one idempotent request is sent to.
const maxAttempts = 3

// repeat sends an idempotent request, and sends it again to another target when one fails. A target
// that does not answer in its usual time counts as failed while other attempts remain.
func (c *Client) repeat(ctx context.Context, req Request) (Response, error) {
	all := c.targets(req.Service)
	c.budget.RecordRequest("workspace/"+req.Workspace, c.now())
	trial := &trial{client: c, req: req, all: all, ran: outcome.NotRun}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !trial.mayRetry(ctx) {
			break
		}
		if trial.attempt(ctx, attempt) {
			return trial.answer, nil
		}
	}
	return trial.give(ctx)
}

// trial is one idempotent request and what its attempts gave.
type trial struct {
	client   *Client
	req      Request
	all      []target.Target
	avoid    []string
	ran      outcome.Outcome
	answer   Response
	answered bool
	last     error
}

// attempt reports whether the answer needs no further attempt.
func (t *trial) attempt(ctx context.Context, number int) bool {
	chosen, ok := t.client.balancer.choose(t.all, t.avoid, t.client.now())
	if !ok {
		return false
	}
	t.avoid = append(t.avoid, chosen.Name)
	t.client.budget.RecordRequest("target/"+chosen.Name, t.client.now())
	bounded, cancel := t.bound(ctx, chosen.Name, number)
	defer cancel()
	began := t.client.now()
	answer, err := t.client.dispatch(bounded, t.client.pooled, chosen, t.req)
	t.client.balancer.done(chosen.Name, began, t.client.now(), err == nil)
	if err != nil {
		t.note(err)
		return false
	}
	t.answer, t.answered, t.ran = answer, true, outcome.Unknown
	return !isTransient(answer.Status)
}

// bound gives the last possible attempt all the time that remains.
func (t *trial) bound(ctx context.Context, name string, number int) (context.Context, context.CancelFunc) {
	if number == maxAttempts || len(t.avoid) >= len(t.all) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, t.client.balancer.deadline(name))
}

func (t *trial) note(err error) {
	t.last = err
	if refusal.OutcomeOf(err) != outcome.NotRun {
		t.ran = outcome.Unknown
	}
	t.client.logger.Warn().Str("Request", t.req.ID).Str("Workspace", t.req.Workspace).Err(err).Msg("a service target failed")
}

func (t *trial) mayRetry(ctx context.Context) bool {
	now := t.client.now()
	failed := t.avoid
	if ctx.Err() != nil || len(failed) == 0 || !t.client.budget.Allow("workspace/"+t.req.Workspace, now) {
		return false
	}
	if !t.client.budget.Allow("target/"+failed[len(failed)-1], now) {
		return false
	}
	t.client.counters.retries.Inc(1)
	return true
}

// isTransient reports whether another target may answer better.
func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// give returns a target's own failure where there is one, and otherwise the refusal.
func (t *trial) give(ctx context.Context) (Response, error) {
	switch {
	case t.answered:
		return t.answer, nil
	case ctx.Err() != nil:
		return Response{}, refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", t.ran,
			"the request's timeout passed before the service %s answered", t.req.Service).WithRetryAfter(failedRetryAfter).WithCause(t.last)
	case t.last == nil || t.ran == outcome.NotRun:
		return Response{}, t.client.noTarget(t.req).WithCause(t.last)
	default:
		return Response{}, refusal.New(http.StatusBadGateway, "service_failed", outcome.Unknown,
			"the service %s did not answer", t.req.Service).WithRetryAfter(failedRetryAfter).WithCause(t.last)
	}
}

// failedRetryAfter is the time in which a failed target is usually avoided by every instance.
const failedRetryAfter = time.Second
