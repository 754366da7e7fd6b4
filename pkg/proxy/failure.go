package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// maxRefusals bounds how many targets may refuse one request without running it.
	maxRefusals = 4
	// nearlyFullUtilization is the fraction of a target's KV cache in use above which a refusal is taken for lack of
	// memory.
	nearlyFullUtilization = 0.7
)

// mayRetry reports whether the request may be retried after an attempt that may have run. If so, it takes the retry
// from the retry budget.
func (r *activeRequest) mayRetry() bool {
	return r.route.Retryable() && r.attempts < r.route.MaxAttempts && r.takeRetry()
}

// takeRetry takes one retry from the retry budget and reports whether the budget allowed it.
func (r *activeRequest) takeRetry() bool {
	if r.server.retryBudget.Allow(r.service.Name, time.Now()) {
		return true
	}
	r.server.counters.retriesDenied.Inc(1)
	return false
}

// handleFailure records the failure of an attempt. It returns the final refusal, or nil if the request may be retried;
// the retry is then taken from the retry budget.
func (r *activeRequest) handleFailure(err error, p path.Path) error {
	now := time.Now()
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		attemptErr = &AttemptError{Sent: true, Cause: err}
	}
	r.recordFailure(attemptErr, p, now)
	if attemptErr.NotRun {
		r.refusals++
		if r.refusals < maxRefusals && time.Until(r.deadline) > 0 && r.takeRetry() {
			return nil
		}
		return r.refuse("targets_refused", "the targets have no room", attemptErr)
	}
	r.attempts++
	if time.Until(r.deadline) <= 0 {
		return timeoutError(attemptErr)
	}
	if r.mayRetry() {
		return nil
	}
	return unknownError("target_failed", "the target gave no answer", attemptErr)
}

// refuse returns the refusal of a request that cannot be sent to a target now. Its outcome is Unknown if an earlier attempt
// may have run, also if the client may repeat the request: the client must not be told that it has not run.
func (r *activeRequest) refuse(code, message string, cause error) error {
	if r.mayHaveRunAnywhere() {
		return unknownError(code, message, cause)
	}
	return refusal.New(http.StatusServiceUnavailable, code, outcome.NotRun, "%s", message).WithCause(cause).WithRetryAfter(r.retryAfter(cause))
}

// unknownError returns the final error of a request that a target may have run.
func unknownError(code, message string, cause error) error {
	return refusal.New(http.StatusBadGateway, code, outcome.Unknown, "%s", message).WithCause(cause)
}

// mayHaveRunAnywhere reports whether a target may have run the request.
func (r *activeRequest) mayHaveRunAnywhere() bool {
	return r.attempts > 0 || len(r.mayHaveRun) > 0
}

// checkStatus returns the final error of a request that may run only once if the status of a target's own response would tell the
// client that the request has not run: a target that has not run a request says so otherwise.
func (r *activeRequest) checkStatus(status int) error {
	if r.route.Retryable() || !meansNotRun(status) {
		return nil
	}
	cause := fmt.Errorf("the target responded with status %d, and may have run the request", status)
	return unknownError("target_failed", "the target gave no answer", cause)
}

// meansNotRun reports whether a status tells clients that their request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// recordFailure records the failure of an attempt for the target that caused it, the first one of the path by default,
// and excludes this target from the request.
func (r *activeRequest) recordFailure(attemptErr *AttemptError, p path.Path, now time.Time) {
	failed := failedTarget(attemptErr, p)
	r.exclude(failed.Name)
	if attemptErr.Refused && !attemptErr.Misdirected {
		r.server.stats.RecordRefusal(failed.Name, now)
		switch {
		case r.isNearlyFull(failed):
			r.server.memoryLimit.Refused(now)
		case r.service.Engine != nil:
			r.server.stats.RecordNeedlessRefusal(failed.Name, now)
		}
	} else {
		r.server.stats.RecordFailure(failed.Name, now)
	}
	r.server.logger.Info().Str("Request", r.ID).Str("Target", failed.Name).Str("Address", failed.Address.String()).
		Bool("NotRun", attemptErr.NotRun).Bool("Misdirected", attemptErr.Misdirected).Err(attemptErr.Cause).Msg("attempt failed")
}

// failedTarget returns the target that caused the error of an attempt along a path: the one that the response names, or
// the first one.
func failedTarget(err error, p path.Path) target.Target {
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) {
		if t, ok := p.TargetAt(attemptErr.FailedTarget); ok {
			return t
		}
	}
	return p[0].Target
}

// isNearlyFull reports whether a target that refused the request lacks memory, as far as this instance knows. Otherwise it
// refused for another reason, such as a target behind it on the path that is dead.
func (r *activeRequest) isNearlyFull(t target.Target) bool {
	if r.service.Engine == nil || !t.Layers.Valid() {
		return false
	}
	capacity := r.service.Engine.KVCells(t.Accelerator, t.Layers.Len())
	return float64(r.server.stats.Load(t.Name).KVCells) > nearlyFullUtilization*float64(capacity)
}

// exclude prevents the request from using the target again.
func (r *activeRequest) exclude(name string) {
	if r.excluded == nil {
		r.excluded = make(map[string]bool)
	}
	r.excluded[name] = true
}

// isExcluded reports whether the request must avoid a target: it is excluded, ejected or dead, or the crash tracker
// does not allow the request to run there.
func (r *activeRequest) isExcluded(name string) bool {
	now := time.Now()
	return r.excluded[name] || r.server.stats.Ejected(name, now) || r.server.stats.IsDead(name, now) ||
		!r.server.crashTracker.MayRun(r.ID, r.fingerprint, name, now)
}

// didNotRun reports whether the error proves that the target did not run the request.
func didNotRun(err error) bool {
	var attemptErr *AttemptError
	return errors.As(err, &attemptErr) && attemptErr.NotRun
}

// deadlineError returns the final error of a request whose deadline passed before a target responded. The request is
// refused if no target may have run it.
func (r *activeRequest) deadlineError(cause error) error {
	if !r.mayHaveRunAnywhere() {
		return r.refuse("no_time", "the time ran out before the request was sent to a target that took it", cause)
	}
	return timeoutError(cause)
}

// timeoutError returns the final error of a request that was sent and whose deadline passed.
func timeoutError(cause error) error {
	return refusal.New(http.StatusGatewayTimeout, "timeout", outcome.Unknown, "no answer within the time").WithCause(cause)
}
