package stream

import (
	"errors"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// kind is the way in which a stage failed a step.
type kind string

const (
	crashed     kind = "Crashed"     // The connection broke after a step may have reached the stage.
	unreachable kind = "Unreachable" // The stage could not be reached.
	frozen      kind = "Frozen"      // The step's deadline passed.
	missingKv   kind = "MissingKv"   // The stage has lost the KV cache.
	refused     kind = "Refused"     // The stage does not hold the layers.
	overloaded  kind = "Overloaded"  // The stage's queue is full.
	leaving     kind = "Leaving"     // The stage is leaving.
	failed      kind = "Failed"      // The step ran and failed.
	mismatched  kind = "Mismatched"  // The answer belongs to another step.
)

var errFrozen = errors.New("the step's deadline passed")

// fault is a failed stage, after which the answer may continue in a new generation.
type fault struct {
	stage  int
	target string
	kind   kind
	cause  error
	began  time.Time // began is when the generation began.
	gone   bool      // gone means that the target is lost, not merely slow or full.
}

func (f *fault) Error() string {
	return fmt.Sprintf("stage %s: %s: %v", f.target, f.kind, f.cause)
}

func (f *fault) Unwrap() error {
	return f.cause
}

func (g *generation) fault(stage int, k kind, cause error) error {
	return g.faultWith(stage, k, cause, k == missingKv)
}

func (g *generation) faultWith(stage int, k kind, cause error, gone bool) error {
	return &fault{stage: stage, target: g.route[stage].Name, kind: k, cause: cause, began: g.began, gone: gone}
}

func faultOf(err error) *fault {
	var f *fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

func kindOf(s enginepb.StepStatus) kind {
	switch s {
	case enginepb.StepStatus_STEP_STATUS_MISSING_KV:
		return missingKv
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
