package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 6
	// pathRetryInterval is the time between two attempts to find a path.
	pathRetryInterval = 40 * time.Millisecond
	// latePathRetryInterval is the same time for a stream whose goal is lost.
	latePathRetryInterval = 160 * time.Millisecond
	// maxQueueFraction is the fraction of the route's latency goal that a request may wait for capacity.
	maxQueueFraction = 0.6
	// resumePriority is the priority of resumed streams at targets, before all others: in the middle of a response,
	// clients tolerate a much shorter event gap than the wait for the first event.
	resumePriority = 0
	// eventBufferBytes is the initial size of the buffer for incomplete events.
	eventBufferBytes = 2048
	// maxEventBytes bounds the size of one event in bytes.
	maxEventBytes = 64 << 10
	// maxSurplusEvents bounds the events of a stream beyond one for each token that the client asked for.
	maxSurplusEvents = 64
)

// errTruncatedEvent reports a stream whose connection ended in the middle of an event.
var errTruncatedEvent = errors.New("the stream ended in the middle of an event")

// errEmptyStream reports a response without a length whose connection ended before its first event: its target has ended.
var errEmptyStream = errors.New("the connection ended before the first event")

// errDeadStage reports a stream without a length that ended while a target of its path was dead.
var errDeadStage = errors.New("a target of the path is dead")

// errNotResumed reports a response that is not a stream, where the rest of a stream is due.
var errNotResumed = errors.New("the target did not resume the stream")

// errNotContinued reports a stream that does not go on after the last event.
var errNotContinued = errors.New("the stream does not continue after the last event")

// errTooManyEvents reports a stream with more events than the tokens that the client asked for.
var errTooManyEvents = errors.New("the stream has more events than tokens were requested")

// serveStream serves a request to a model.
func (r *activeRequest) serveStream(ctx context.Context, w http.ResponseWriter) error {
	s := newActiveStream(r, w)
	defer s.end()
	if err := s.admitToRoom(); err != nil {
		return err
	}
	for {
		response, err := s.open(ctx)
		if err != nil {
			return s.fail(err)
		}
		if !s.headerSent && response.Status != http.StatusOK {
			return s.forwardResponse(ctx, response)
		}
		err = errNotResumed
		if !s.headerSent || s.isRest(response) {
			err = s.relay(ctx, response)
		}
		if err == nil {
			response.Release()
			s.server.crashTracker.RequestCompleted(s.fingerprint)
			return nil
		}
		response.Abort()
		if errors.Is(err, errTooManyEvents) {
			return s.fail(err) // What the client has received cannot be continued.
		}
		if err := s.handleInterruption(ctx, err); err != nil {
			return s.fail(err)
		}
	}
}

// fail returns the error with which the request ends: err, or http.ErrAbortHandler if the response header was sent.
func (s *activeStream) fail(err error) error {
	if !s.headerSent {
		return err
	}
	s.server.logger.Info().Str("Request", s.ID).Str("After", s.LastEventID).Err(err).Msg("stream broken off")
	return http.ErrAbortHandler
}

// isRest reports whether a response can be the rest of a stream whose response header was sent.
func (s *activeStream) isRest(response *Response) bool {
	return response.Status == http.StatusOK && mediaType(response.Header.Get("Content-Type")) == mediaType(s.writer.Header().Get("Content-Type"))
}

// mediaType returns the media type of a Content-Type field without its parameters.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// forwardResponse forwards a response that is not an event stream.
func (s *activeStream) forwardResponse(ctx context.Context, response *Response) error {
	body, complete, err := readResponse(ctx, response)
	if err != nil {
		response.Abort()
		return unknownError("target_failed", "the target gave no answer", err)
	}
	return s.forwardOwn(ctx, s.writer, response, body, complete)
}

// open finds paths and sends the request along them, until a target responds or the request may not be retried.
func (s *activeStream) open(ctx context.Context) (*Response, error) {
	for {
		if ctx.Err() != nil {
			return nil, s.deadlineError(ctx.Err())
		}
		p, err := s.findPath(path.Request{To: s.service.Engine.Layers})
		if err != nil {
			if s.waitToRetry(ctx, err) {
				continue
			}
			if errorx.IsOfType(err, requestLimited) {
				return nil, s.refuseLimited(err)
			}
			if lacksRoom(err) {
				s.roomDecided(false)
			}
			return nil, s.refuse("no_path", "no targets have room for the request on all layers", err)
		}
		if !p.Complete(s.service.Engine.Layers) {
			s.server.logger.Error().Str("Request", s.ID).Interface("Path", p).Msg("invariant broken: a path does not run each layer once")
			return nil, s.refuse("no_path", "no path could be made", nil)
		}
		if err := s.checkFresh(); err != nil && !s.headerSent {
			return nil, err
		}
		if err := s.checkQuarantine(); err != nil && !s.headerSent {
			return nil, err
		}
		response, err := s.send(ctx, p)
		if err == nil {
			s.roomDecided(true)
			return response, nil
		}
		if ctx.Err() != nil {
			if !didNotRun(err) {
				s.attempts++
			}
			return nil, s.deadlineError(err)
		}
		s.server.detector.examineAfterBreak(failedTarget(err, p), err)
		if finalErr := s.handleFailure(err, p); finalErr != nil && !s.waitForRetryBudget(ctx) {
			return nil, finalErr
		}
	}
}

