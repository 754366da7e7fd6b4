package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

const (
	// silenceFactor is how many usual spacings of events make a pause that is looked into.
	silenceFactor = 2
	// minSilence is the shortest pause that is looked into if other streams are silent as well.
	minSilence = 60 * time.Millisecond
	// loneSilence is the same for a stream that is silent alone; a busy target may take as long.
	loneSilence = 110 * time.Millisecond
	// firstSilence is the pause before the first event that is looked into.
	firstSilence = 350 * time.Millisecond
	// spacingWeight is the weight of a new pause in the smoothed spacing.
	spacingWeight = 0.1
)

// session is the running stream of a request. The handler's goroutine reads and writes the stream; the watch may
// change its path meanwhile.
type session struct {
	*activeRequest
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool

	mu      sync.Mutex
	path    path.Path
	release func()
	cancel  context.CancelFunc // cancel ends the present attempt.
	last    time.Time          // last is when the last event arrived, or the attempt was sent.
	spacing time.Duration
	timer   *time.Timer
	ended   bool
	own     bool // own means that this instance itself ended the present attempt.
	moving  bool // moving means that a change of path is under way.
}

func newSession(r *activeRequest, w http.ResponseWriter) *session {
	s := &session{activeRequest: r, writer: w, control: http.NewResponseController(w), last: time.Now()}
	s.timer = time.AfterFunc(time.Hour, func() { r.server.watch.silent(s) })
	r.server.watch.add(s)
	return s
}

// end forgets the session.
func (s *session) end() {
	s.server.watch.remove(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	s.drop()
}

func (s *session) drop() {
	if s.release != nil {
		s.release()
		s.release = nil
		for _, part := range s.path {
			s.server.ledger.RequestFinished(s.ID, part.Target.Name)
		}
	}
}

// reserve reserves memory on a path, in place of the one before.
func (s *session) reserve(p path.Path) {
	release := s.server.meter.Reserve(p, s.Tokens.Prompt+s.expected())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop()
	s.path, s.release = p, release
	for _, part := range p {
		s.server.ledger.RequestStarted(s.ID, s.fingerprint, part.Target.Name)
	}
}

// opened notes a new attempt.
func (s *session) opened(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	if !s.begun {
		s.last = time.Now()
	}
	s.timer.Reset(firstSilence)
}

// progress notes that an event has arrived.
func (s *session) progress(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := now.Sub(s.last)
	s.last = now
	if s.events > 1 {
		s.longest = max(s.longest, pause)
		if s.spacing == 0 {
			s.spacing = pause
		}
		s.spacing += time.Duration(spacingWeight * float64(pause-s.spacing))
	}
	s.timer.Reset(s.patience())
}

// patience is the pause after which the stream counts as silent.
func (s *session) patience() time.Duration {
	if s.spacing == 0 {
		return loneSilence
	}
	return max(minSilence, silenceFactor*s.spacing)
}

func (s *session) lastEvent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *session) currentPath() path.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path
}

// ownEnd reports whether this instance itself ended the last attempt, and forgets it.
func (s *session) ownEnd() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.own
	s.own = false
	return own
}

// lookAgain sets when the silence of the stream is looked into again.
func (s *session) lookAgain(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.timer.Reset(after)
	}
}

// interrupt ends the present attempt, so that the stream is resumed elsewhere.
func (s *session) interrupt() {
	s.mu.Lock()
	cancel := s.cancel
	s.own = true
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
