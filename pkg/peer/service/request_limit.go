package service

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

const (
	// requestLimitHeader names the requests a second that a target takes from all instances together.
	requestLimitHeader = "Cuminroute-Request-Limit"
	// limitedRetryAfter is the Retry-After while the targets take no more requests. Permits arise all the time.
	limitedRetryAfter = time.Second
)

// recordRequestLimit records the request limit that a response names, or that it names none. A value that is not a valid number
// names none.
func (c *Client) recordRequestLimit(name string, header http.Header) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header.Get(requestLimitHeader)), 64)
	named := err == nil && !math.IsNaN(perSecond) && perSecond >= 0
	changed := false
	if named {
		changed = c.requestLimiter.RecordLimit(name, perSecond, c.now())
	} else {
		changed = c.requestLimiter.RecordNone(name, c.now())
	}
	if changed {
		c.logger.Info().Str("Target", name).Bool("Limited", named).Float64("PerSecond", perSecond).Msg("request limit changed")
	}
}

// acquire reports whether the target's request limit allows a request now, and counts the request if so.
func (c *Client) acquire(name string, now time.Time) bool {
	c.requestLimiter.RecordDemand(name, now)
	return c.requestLimiter.Acquire(name, now)
}

// limitedError returns the refusal of a request for which all targets are limited.
func (c *Client) limitedError(req Request) *refusal.Error {
	c.counters.limited.Inc(1)
	return refusal.New(http.StatusServiceUnavailable, "targets_limited", outcome.NotRun,
		"the targets of the service %s take no more requests now", req.Service).WithRetryAfter(limitedRetryAfter)
}
