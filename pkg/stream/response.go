package stream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// response is the state of one response. It is used only by the goroutine that called Run.
type response struct {
	runner         *Runner
	req            Request
	emit           func(Token) error
	summary        Summary
	tokens         []uint32 // tokens are the tokens already emitted.
	progress       progress
	excluded       []excludedTarget
	waits          int  // waits counts the backoffs, which maxWaits bounds for the whole response.
	exclusiveWaits int  // exclusiveWaits counts the waits of a suspect for targets without other suspects.
	retries        int  // retries counts the new generations after a step was sent.
	exclusive      bool // exclusive means that the request is a suspect of a crash, so its next route must be exclusive.
	freeResumeUsed bool // freeResumeUsed means that the one resume outside the retry budget has been used.
	startedAt      time.Time
	lastTokenAt    time.Time // lastTokenAt is when the last token was emitted.
	emitErr        error     // emitErr is the last error of emit.
}

// progress is how far the request got on any target. It never decreases.
type progress int

const (
	notReached   progress = iota // No byte of the request reached a target, or every target is known to have run nothing.
	maybeReached                 // A step may have reached a target.
	executed                     // A target returned the result of a step that it ran.
)

func newResponse(r *Runner, req Request, emit func(Token) error) *response {
	now := r.now()
	return &response{runner: r, req: req, emit: emit, startedAt: now, lastTokenAt: now}
}

// raiseProgress sets the progress to p unless the progress is further already.
func (r *response) raiseProgress(p progress) {
	r.progress = max(r.progress, p)
}

// outcome returns the outcome of a response that ends early, by the progress of the request.
func (r *response) outcome() outcome.Outcome {
	switch r.progress {
	case notReached:
		return outcome.NotRun
	case maybeReached:
		return outcome.Unknown
	default:
		return outcome.Failed
	}
}

// run generates the response and updates the counters and the retry budget.
func (r *response) run(ctx context.Context) error {
	r.runner.counters.responses.Inc(1)
	r.runner.retryBudget.RecordRequest(workspaceKey(r.req.Workspace), r.runner.now())
	err := r.runGenerations(ctx)
	if err != nil {
		r.runner.counters.failed.Inc(1)
	}
	return err
}

// runGenerations runs generations until the response is complete or abandoned.
func (r *response) runGenerations(ctx context.Context) error {
	for {
		if err := r.awaitVerdict(ctx); err != nil {
			return err
		}
		g, err := r.startGeneration(ctx)
		if err != nil {
			return err
		}
		err = g.run(ctx)
		f := failureOf(err)
		if f != nil {
			r.handleFailure(f)
		}
		g.end()
		if f == nil {
			return r.finalError(ctx, err)
		}
		if err := r.prepareRetry(ctx, f); err != nil {
			return err
		}
	}
}

// awaitVerdict returns an error if the content may not run, and otherwise sets whether the next route must be
// exclusive. While the content is held, a request that may have reached a target waits briefly, since the cause of a
// crash is usually known soon; a request that has not is refused.
func (r *response) awaitVerdict(ctx context.Context) error {
	for {
		verdict := r.runner.crashTracker.Check(r.req.Fingerprint, r.runner.now(), r.req.Parts...)
		r.exclusive = verdict == Suspected
		switch verdict {
		case Quarantined:
			return r.quarantinedError()
		case Held:
			if r.progress == notReached || r.backOff(ctx) != nil {
				return r.heldError()
			}
		default:
			return nil
		}
	}
}

// finalError converts the error of the last generation into the error of the response. If there is none, it reports the
// completed content to the crash tracker.
func (r *response) finalError(ctx context.Context, err error) error {
	if err == nil {
		r.runner.crashTracker.RequestCompleted(r.req.Fingerprint)
		return nil
	}
	if r.emitErr != nil {
		return r.emitErr
	}
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	return refusal.FromError(err)
}

// emitToken passes the next token to the client and records its time.
func (r *response) emitToken(id uint32, text string) error {
	now := r.runner.now()
	if len(r.tokens) == 0 {
		r.summary.FirstToken = now.Sub(r.startedAt)
	} else {
		r.summary.LongestGap = max(r.summary.LongestGap, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	token := Token{Index: len(r.tokens), ID: id, Text: text}
	r.tokens = append(r.tokens, id)
	r.summary.CompletionTokens = len(r.tokens)
	r.runner.counters.tokens.Inc(1)
	r.emitErr = r.emit(token)
	return r.emitErr
}

// QuarantineRetryAfter is the duration of a quarantine. A retry before its end is refused again.
const QuarantineRetryAfter = 10 * time.Minute

// heldRetryAfter is the time in which the other suspects of a crash are usually cleared.
const heldRetryAfter = 5 * time.Second

func (r *response) quarantinedError() error {
	return refusal.New(http.StatusUnprocessableEntity, "request_quarantined", outcome.Failed,
		"targets crashed while they ran this request; it is not run again until its quarantine ends").WithRetryAfter(QuarantineRetryAfter)
}

func (r *response) heldError() error {
	return refusal.New(http.StatusServiceUnavailable, "request_held", r.outcome(),
		"targets crashed while they ran this request; it waits until the cause is known").WithRetryAfter(heldRetryAfter)
}

// contextError returns the refusal of a request whose client disconnected or whose deadline has passed.
func (r *response) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", r.outcome(),
			"the request's timeout passed before its answer was complete").WithRetryAfter(overloadRetryAfter).WithCause(context.Cause(ctx))
	}
	return refusal.New(statusClientClosed, "cancelled", r.outcome(),
		"the caller cancelled the request").WithCause(context.Cause(ctx))
}

// statusClientClosed is the status that proxies commonly use for a client that closed its connection. No client
// receives it.
const statusClientClosed = 499
