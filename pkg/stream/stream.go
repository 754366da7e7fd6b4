// Package stream produces one answer from a model that is split across targets.
//
// A Runner sends the prompt through the stages of a route and then decodes token by token. Each step
// carries the request, the generation, the position, the number of positions and the layer range, and
// each answer is checked against all of them. When a stage dies, freezes, refuses because it is
// leaving, or has lost the KV cache, the Runner starts a new generation on a new route that avoids the
// stage, rebuilds the cache by a prefill of the prompt and the tokens already sent, and continues at
// the next position. A new generation never uses the KV cache of an earlier one, because it is not
// known whether the lost step ran on the stages that survive.
//
// Usage:
//
//	runner := stream.NewRunner(router, stages, stream.WithCrashTracker(tracker), stream.WithRetryBudget(budget))
//	summary, err := runner.Run(ctx, request, func(t stream.Token) error { return write(t.Text) })
//	if err != nil {
//		refused := refusal.From(err) // It holds the outcome and the time to come back.
//	}
package stream

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Stage runs the steps of one stage, and frees what a generation holds there.
type Stage interface {
	// Step returns the engine's result for the step. An error with a method Ran tells whether the step
	// may have reached the engine; any other error counts as unknown.
	Step(ctx context.Context, step *enginepb.Step) (*enginepb.StepResult, error)
	// Report returns the target's load. It does not wait for steps, so that a busy target answers it
	// and a frozen one does not.
	Report(ctx context.Context) (*enginepb.Report, error)
	// Cancel frees the KV cache of one generation.
	Cancel(ctx context.Context, request string, generation uint32) error
}

// RouteRequest asks for a route.
type RouteRequest struct {
	Request     string
	Fingerprint uint64
	Model       string
	Layers      int
	PrefixHash  uint64
	PromptBytes int
	Excluded    []string // Avoid names targets that the answer has seen fail.
	Exclusive   bool     // Apart asks for targets that run no other suspect of a crash. Release ends the hold on them.
	Now         time.Time
}

// Router chooses routes and learns how targets do. It is route.Picker behind an adapter.
type Router interface {
	// PickRoute returns targets whose layers tile the model in order.
	PickRoute(RouteRequest) ([]target.Target, error)
	// ReleaseExclusive ends the hold of an Apart placement.
	ReleaseExclusive(route []target.Target)
	// RequestSent counts cost, in positions, as outstanding at the target.
	RequestSent(name string, cost float64, now time.Time)
	// RequestFinished ends what Sent counted, after the step took that long.
	RequestFinished(name string, cost float64, took time.Duration, now time.Time)
	// RequestAbandoned ends what Sent counted for a step without an answer.
	RequestAbandoned(name string, cost float64, now time.Time)
	// TargetFailed reports a target that is dead or frozen.
	TargetFailed(name string, now time.Time)
	// MarkLeaving reports a target that refused new work because it is leaving.
	MarkLeaving(name string)
}

// Verdict is what a Ledger knows of a request's content.
type Verdict string

const (
	// Free content may run anywhere.
	Free Verdict = "Free"
	// Suspected content may run apart from other suspects.
	Suspected Verdict = "Suspected"
	// Held content may not run until a crash is explained.
	Held Verdict = "Held"
	// Quarantined content may not run.
	Quarantined Verdict = "Quarantined"
)

// CrashTracker is told which requests run on which targets and which targets crash. It is quarantine.CrashTracker
// behind an adapter that takes a lock.
type CrashTracker interface {
	Check(fingerprint uint64, now time.Time) Verdict
	// RequestStarted notes that a request is about to be sent to a target.
	RequestStarted(request string, fingerprint uint64, target string)
	// RequestProgressed notes that a step has come through the whole route. It is called once for each route.
	RequestProgressed(request string)
	// TargetResponded notes that a target answered. It is called for each step and must be cheap.
	TargetResponded(target string)
	// TargetCrashed notes that a target died. It comes before Finish of the requests that ran there.
	TargetCrashed(target string, now time.Time)
	// RequestFinished notes that a request no longer runs on a target.
	RequestFinished(request, target string)
	// RequestCompleted notes that a request with this content was answered in full.
	RequestCompleted(fingerprint uint64)
}

// RetryBudget limits retries. It is retry.RetryBudget.
type RetryBudget interface {
	RecordRequest(key string, now time.Time)
	Allow(key string, now time.Time) bool
}

// Request is one request for an answer. The caller's deadline is that of the context.
type Request struct {
	ID          string
	Workspace   string
	Model       string
	Layers      int
	Prompt      string
	PrefixHash  uint64
	MaxTokens   int // MaxTokens is 1 or more.
	Priority    configuration.Priority
	Fingerprint uint64
}

// Token is one token of an answer.
type Token struct {
	Index int // Index counts the answer's tokens from 0 without gaps.
	ID    uint32
	Text  string
}

// FinishReason says why an answer ended.
type FinishReason string

const (
	// FinishStop means that the model ended the answer.
	FinishStop FinishReason = "stop"
	// FinishLength means that the answer has as many tokens as asked for.
	FinishLength FinishReason = "length"
)

// Summary describes a complete answer, or what there was of it before an error.
type Summary struct {
	FinishReason     FinishReason
	PromptTokens     int
	CompletionTokens int
	Generations      uint32
	FirstToken       time.Duration
	LongestGap       time.Duration // LongestGap is the longest time between two tokens.
}
