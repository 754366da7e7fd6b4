// Package stream generates the response to one request with a model whose layers are split across targets.
//
// A Runner sends the prompt through the stages of a route and then decodes token by token. Each step carries the
// request, the generation, the position, the number of positions and the layer range, and each result is checked
// against all of them. If a stage dies, freezes, refuses because it is leaving, or has lost the KV cache, the Runner
// starts a new generation on a new route that excludes the stage. The new generation rebuilds the cache by a prefill
// of the prompt and the tokens already sent, and continues at the next position. It never uses the KV cache of an
// earlier generation, because it is not known whether the failed step ran on the remaining stages.
//
// Usage:
//
//	runner := stream.NewRunner(router, stages, stream.WithCrashTracker(tracker), stream.WithRetryBudget(budget))
//	summary, err := runner.Run(ctx, request, func(t stream.Token) error { return write(t.Text) })
//	if err != nil {
//		refused := refusal.FromError(err) // It holds the outcome and the retry delay.
//	}
package stream

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Stage runs the steps of one stage and frees the state of its generations.
type Stage interface {
	// Step returns the engine's result for the step. An error with a method Ran reports whether the step may have
	// reached the engine; any other error counts as unknown.
	Step(ctx context.Context, step *enginepb.Step) (*enginepb.StepResult, error)
	// Report returns the target's load. It does not wait for steps, so a busy target responds and a frozen one does
	// not.
	Report(ctx context.Context) (*enginepb.Report, error)
	// Cancel frees the KV cache of one generation.
	Cancel(ctx context.Context, request string, generation uint32) error
}

// RouteRequest describes the route that is needed.
type RouteRequest struct {
	Request     string
	Fingerprint uint64
	Model       string
	Layers      int
	PrefixHash  uint64
	PromptBytes int
	Excluded    []string // Excluded names targets that failed during this response.
	Exclusive   bool     // Exclusive asks for targets that run no other suspect of a crash. ReleaseExclusive releases them.
	Now         time.Time
}

// Router chooses routes and records the performance of targets. An adapter of route.Picker implements it.
type Router interface {
	// PickRoute returns targets whose layer ranges, in order, cover the layers of the model exactly once.
	PickRoute(RouteRequest) ([]target.Target, error)
	// ReleaseExclusive releases the targets of an exclusive route.
	ReleaseExclusive(route []target.Target)
	// RequestSent adds cost, in positions, to the outstanding work of the target.
	RequestSent(name string, cost float64, now time.Time)
	// RequestFinished ends what RequestSent added, after a step that took that long.
	RequestFinished(name string, cost float64, took time.Duration, now time.Time)
	// RequestAbandoned ends what RequestSent added for a step without a result.
	RequestAbandoned(name string, cost float64, now time.Time)
	// TargetFailed reports a dead or frozen target.
	TargetFailed(name string, now time.Time)
	// MarkLeaving reports a target that refused new work because it is leaving.
	MarkLeaving(name string)
}

// Verdict is what a CrashTracker knows of a request's content.
type Verdict string

const (
	// Free content may run on any target.
	Free Verdict = "Free"
	// Suspected content may run on targets that run no other suspect.
	Suspected Verdict = "Suspected"
	// Held content may not run until the cause of a crash is known.
	Held Verdict = "Held"
	// Quarantined content may not run.
	Quarantined Verdict = "Quarantined"
)

// CrashTracker records which requests run on which targets and which targets crash. It must be safe for concurrent
// use; an adapter of quarantine.Detector implements it.
type CrashTracker interface {
	Check(fingerprint uint64, now time.Time) Verdict
	// RequestStarted records that a request is about to be sent to a target.
	RequestStarted(request string, fingerprint uint64, target string)
	// RequestProgressed records that a step has passed through the whole route. It is called once for each route.
	RequestProgressed(request string)
	// TargetResponded records that a target responded. It is called for each step and must be cheap.
	TargetResponded(target string)
	// TargetCrashed records that a target died. It is called before RequestFinished for the requests that ran there.
	TargetCrashed(target string, now time.Time)
	// RequestFinished records that a request no longer runs on a target.
	RequestFinished(request, target string)
	// RequestCompleted records that a request with this content was completed.
	RequestCompleted(fingerprint uint64)
}

// RetryBudget limits retries. retry.Budget implements it.
type RetryBudget interface {
	RecordRequest(key string, now time.Time)
	Allow(key string, now time.Time) bool
}

// Request is a request for generated output. The client's deadline is that of the context.
type Request struct {
	ID          string
	Workspace   string
	Model       string
	Layers      int
	Prompt      string
	PrefixHash  uint64
	MaxTokens   int // MaxTokens is at least 1.
	Priority    configuration.Priority
	Fingerprint uint64
}

// Token is one output token.
type Token struct {
	Index int // Index counts the output tokens from 0 without gaps.
	ID    uint32
	Text  string
}

// FinishReason says why a response ended.
type FinishReason string

const (
	// FinishStop means that the model ended the response.
	FinishStop FinishReason = "stop"
	// FinishLength means that the response has the maximum number of tokens.
	FinishLength FinishReason = "length"
)

// Summary describes a complete response, or the part of it before an error.
type Summary struct {
	FinishReason     FinishReason
	PromptTokens     int
	CompletionTokens int
	Generations      uint32
	FirstToken       time.Duration
	LongestGap       time.Duration // LongestGap is the longest time between two tokens.
}
