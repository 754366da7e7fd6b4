package proxy

import "errors"

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
		changed = s.requestLimiter.RecordLimit(name, named.PerSecond)
	} else {
		changed = s.requestLimiter.RecordNone(name)
	}
	if changed {
		s.logger.Info().Str("Target", name).Bool("Limited", named.Named).Float64("PerSecond", named.PerSecond).Msg("request limit changed")
	}
}
