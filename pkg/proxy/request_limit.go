package proxy

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// requestLimited is the type of errors of requests that only targets could run which take no more requests now.
var requestLimited = errorx.NewNamespace("proxy").NewType("limited")

// recordRequestLimit records the request limit that a response of a target names, or that it names none. err is the error of
// an attempt; only a refusal by the target itself is a response.
func (s *Server) recordRequestLimit(name string, response *Response, err error) {
	var named RequestLimit
	var attemptErr *AttemptError
	switch {
	case err == nil:
		named = response.RequestLimit
	case errors.As(err, &attemptErr) && attemptErr.Refused && !attemptErr.Misdirected:
		named = attemptErr.RequestLimit
	default:
		return
	}
	changed := false
	if named.Named {
		changed = s.requestLimiter.RecordLimit(name, named.PerSecond, time.Now())
	} else {
		changed = s.requestLimiter.RecordNone(name, time.Now())
	}
	if changed {
		s.logger.Info().Str("Target", name).Bool("Limited", named.Named).Float64("PerSecond", named.PerSecond).Msg("request limit changed")
	}
}

// acquire reports whether the target's request limit allows to send it the request now, and counts the request if so.
func (r *activeRequest) acquire(name string) bool {
	limiter := r.server.requestLimiter
	if _, limited := limiter.PerSecond(name); !limited {
		return true
	}
	now := time.Now()
	if !r.demanded[name] {
		if r.demanded == nil {
			r.demanded = make(map[string]bool)
		}
		r.demanded[name] = true
		limiter.RecordDemand(name, now)
	}
	return limiter.Acquire(name, now)
}

// refuseLimited returns the refusal of a request for which all targets are limited.
func (r *activeRequest) refuseLimited(cause error) error {
	r.server.counters.limited.Inc(1)
	return r.refuse("targets_limited", "the targets take no more requests now", cause)
}
