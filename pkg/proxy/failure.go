package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// maxRefusals bounds the targets asked for one request that refuse without running it.
const maxRefusals = 4

// mayRepeat reports whether the request may be sent to another target after one that may have run it.
func (r *activeRequest) mayRepeat() bool {
	return r.route.Retryable() && r.attempts < r.route.MaxAttempts && r.allowed()
}

// allowed takes a repeated sending out of the retry budget.
func (r *activeRequest) allowed() bool {
	if r.server.budget.Allow(r.service.Name, time.Now()) {
		return true
	}
	r.server.counters.budget.Inc(1)
	return false
}

// failed takes in an attempt without an answer. It returns the final refusal, or nil if the request may be sent again.
func (r *activeRequest) failed(err error, p path.Path) error {
	now := time.Now()
	var f *AttemptError
	if !errors.As(err, &f) {
		f = &AttemptError{Sent: true, Cause: err}
	}
	r.blame(f, p, now)
	if f.NotRun {
		r.refusals++
		if r.refusals < maxRefusals && time.Until(r.deadline) > 0 && r.allowed() {
			return nil
		}
		return r.refused("targets_refused", "the targets have no room", f)
	}
	r.attempts++
	if time.Until(r.deadline) <= 0 {
		return timedOut(f)
	}
	if r.mayRepeat() {
		return nil
	}
	return refusal.New(http.StatusBadGateway, "target_failed", outcome.Unknown, "the target gave no answer").WithCause(f)
}

// refused returns a refusal of a request that has not run, unless an earlier attempt may have.
func (r *activeRequest) refused(code, message string, cause error) error {
	if r.attempts > 0 && !r.route.Retryable() {
		return refusal.New(http.StatusBadGateway, code, outcome.Unknown, "%s", message).WithCause(cause)
	}
	return refusal.New(http.StatusServiceUnavailable, code, outcome.NotRun, "%s", message).WithCause(cause).WithRetryAfter(r.server.retryAfter(r.service))
}

// blame notes which target failed.
func (r *activeRequest) blame(f *AttemptError, p path.Path, now time.Time) {
	culprit := p[0].Target
	if t, ok := p.TargetAt(f.FailedTarget); ok {
		culprit = t
	}
	r.exclude(culprit.Name)
	if f.Refused && !f.Misdirected {
		r.server.meter.RecordRefusal(culprit.Name, now)
	} else {
		r.server.meter.RecordFailure(culprit.Name, now)
	}
	r.server.logger.Info().Str("Request", r.ID).Str("Target", culprit.Name).Str("Address", culprit.Address.String()).
		Bool("NotRun", f.NotRun).Bool("Misdirected", f.Misdirected).Err(f.Cause).Msg("attempt failed")
}

// exclude keeps the request from the target.
func (r *activeRequest) exclude(name string) {
	if r.avoided == nil {
		r.avoided = make(map[string]bool)
	}
	r.avoided[name] = true
}

// avoid reports whether the request had better not use a target.
func (r *activeRequest) avoid(name string) bool {
	now := time.Now()
	return r.avoided[name] || r.server.meter.Ejected(name, now) || r.server.meter.IsDead(name, now) ||
		!r.server.ledger.MayRun(r.ID, r.fingerprint, name, now)
}

// notRun reports whether an attempt failed in a way that proves that the target did not run the request.
func notRun(err error) bool {
	var f *AttemptError
	return errors.As(err, &f) && f.NotRun
}

// outOfTime is the final answer of a request whose time has run out while it was not at a target.
func (r *activeRequest) outOfTime(cause error) error {
	if r.attempts == 0 && len(r.ran) == 0 {
		return r.refused("no_time", "the time ran out before the request was sent to a target that took it", cause)
	}
	return timedOut(cause)
}

// timedOut is the final answer of a request that was sent and whose time has run out.
func timedOut(cause error) error {
	return refusal.New(http.StatusGatewayTimeout, "timeout", outcome.Unknown, "no answer within the time").WithCause(cause)
}
