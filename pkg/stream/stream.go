// Package stream generates the response to one request with a model whose layers are split across targets.
//
// A route is a list of targets, its stages, whose layer ranges cover the layers of the model. A generation is the part
// of a response that is generated on one route. A step runs one or more positions (tokens of the prompt or of the
// output) through the layers of one stage. The first step of a generation on each stage is a prefill of the prompt and
// of the tokens already sent; all later steps decode one position.
//
// A Runner sends the prompt through the stages of a route and then decodes token by token. Each step carries the
// request, the generation, the position, the number of positions and the layer range, and each result is checked
// against all of them. If a stage dies, freezes, refuses because it is leaving, or has lost the KV cache, the Runner
// starts a new generation on a new route that excludes the target of the stage. The new generation rebuilds the KV
// cache by a prefill of the prompt and the tokens already sent, and continues at the next position. A generation never
// uses the KV cache of an earlier generation, because it is not known whether the failed step ran on the remaining
// stages.
//
// Requests with the same fingerprint have the same content. A request is a suspect of a crash if it ran on the target
// that crashed and its content may have caused the crash; see Verdict.
//
// Usage:
//
//	runner := stream.NewRunner(router, stages, stream.WithCrashTracker(tracker), stream.WithRetryBudget(budget))
//	summary, err := runner.Run(ctx, request, func(t stream.Token) error { return write(t.Text) })
//	if err != nil {
//		refused := refusal.FromError(err) // refused holds the outcome and the retry delay.
//	}
package stream

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Stage is the client of one target. It runs the steps of a stage and frees the KV cache of ended generations.
type Stage interface {
	// Step returns the engine's result for the step. If an error has a method Ran, the method reports whether
	// the step may have reached the engine. The outcome of any other error counts as unknown.
	Step(ctx context.Context, step *enginepb.Step) (*enginepb.StepResult, error)
	// Report returns the target's load. The target responds without waiting for its steps, so a busy target responds
	// and a frozen one does not.
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
	Exclusive   bool     // Exclusive asks for targets that run no other suspect; see Router.ReleaseExclusive.
	Now         time.Time
}

// Router chooses routes and records the performance of targets. An adapter of route.Picker implements it.
type Router interface {
	// PickRoute returns targets whose layer ranges, in order, cover the layers of the model exactly once. If the
	// request is exclusive, PickRoute also reserves the targets.
	PickRoute(RouteRequest) ([]target.Target, error)
	// ReleaseExclusive releases the targets of an exclusive route.
	ReleaseExclusive(route []target.Target)
	// RequestSent adds cost, in positions, to the outstanding work of the target.
	RequestSent(name string, cost float64, now time.Time)
	// RequestFinished removes the cost that RequestSent added, after the step ran successfully in the time took.
	RequestFinished(name string, cost float64, took time.Duration, now time.Time)
	// RequestAbandoned removes the cost that RequestSent added, after a step that did not run successfully.
	RequestAbandoned(name string, cost float64, now time.Time)
	// TargetFailed reports a dead, unreachable or frozen target.
	TargetFailed(name string, now time.Time)
	// MarkLeaving reports a target that refused new work because it is leaving.
	MarkLeaving(name string)
}

// Verdict is the decision of a CrashTracker on where the content of a request may run.
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
	// Check returns the verdict on the content with that fingerprint, and with parts of these fingerprints.
	Check(fingerprint uint64, now time.Time, parts ...uint64) Verdict
	// RequestStarted records that a request is about to be sent to a target. parts are the fingerprints of the parts of
	// its content that other requests may share.
	RequestStarted(request string, fingerprint uint64, target string, parts ...uint64)
	// RequestProgressed records that the prefill has passed through the whole route. It is called once for each route.
	RequestProgressed(request string)
	// TargetResponded records that a target responded. It is called for each step and must be cheap.
	TargetResponded(target string)
	// TargetCrashed records that a target died. It is called before RequestFinished for the requests that ran on the
	// target.
	TargetCrashed(target string, now time.Time)
	// RequestFinished records that a request no longer runs on a target.
	RequestFinished(request, target string)
	// RequestCompleted records that a request with the content of that fingerprint was completed.
	RequestCompleted(fingerprint uint64)
}

// RetryBudget limits retries for each key. retry.Budget implements it.
type RetryBudget interface {
	// RecordRequest records a first attempt, which adds to the budget of the key.
	RecordRequest(key string, now time.Time)
	// Allow reports whether a retry may run, and consumes budget of the key if so.
	Allow(key string, now time.Time) bool
}

// Request is a request for generated output. The deadline of the context passed to Run is the client's deadline.
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
	Parts       []uint64 // Parts are the fingerprints of the messages that other requests may share.
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
