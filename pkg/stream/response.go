package stream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// answer is one answer in the making. It belongs to the goroutine that called Run.
type answer struct {
	runner     *Runner
	req        Request
	emit       func(Token) error
	summary    Summary
	tokens     []uint32 // tokens are the tokens already emitted.
	reached    reached
	avoid      []avoided
	waits      int  // waits counts the pauses, which are bounded for the whole answer.
	apartWaits int  // apartWaits counts the pauses of a suspect for targets without other suspects.
	retries    int  // retries counts the new generations after a step was sent.
	apart      bool // apart means that the content is suspected of a crash.
	resumed    bool // resumed means that the free resume has been used.
	began      time.Time
	latest     time.Time // latest is when the latest token was emitted.
	refused    error     // refused is the error of emit.
}

// reached is how far the request got on any target. It only rises.
type reached int

const (
	nowhere reached = iota // No byte of the request reached a target, or every target proved that it ran nothing.
	perhaps                // A step may have reached a target.
	ran                    // A target answered a step that it ran.
)

func newAnswer(r *Runner, req Request, emit func(Token) error) *answer {
	now := r.now()
	return &answer{runner: r, req: req, emit: emit, began: now, latest: now}
}

func (a *answer) reach(r reached) {
	a.reached = max(a.reached, r)
}

// outcome is what is known about the execution of an answer that is given up.
func (a *answer) outcome() outcome.Outcome {
	switch a.reached {
	case nowhere:
		return outcome.NotRun
	case perhaps:
		return outcome.Unknown
	default:
		return outcome.Failed
	}
}

func (a *answer) run(ctx context.Context) error {
	a.runner.counters.answers.Inc(1)
	a.runner.budget.RecordRequest(workspaceKey(a.req.Workspace), a.runner.now())
	err := a.generations(ctx)
	if err != nil {
		a.runner.counters.failed.Inc(1)
	}
	return err
}

// generations runs generation after generation until the answer is complete or given up.
func (a *answer) generations(ctx context.Context) error {
	for {
		if err := a.awaitVerdict(ctx); err != nil {
			return err
		}
		g, err := a.place(ctx)
		if err != nil {
			return err
		}
		err = g.run(ctx)
		f := faultOf(err)
		if f != nil {
			a.learn(f)
		}
		g.end()
		if f == nil {
			return a.final(ctx, err)
		}
		if err := a.mayRetry(ctx, f); err != nil {
			return err
		}
	}
}

// awaitVerdict refuses quarantined content. An answer that has begun waits a little while its content
// is held, since a crash is usually explained soon.
func (a *answer) awaitVerdict(ctx context.Context) error {
	for {
		verdict := a.runner.ledger.Check(a.req.Fingerprint, a.runner.now())
		a.apart = verdict == Suspected
		switch verdict {
		case Quarantined:
			return a.quarantined()
		case Held:
			if a.reached == nowhere || a.pause(ctx) != nil {
				return a.held()
			}
		default:
			return nil
		}
	}
}

// final turns the end of the last generation into the answer's end.
func (a *answer) final(ctx context.Context, err error) error {
	if err == nil {
		a.runner.ledger.RequestCompleted(a.req.Fingerprint)
		return nil
	}
	if a.refused != nil {
		return a.refused
	}
	if ctx.Err() != nil {
		return a.expired(ctx)
	}
	return refusal.FromError(err)
}

// accept emits the next token.
func (a *answer) accept(id uint32, text string) error {
	now := a.runner.now()
	if len(a.tokens) == 0 {
		a.summary.FirstToken = now.Sub(a.began)
	} else {
		a.summary.LongestGap = max(a.summary.LongestGap, now.Sub(a.latest))
	}
	a.latest = now
	token := Token{Index: len(a.tokens), ID: id, Text: text}
	a.tokens = append(a.tokens, id)
	a.summary.CompletionTokens = len(a.tokens)
	a.runner.counters.tokens.Inc(1)
	a.refused = a.emit(token)
	return a.refused
}

// QuarantineRetryAfter is how long a quarantine lasts. A repeat before its end is refused again.
const QuarantineRetryAfter = 10 * time.Minute

// heldRetryAfter is the time in which the other suspects of a crash are usually cleared.
const heldRetryAfter = 5 * time.Second

func (a *answer) quarantined() error {
	return refusal.New(http.StatusUnprocessableEntity, "request_quarantined", outcome.Failed,
		"targets crashed while they ran this request; it is not run again until its quarantine ends").WithRetryAfter(QuarantineRetryAfter)
}

func (a *answer) held() error {
	return refusal.New(http.StatusServiceUnavailable, "request_held", a.outcome(),
		"targets crashed while they ran this request; it waits until the cause is known").WithRetryAfter(heldRetryAfter)
}

// expired is the refusal of an answer whose caller has left or whose deadline has passed.
func (a *answer) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, "deadline_exceeded", a.outcome(),
			"the request's timeout passed before its answer was complete").WithRetryAfter(overloadRetryAfter).WithCause(context.Cause(ctx))
	}
	return refusal.New(statusClientClosed, "cancelled", a.outcome(),
		"the caller cancelled the request").WithCause(context.Cause(ctx))
}

// statusClientClosed is in common use for a client that closed its connection. No client sees it.
const statusClientClosed = 499