// waitForRetryBudget waits until the retry budget allows another attempt of a started stream, and takes the attempt
// from the budget. The limits on the attempts of other requests do not apply to started streams. It gives up when the
// client disconnects or the route's timeout expires: the client decides how long an event gap it accepts.
func (s *activeStream) waitForRetryBudget(ctx context.Context) bool {
	if !s.headerSent {
		return false
	}
	for s.waitToRetry(ctx, nil) {
		if s.server.retryBudget.Allow(s.service.Name, time.Now()) {
			return true
		}
	}
	return false
}

// waitToRetry waits for pathRetryInterval and refreshes the snapshot, and reports whether another attempt to find a
// path is allowed. A stream whose response header was not sent waits only for capacity, and only for as long as the decision on room
// allows.
func (s *activeStream) waitToRetry(ctx context.Context, cause error) bool {
	if !s.headerSent && (!errorx.IsOfType(cause, path.NoCapacity) || !s.mayWaitForRoom(time.Now())) {
		return false
	}
	if sleep.For(ctx, s.pathRetryInterval()) != nil {
		return false
	}
	s.refreshSnapshot()
	return true
}

// pathRetryInterval returns the time to the next attempt to find a path. Streams that can still meet their goal look for room more
// often than those whose goal is lost, and so find it first.
func (s *activeStream) pathRetryInterval() time.Duration {
	if r := s.roomRequest; r != nil && !s.headerSent && r.request.GoalLost() {
		return latePathRetryInterval
	}
	return pathRetryInterval
}

// refreshSnapshot replaces the request's snapshot by the newest snapshot, unless the newest lacks the request's
// service.
func (r *activeRequest) refreshSnapshot() {
	if snapshot := r.server.snapshots.Snapshot(); snapshot != nil && snapshot.Catalogue.Service(r.service.Name) != nil {
		r.snapshot = snapshot
	}
}

// send reserves KV cells on a path and sends the request along the path.
func (s *activeStream) send(ctx context.Context, p path.Path) (*Response, error) {
	s.reserve(p)
	s.takeLinks(p, nil)
	s.targets = append(s.targets, p.String())
	s.crossDataCentreHops = p.Crossings()
	attempt := s.newAttempt(p)
	attempt.MaxIdle = maxIdle
	if s.headerSent {
		attempt.Priority = resumePriority
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	s.attemptStarted(cancel)
	sentAt := time.Now()
	response, err := s.server.upstream.Open(attemptCtx, attempt)
	s.server.recordRequestLimit(p[0].Target.Name, response, err)
	s.recordPossibleRun(p[0].Target.Name, sentAt, err)
	if err != nil {
		cancel()
		return nil, err
	}
	release, abort := response.Release, response.Abort
	response.Release = func() { release(); cancel() }
	response.Abort = func() { abort(); cancel() }
	return response, nil
}

// handleInterruption records the interruption of a stream. It returns nil if the stream is to be resumed, which takes a
// retry from the retry budget, and the final error otherwise.
func (s *activeStream) handleInterruption(ctx context.Context, cause error) error {
	p := s.currentPath()
	if ctx.Err() != nil {
		return timeoutError(cause)
	}
	s.resumes++
	if !s.takeCancelledLocally() {
		// An attempt that was cancelled locally failed because of another target of the path, which is marked dead
		// already.
		broken := &AttemptError{Sent: true, Cause: cause}
		if !errors.Is(cause, errNotResumed) { // A target that responds has not ended.
			s.server.detector.examineAfterBreak(failedTarget(broken, p), broken)
		}
		s.recordFailure(broken, p, time.Now())
	}
	if !s.route.Resumable || s.resumes > maxResumes || !s.takeRetry() && !s.waitForRetryBudget(ctx) {
		return unknownError("stream_lost", "the stream was interrupted", cause)
	}
	s.server.counters.resumed.Inc(1)
	s.refreshSnapshot()
	return nil
}
