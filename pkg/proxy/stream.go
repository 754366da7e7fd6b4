package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// maxResumes bounds how often one stream goes on at other targets.
	maxResumes = 6
	// resumePause is the time between two tries to find a path.
	resumePause = 40 * time.Millisecond
	// queueShare is the share of the time in which the first event is wanted that a request may wait for room.
	queueShare = 0.6
	// firstRank goes before all others at targets. Callers in the middle of an answer wait for a much shorter pause than
	// for a first event.
	firstRank = 0
	// eventBuffer is the initial size in bytes of the buffer for events that are not whole yet.
	eventBuffer = 2048
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// errIncomplete reports a stream whose connection ended in the middle of an event.
var errIncomplete = errors.New("the stream ended in the middle of an event")

// stream serves a request to a model.
func (r *activeRequest) stream(ctx context.Context, w http.ResponseWriter) error {
	s := newSession(r, w)
	defer s.end()
	for {
		answer, err := s.open(ctx)
		if err != nil {
			return s.fail(err)
		}
		if answer.Status != http.StatusOK {
			return s.passOn(answer)
		}
		err = s.relay(answer)
		if err == nil {
			answer.Release()
			s.server.ledger.RequestCompleted(s.fingerprint)
			return nil
		}
		answer.Abort()
		if err := s.interrupted(ctx, err); err != nil {
			return s.fail(err)
		}
	}
}

// fail ends the request with an error; one whose answer has begun is broken off.
func (s *session) fail(err error) error {
	if !s.begun {
		return err
	}
	s.server.logger.Info().Str("Request", s.ID).Str("After", s.LastEventID).Err(err).Msg("stream broken off")
	return http.ErrAbortHandler
}

// passOn passes an answer on that is not a stream of events.
func (s *session) passOn(answer *Response) error {
	if s.begun {
		answer.Abort()
		return s.fail(errors.New("the target refused to go on"))
	}
	body, whole, err := readAnswer(answer)
	if err != nil {
		answer.Abort()
		return refusal.New(http.StatusBadGateway, "target_failed", outcome.Unknown, "the target gave no answer").WithCause(err)
	}
	return writeAnswer(s.writer, answer, body, whole)
}

// open finds a path and sends the request along it, until a target answers.
func (s *session) open(ctx context.Context) (*Response, error) {
	for {
		if ctx.Err() != nil {
			return nil, s.outOfTime(ctx.Err())
		}
		p, err := s.find(path.Request{To: s.service.Engine.Layers})
		if err != nil {
			if s.wait(ctx, err) {
				continue
			}
			return nil, s.refused("no_path", "no targets have room for the request on all layers", err)
		}
		if !p.Complete(s.service.Engine.Layers) {
			s.server.logger.Error().Str("Request", s.ID).Interface("Path", p).Msg("invariant broken: a path does not run each layer once")
			return nil, s.refused("no_path", "no path could be made", nil)
		}
		if err := s.confirmed(); err != nil && !s.begun {
			return nil, err
		}
		answer, err := s.send(ctx, p)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			if !notRun(err) {
				s.attempts++
			}
			return nil, s.outOfTime(err)
		}
		if final := s.failed(err, p); final != nil && !s.persists(ctx) {
			return nil, final
		}
	}
}

// persists waits until a begun stream may be sent again, beyond the tries of other requests. It ends when the caller
// leaves or the time of the route is over: the caller decides how long a pause may be. Each try takes from the retry
// budget.
func (s *session) persists(ctx context.Context) bool {
	if !s.begun {
		return false
	}
	for s.wait(ctx, nil) {
		if s.server.budget.Allow(s.service.Name, time.Now()) {
			return true
		}
	}
	return false
}

// wait pauses before a stream that found no path is tried again, and reports whether it may be. One that has not begun
// waits only for room, and only while its first event can still come in time.
func (s *session) wait(ctx context.Context, cause error) bool {
	if !s.begun && (!errorx.IsOfType(cause, path.NoCapacity) || time.Since(s.ReceivedAt) > time.Duration(queueShare*float64(s.route.LatencyGoal))) {
		return false
	}
	if sleep.For(ctx, resumePause) != nil {
		return false
	}
	s.refresh()
	return true
}

// refresh takes in what the instance has learned since the request was admitted.
func (r *activeRequest) refresh() {
	if view := r.server.views.Snapshot(); view != nil && view.Catalogue.Service(r.service.Name) != nil {
		r.view = view
	}
}

// send opens the request on a path and reserves its memory there.
func (s *session) send(ctx context.Context, p path.Path) (*Response, error) {
	s.reserve(p)
	s.targets = append(s.targets, p.String())
	s.crossings = p.Crossings()
	a := s.attempt(p)
	a.MaxIdle = reuse
	if s.begun {
		a.Priority = firstRank
	}
	opened, cancel := context.WithCancel(ctx)
	s.opened(cancel)
	answer, err := s.server.upstream.Open(opened, a)
	s.noteRun(p[0].Target.Name, err)
	if err != nil {
		cancel()
		return nil, err
	}
	finish, abort := answer.Release, answer.Abort
	answer.Release = func() { finish(); cancel() }
	answer.Abort = func() { abort(); cancel() }
	return answer, nil
}

// interrupted decides whether a stream goes on after its target was lost.
func (s *session) interrupted(ctx context.Context, cause error) error {
	p := s.currentPath()
	if ctx.Err() != nil {
		return timedOut(cause)
	}
	s.resumes++
	if !s.ownEnd() {
		// An attempt ended here was lost by another target of the path, which is known to be dead.
		s.blame(&AttemptError{Sent: true, Cause: cause}, p, time.Now())
	}
	if !s.route.Resumable || s.resumes > maxResumes || !s.allowed() && !s.persists(ctx) {
		return refusal.New(http.StatusBadGateway, "stream_lost", outcome.Unknown, "the stream was interrupted").WithCause(cause)
	}
	s.server.counters.resumed.Inc(1)
	s.refresh()
	return nil
}
