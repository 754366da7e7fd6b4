package stream

import (
	"errors"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// failureKind is the kind of a stage failure. Its values are written to the log.
type failureKind string

const (
	crashed     failureKind = "Crashed"     // The connection broke after a step may have reached the stage.
	unreachable failureKind = "Unreachable" // The stage could not be reached.
	frozen      failureKind = "Frozen"      // The step's deadline passed without a response.
	missingKV   failureKind = "MissingKv"   // The stage has lost the KV cache.
	refused     failureKind = "Refused"     // The stage does not hold the layers.
	overloaded  failureKind = "Overloaded"  // The stage's queue is full.
	leaving     failureKind = "Leaving"     // The stage is leaving.
	failed      failureKind = "Failed"      // The step ran and failed.
	mismatched  failureKind = "Mismatched"  // The result belongs to another step.
)

var errFrozen = errors.New("the step's deadline passed")

// stageFailure is the failure of a step on a stage, after which the response may continue in a new generation.
type stageFailure struct {
	stage       int // stage is the index of the stage in the route.
	target      string
	kind        failureKind
	cause       error
	startedAt   time.Time // startedAt is when the generation started.
	unavailable bool      // unavailable means that the target or its KV cache is lost, rather than slow or overloaded.
}

func (f *stageFailure) Error() string {
	return fmt.Sprintf("stage %s: %s: %v", f.target, f.kind, f.cause)
}

func (f *stageFailure) Unwrap() error {
	return f.cause
}

// failure returns a failure of the stage. Only the loss of the KV cache counts as unavailable.
func (g *generation) failure(stage int, k failureKind, cause error) error {
	return g.failureWith(stage, k, cause, k == missingKV)
}

func (g *generation) failureWith(stage int, k failureKind, cause error, unavailable bool) error {
	return &stageFailure{
		stage: stage, target: g.route[stage].Name, kind: k, cause: cause, startedAt: g.startedAt, unavailable: unavailable,
	}
}

// failureOf returns the stage failure that err wraps, or nil if there is none.
func failureOf(err error) *stageFailure {
	var f *stageFailure
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// failureKindOf returns the kind of failure for the status of a step that did not succeed.
func failureKindOf(s enginepb.StepStatus) failureKind {
	switch s {
	case enginepb.StepStatus_STEP_STATUS_MISSING_KV:
		return missingKV
	case enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS:
		return refused
	case enginepb.StepStatus_STEP_STATUS_OVERLOADED:
		return overloaded
	case enginepb.StepStatus_STEP_STATUS_LEAVING:
		return leaving
	default:
		return failed
	}
}
