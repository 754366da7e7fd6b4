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

const (
	// tableRetryAfter is the usual length of a short outage of the table service.
	tableRetryAfter = 5 * time.Second
	// noTargetRetryAfter covers the polls of the target list, which find a replacement.
	noTargetRetryAfter = 2 * time.Second
	// heldRetryAfter is the time in which a dispatch that still runs usually finishes.
	heldRetryAfter = 2 * time.Second
	// finishTimeout bounds one attempt to store a first answer.
	finishTimeout = 2 * time.Second
	// finishAttempts and finishPause keep trying to store a first answer for half a minute. Until it is stored,
	// repeats are told that the outcome is unknown.
	finishAttempts = 8
	finishPause    = 2 * time.Second
	// abandonTimeout bounds the release of a claim. One that is not released stays held and its key is
	// told Unknown.
	abandonTimeout = time.Second
	// maxKey bounds the Idempotency-Key, which becomes part of a row key.
	maxKey = 255
)

// claimed runs a request that may not be repeated: claim, dispatch at most once, store the answer.
func (c *Client) claimed(ctx context.Context, req Request) (Response, error) {
	if err := checkKey(req); err != nil {
		return Response{}, err
	}
	ticket, err := c.claim(ctx, req)
	if err != nil {
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim_unavailable", outcome.NotRun,
			"the request could not be claimed, so it was not run").WithRetryAfter(tableRetryAfter).WithCause(err)
	}
	switch ticket.State {
	case Won:
		return c.dispatchWon(ctx, req, ticket)
	case Finished:
		c.counters.replayed.Inc(1)
		answer := ticket.Response
		answer.Replayed = true
		return answer, nil
	case Mismatch:
		return Response{}, refusal.New(http.StatusUnprocessableEntity, "idempotency_key_reused", outcome.NotRun,
			"the Idempotency-Key was used before with a different request")
	default:
		c.counters.unknown.Inc(1)
		return Response{}, refusal.New(http.StatusConflict, "claim_held", outcome.Unknown,
			"an earlier request with this Idempotency-Key has not reported its outcome").WithRetryAfter(heldRetryAfter)
	}
}

// claim goes on when the caller disconnects. A claim whose answer nobody reads would stay held.
func (c *Client) claim(ctx context.Context, req Request) (Claim, error) {
	detached, cancel := detach(ctx)
	defer cancel()
	return c.claimer.Claim(detached, ClaimKey{Workspace: req.Workspace, Key: req.IdempotencyKey, Content: req.content()})
}

func checkKey(req Request) error {
	if req.IdempotencyKey == "" {
		return refusal.New(http.StatusBadRequest, "idempotency_key_missing", outcome.NotRun,
			"requests of the kind %s run at most once and need an Idempotency-Key header", req.Kind)
	}
	if len(req.IdempotencyKey) > maxKey {
		return refusal.New(http.StatusBadRequest, "idempotency_key_too_long", outcome.NotRun,
			"the Idempotency-Key has %d bytes; at most %d are accepted", len(req.IdempotencyKey), maxKey)
	}
	return nil
}

// dispatchWon goes on when the caller disconnects, so that its repeat gets the first answer.
func (c *Client) dispatchWon(ctx context.Context, req Request, ticket Claim) (Response, error) {
	if ctx.Err() != nil {
		c.abandon(ctx, req, ticket)
		return Response{}, refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", outcome.NotRun,
			"the request's timeout passed before it was sent").WithRetryAfter(failedRetryAfter).WithCause(ctx.Err())
	}
	detached, cancel := detach(ctx)
	defer cancel()
	answer, err := c.dispatchOnce(detached, req)
	if err == nil {
		c.store(ctx, req, ticket, answer)
		return answer, nil
	}
	if refusal.OutcomeOf(err) == outcome.NotRun {
		c.abandon(ctx, req, ticket)
		return Response{}, c.notRun(req, err)
	}
	return Response{}, c.unknown(req, ticket, err)
}

// detach keeps the deadline of ctx but not its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// dispatchOnce tries another target only where no byte was written to the one before.
func (c *Client) dispatchOnce(ctx context.Context, req Request) (Response, error) {
	all := c.targets(req.Service)
	var avoid []string
	var last error = c.noTarget(req)
	for {
		t, ok := c.balancer.choose(all, avoid, c.now())
		if !ok {
			return Response{}, last
		}
		answer, err := c.attemptOnce(ctx, t, req)
		if err == nil || refusal.OutcomeOf(err) != outcome.NotRun || ctx.Err() != nil {
			return answer, err
		}
		avoid, last = append(avoid, t.Name), err
	}
}

func (c *Client) attemptOnce(ctx context.Context, t target.Target, req Request) (Response, error) {
	began := c.now()
	answer, err := c.dispatch(ctx, c.once, t, req)
	c.balancer.done(t.Name, began, c.now(), err == nil)
	if err == nil || refusal.OutcomeOf(err) != outcome.NotRun {
		c.counters.dispatched.Inc(1)
	}
	return answer, err
}

func (c *Client) notRun(req Request, err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	return c.noTarget(req).WithCause(err)
}

func (c *Client) unknown(req Request, ticket Claim, err error) error {
	c.counters.unknown.Inc(1)
	c.logger.Warn().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", ticket.ID).Err(err).
		Msg("the outcome of a request that may not be repeated is unknown")
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return refusal.New(status, "outcome_unknown", outcome.Unknown,
		"the request was sent and its answer was lost; it is not sent again").WithCause(err)
}

func (c *Client) abandon(ctx context.Context, req Request, ticket Claim) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	if err := c.claimer.Abandon(bounded, ticket); err != nil {
		c.logger.Warn().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", ticket.ID).Err(err).
			Msg("a claim could not be abandoned and stays held")
	}
}

// store keeps the first answer for repeats. Where the first attempt fails, the answer goes out and the
// attempts continue beside it.
func (c *Client) store(ctx context.Context, req Request, ticket Claim, answer Response) {
	detached := context.WithoutCancel(ctx)
	if c.finish(detached, ticket, answer) == nil {
		return
	}
	leave := c.holder.EnterDependent()
	go func() {
		defer leave()
		c.keepFinishing(detached, req, ticket, answer)
	}()
}

func (c *Client) finish(ctx context.Context, ticket Claim, answer Response) error {
	bounded, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	return c.claimer.Finish(bounded, ticket, answer)
}

func (c *Client) keepFinishing(ctx context.Context, req Request, ticket Claim, answer Response) {
	var err error
	for range finishAttempts {
		time.Sleep(finishPause)
		if err = c.finish(ctx, ticket, answer); err == nil {
			return
		}
	}
	c.counters.unstored.Inc(1)
	c.logger.Error().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", ticket.ID).Err(err).
		Msg("a first answer could not be stored; repeats are told that the outcome is unknown")
}
