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
	// tableRetryAfter is the typical length of a short outage of the table service.
	tableRetryAfter = 5 * time.Second
	// noTargetRetryAfter covers the poll interval of the target list, after which a replacement target is listed.
	noTargetRetryAfter = 2 * time.Second
	// heldRetryAfter is the time in which the request that holds a claim usually gets its response.
	heldRetryAfter = 2 * time.Second
	// finishTimeout limits one attempt to store the first response.
	finishTimeout = 2 * time.Second
	// finishAttempts and finishInterval retry storing the first response for half a minute. Until the response is
	// stored, requests with the same key get the outcome Unknown.
	finishAttempts = 8
	finishInterval = 2 * time.Second
	// abandonTimeout limits the release of a claim whose request was not run. If the release fails, the claim stays
	// held, and requests with the same key get the outcome Unknown.
	abandonTimeout = time.Second
	// maxKeyBytes limits the Idempotency-Key, which becomes part of a row key in the table service.
	maxKeyBytes = 255
)

// doAtMostOnce handles a non-idempotent request: it claims the key, dispatches the request at most once and stores
// the response.
func (c *Client) doAtMostOnce(ctx context.Context, req Request) (Response, error) {
	if err := validateKey(req); err != nil {
		return Response{}, err
	}
	claim, err := c.claim(ctx, req)
	if err != nil {
		return Response{}, refusal.New(http.StatusServiceUnavailable, "claim_unavailable", outcome.NotRun,
			"the request could not be claimed, so it was not run").WithRetryAfter(tableRetryAfter).WithCause(err)
	}
	switch claim.State {
	case Won:
		return c.dispatchClaimed(ctx, req, claim)
	case Finished:
		c.counters.replayed.Inc(1)
		response := claim.Response
		response.Replayed = true
		return response, nil
	case Mismatch:
		return Response{}, refusal.New(http.StatusUnprocessableEntity, "idempotency_key_reused", outcome.NotRun,
			"the Idempotency-Key was used before with a different request")
	default:
		c.counters.unknown.Inc(1)
		return Response{}, refusal.New(http.StatusConflict, "claim_held", outcome.Unknown,
			"an earlier request with this Idempotency-Key has not reported its outcome").WithRetryAfter(heldRetryAfter)
	}
}

// claim tries to win the claim on the request's key. It continues if the client disconnects: if it stopped, the claimer
// could still store the claim as won, and the claim would stay held although no request is dispatched.
func (c *Client) claim(ctx context.Context, req Request) (Claim, error) {
	detached, cancel := detach(ctx)
	defer cancel()
	return c.claimer.Claim(detached, ClaimKey{Workspace: req.Workspace, Key: req.IdempotencyKey, Content: req.contentHash()})
}

func validateKey(req Request) error {
	if req.IdempotencyKey == "" {
		return refusal.New(http.StatusBadRequest, "idempotency_key_missing", outcome.NotRun,
			"requests of the kind %s run at most once and need an Idempotency-Key header", req.Kind)
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		return refusal.New(http.StatusBadRequest, "idempotency_key_too_long", outcome.NotRun,
			"the Idempotency-Key has %d bytes; at most %d are accepted", len(req.IdempotencyKey), maxKeyBytes)
	}
	return nil
}

// dispatchClaimed dispatches a request that won its claim, and stores the response or releases the claim. It continues
// if the client disconnects, so that a repeated request gets the first response.
func (c *Client) dispatchClaimed(ctx context.Context, req Request, claim Claim) (Response, error) {
	if ctx.Err() != nil {
		c.abandonClaim(ctx, req, claim)
		return Response{}, refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", outcome.NotRun,
			"the request's timeout passed before it was sent").WithRetryAfter(failedRetryAfter).WithCause(ctx.Err())
	}
	detached, cancel := detach(ctx)
	defer cancel()
	response, err := c.dispatchOnce(detached, req)
	if err == nil {
		c.storeResponse(ctx, req, claim, response)
		return response, nil
	}
	if refusal.OutcomeOf(err) == outcome.NotRun {
		c.abandonClaim(ctx, req, claim)
		return Response{}, c.notRunError(req, err)
	}
	return Response{}, c.unknownError(req, claim, err)
}

// detach returns a context with the deadline of ctx but without its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// dispatchOnce dispatches a non-idempotent request. It tries another target only if no byte was written to the previous
// target.
func (c *Client) dispatchOnce(ctx context.Context, req Request) (Response, error) {
	all := c.targets(req.Service)
	var excluded []string
	var last error = c.noTargetError(req)
	for {
		t, err := c.balancer.choose(all, excluded, c.now())
		switch {
		case errors.Is(err, errLimited):
			return Response{}, c.limitedError(req)
		case err != nil:
			return Response{}, last
		}
		response, err := c.attemptTarget(ctx, t, req)
		if err == nil || refusal.OutcomeOf(err) != outcome.NotRun || ctx.Err() != nil {
			return response, err
		}
		excluded, last = append(excluded, t.Name), err
	}
}

// attemptTarget dispatches a request to one target and records the result in the balancer and the counters.
func (c *Client) attemptTarget(ctx context.Context, t target.Target, req Request) (Response, error) {
	start := c.now()
	response, err := c.dispatch(ctx, c.unpooled, t, req)
	c.balancer.finish(t.Name, start, c.now(), err == nil)
	if err == nil || refusal.OutcomeOf(err) != outcome.NotRun {
		c.counters.dispatched.Inc(1)
	}
	return response, err
}

func (c *Client) notRunError(req Request, err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	return c.noTargetError(req).WithCause(err)
}

func (c *Client) unknownError(req Request, claim Claim, err error) error {
	c.counters.unknown.Inc(1)
	c.logger.Warn().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", claim.ID).Err(err).
		Msg("outcome of a non-idempotent request is unknown")
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return refusal.New(status, "outcome_unknown", outcome.Unknown,
		"the request was sent and its answer was lost; it is not sent again").WithCause(err)
}

// abandonClaim releases a claim whose request was not run, so that a repeated request can win it.
func (c *Client) abandonClaim(ctx context.Context, req Request, claim Claim) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	if err := c.claimer.Abandon(bounded, claim); err != nil {
		c.logger.Warn().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", claim.ID).Err(err).
			Msg("failed to abandon a claim; it stays held")
	}
}

// storeResponse stores the first response for repeated requests. If that fails, it returns without an error, so that the
// client gets the response, and retries in the background.
func (c *Client) storeResponse(ctx context.Context, req Request, claim Claim, response Response) {
	detached := context.WithoutCancel(ctx)
	if c.finishClaim(detached, claim, response) == nil {
		return
	}
	leave := c.drain.EnterDependent()
	go func() {
		defer leave()
		c.retryFinish(detached, req, claim, response)
	}()
}

func (c *Client) finishClaim(ctx context.Context, claim Claim, response Response) error {
	bounded, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	return c.claimer.Finish(bounded, claim, response)
}

func (c *Client) retryFinish(ctx context.Context, req Request, claim Claim, response Response) {
	var err error
	for range finishAttempts {
		time.Sleep(finishInterval)
		if err = c.finishClaim(ctx, claim, response); err == nil {
			return
		}
	}
	c.counters.unstored.Inc(1)
	c.logger.Error().Str("Request", req.ID).Str("Workspace", req.Workspace).Str("Claim", claim.ID).Err(err).
		Msg("failed to store a first response; repeated requests get the outcome Unknown")
}
