package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// maxBufferedResponse bounds the responses, in bytes, that are buffered before they are forwarded, so that the request
	// can be retried after a truncated response. Longer responses are forwarded as they arrive.
	maxBufferedResponse = 64 << 10
	// maxUnboundedResponse bounds a response without a length, in bytes: a target may send bytes without end.
	maxUnboundedResponse = 64 << 20
	// nonIdempotentMaxIdle bounds the idle time of a pooled connection used for a request that is not idempotent: a
	// connection that was lost unnoticed would leave the outcome unknown.
	nonIdempotentMaxIdle = 1500 * time.Millisecond
	// maxIdle bounds the idle time of a pooled connection used for other requests.
	maxIdle = 6 * time.Second
	// remoteDataCentrePenalty is added to the estimated response time of a target in another data centre.
	remoteDataCentrePenalty = 3 * time.Millisecond
)

// serveUnary serves a request to a service that is not a model.
func (r *activeRequest) serveUnary(ctx context.Context, w http.ResponseWriter) error {
	for {
		t, err := r.pickTarget()
		if err != nil {
			return err
		}
		if err := r.checkFresh(); err != nil {
			return err
		}
		if err := r.checkQuarantine(); err != nil {
			return err
		}
		done, err := r.tryTarget(ctx, w, t)
		if done || err != nil {
			return err
		}
	}
}

// pickTarget returns the target with the lowest cost whose request limit allows the request, or a refusal. Ejected targets
// are used only if there is no other target.
func (r *activeRequest) pickTarget() (target.Target, error) {
	var denied map[string]bool
	for {
		t, ok := r.cheapestTarget(denied)
		switch {
		case !ok && len(denied) > 0:
			return target.Target{}, r.refuseLimited(nil)
		case !ok:
			return target.Target{}, r.refuse("no_target", "no target takes requests", nil)
		case r.acquire(t.Name):
			return t, nil
		}
		if denied == nil {
			denied = make(map[string]bool)
		}
		denied[t.Name] = true
	}
}

// cheapestTarget returns the target with the lowest cost that is not denied, one that is not ejected if there is any.
func (r *activeRequest) cheapestTarget(denied map[string]bool) (target.Target, bool) {
	now := time.Now()
	var best *target.Target
	bestCost := 0.0
	for _, ejected := range []bool{false, true} {
		for _, t := range r.snapshot.Targets[r.service.Name].Targets() {
			if !t.AcceptsRequests() || r.excluded[t.Name] || denied[t.Name] || r.server.stats.Ejected(t.Name, now) != ejected {
				continue
			}
			cost := r.targetCost(t)
			if best == nil || cost < bestCost {
				best, bestCost = t, cost
			}
		}
		if best != nil {
			return *best, true
		}
	}
	return target.Target{}, false
}

// targetCost returns the estimated response time of a target in seconds, increased for targets that fail often, with
// jitter.
func (r *activeRequest) targetCost(t *target.Target) float64 {
	latency, failureRate := r.server.stats.Health(t.Name)
	load := r.server.stats.Load(t.Name)
	slots := float64(max(t.Slots, 1))
	cost := max(latency, time.Millisecond).Seconds() * (1 + float64(load.Streams)/slots)
	if t.DataCentre != r.server.dataCentre {
		cost += remoteDataCentrePenalty.Seconds()
	}
	return cost * (0.9 + 0.2*r.server.randomFloat()) / max(1-failureRate, 0.05)
}

// tryTarget sends the request to a target. done reports whether the response was written. If neither done is set nor an
// error returned, the request may be sent to another target.
func (r *activeRequest) tryTarget(ctx context.Context, w http.ResponseWriter, t target.Target) (done bool, err error) {
	s := r.server
	p := path.Path{{Target: t}}
	release := s.stats.Reserve(p, 1)
	defer release()
	s.crashTracker.RequestStarted(r.ID, r.fingerprint, t.Name, r.parts...)
	defer s.crashTracker.RequestFinished(r.ID, t.Name)
	r.targets = append(r.targets, t.Name)
	attempt := r.newAttempt(p)
	attempt.MaxIdle = nonIdempotentMaxIdle
	if r.route.Retryable() {
		attempt.MaxIdle = maxIdle
	}
	sent := time.Now()
	response, err := s.upstream.Open(ctx, attempt)
	s.recordRequestLimit(t.Name, response, err)
	if err != nil {
		s.detector.examineAfterBreak(t, err)
		return false, r.handleFailure(err, p)
	}
	body, complete, err := readResponse(ctx, response)
	if err != nil {
		response.Abort()
		broken := &AttemptError{Sent: true, Cause: err}
		s.detector.examineAfterBreak(t, broken)
		return false, r.handleFailure(broken, p)
	}
	s.crashTracker.RequestProgressed(r.ID)
	if response.Status >= http.StatusInternalServerError {
		s.stats.RecordError(t.Name)
		r.attempts++
		if complete && r.mayRetry() {
			response.Release()
			r.exclude(t.Name)
			return false, nil
		}
	} else {
		s.stats.RecordSuccess(t.Name, time.Since(sent))
		s.crashTracker.RequestCompleted(r.fingerprint)
	}
	return true, r.forwardOwn(ctx, w, response, body, complete)
}

// forwardOwn forwards a target's own response, of whose body a part or all was read, unless its status must not reach the client.
func (r *activeRequest) forwardOwn(ctx context.Context, w http.ResponseWriter, response *Response, body []byte, complete bool) error {
	if err := r.checkStatus(response.Status); err != nil {
		if complete {
			response.Release()
		} else {
			response.Abort()
		}
		return err
	}
	return writeResponse(ctx, w, response, body, complete)
}

// readResponse reads the body up to maxBufferedResponse and reports whether the body ended there. It does not read a
// body whose Content-Length exceeds this limit. It fails if the body may have ended before its last byte.
func readResponse(ctx context.Context, response *Response) (body []byte, complete bool, err error) {
	if response.ContentLength > maxBufferedResponse {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse))
	if err != nil {
		return nil, false, err
	}
	if len(body) == maxBufferedResponse {
		return body, false, nil
	}
	return body, true, response.confirmEnd(ctx)
}

// writeResponse forwards a response, of whose body a part or all was read, and releases or aborts the response. The
// rest of the body is copied as it arrives.
func writeResponse(ctx context.Context, w http.ResponseWriter, response *Response, body []byte, complete bool) error {
	copyHeader(w.Header(), response.Header)
	if complete {
		response.Release()
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(response.Status)
		_, _ = w.Write(body) // A write error means that the client has disconnected.
		return nil
	}
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(body); err != nil {
		response.Abort()
		return brokenOff(err)
	}
	rest := response.Body
	if response.ContentLength < 0 {
		rest = io.LimitReader(response.Body, maxUnboundedResponse)
	}
	n, err := io.Copy(w, rest)
	if err == nil && response.ContentLength < 0 && n == maxUnboundedResponse {
		err = errEndlessResponse
	}
	if err == nil {
		err = response.confirmEnd(ctx)
	}
	if err != nil {
		response.Abort()
		return brokenOff(err)
	}
	response.Release()
	return nil
}

// errEndlessResponse reports a response without a length that exceeds maxUnboundedResponse.
var errEndlessResponse = errors.New("the response has no length and does not end")

// brokenOff returns http.ErrAbortHandler with the cause for which a response that was begun ends early.
func brokenOff(cause error) error { return fmt.Errorf("%w: %w", http.ErrAbortHandler, cause) }

// copyHeader sets the fields of the response in the header. If the response has no Content-Type, a nil value prevents
// net/http from adding one.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = slices.Clone(values)
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
