package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

const (
	// stallFactor is the number of smoothed event gaps without an event after which a stream counts as stalled.
	stallFactor = 2
	// minStall is the shortest stall that is checked if other streams have stalled as well.
	minStall = 60 * time.Millisecond
	// loneStall is the shortest stall that is checked if only one stream has stalled; a busy target can cause event
	// gaps of up to this length.
	loneStall = 110 * time.Millisecond
	// firstEventStall is the time without a first event after which a stream counts as stalled.
	firstEventStall = 350 * time.Millisecond
	// gapWeight is the weight of a new event gap in the smoothed gap.
	gapWeight = 0.1
)

// activeStream is the running stream of a request. The handler's goroutine reads and writes the stream; the failure
// detector may concurrently change the stream's path.
type activeStream struct {
	*activeRequest
	writer     http.ResponseWriter
	control    *http.ResponseController
	headerSent bool

	mu               sync.Mutex
	path             path.Path
	release          func()             // release releases the KV cells reserved on the path.
	cancel           context.CancelFunc // cancel cancels the current attempt.
	sentAt           time.Time          // sentAt is when the current attempt started.
	lastEventAt      time.Time          // lastEventAt is when the last event arrived or, before the first, the attempt was sent.
	smoothedGap      time.Duration      // smoothedGap is the exponentially smoothed event gap.
	stallTimer       *time.Timer
	stallChecks      int // stallChecks counts the checks of the current stall.
	ended            bool
	cancelledLocally bool // cancelledLocally means that this instance cancelled the current attempt.
	migrating        bool // migrating means that a change of the path is in progress.
}

func newActiveStream(r *activeRequest, w http.ResponseWriter) *activeStream {
	r.roomRequest = r.newRoomRequest()
	s := &activeStream{activeRequest: r, writer: w, control: http.NewResponseController(w), lastEventAt: time.Now()}
	s.stallTimer = time.AfterFunc(time.Hour, func() { r.server.detector.streamStalled(s) })
	r.server.detector.add(s)
	return s
}

// end removes the stream from the failure detector and releases the stream's path.
func (s *activeStream) end() {
	s.server.detector.remove(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.stallTimer.Stop()
	s.releasePath()
}

// releasePath releases the reserved KV cells and tells the crash tracker that the path's targets no longer run the
// request. The lock must be held.
func (s *activeStream) releasePath() {
	if s.release != nil {
		s.release()
		s.release = nil
		for _, stage := range s.path {
			s.server.crashTracker.RequestFinished(s.ID, stage.Target.Name)
		}
	}
}

// reserve makes p the stream's path: it reserves KV cells on p and releases the previous path.
func (s *activeStream) reserve(p path.Path) {
	release := s.server.stats.Reserve(p, s.Tokens.Prompt+s.expectedOutput())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasePath()
	s.path, s.release = p, release
	for _, stage := range p {
		s.server.crashTracker.RequestStarted(s.ID, s.fingerprint, stage.Target.Name, s.parts...)
	}
}

// attemptStarted records the start of an attempt and resets the stall timer.
func (s *activeStream) attemptStarted(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel, s.sentAt = cancel, time.Now()
	if !s.headerSent {
		s.lastEventAt = s.sentAt
	}
	s.stallChecks = 0
	s.stallTimer.Reset(firstEventStall)
}

// eventReceived records the arrival of events and resets the stall timer.
func (s *activeStream) eventReceived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.lastEventAt)
	s.lastEventAt, s.stallChecks = now, 0
	if s.eventCount.Load() > 1 {
		s.longestGap = max(s.longestGap, gap)
		if s.smoothedGap == 0 {
			s.smoothedGap = gap
		}
		s.smoothedGap += time.Duration(gapWeight * float64(gap-s.smoothedGap))
	}
	s.stallTimer.Reset(s.stallTimeout())
}

// stallTimeout returns the time without an event after which the stream counts as stalled.
func (s *activeStream) stallTimeout() time.Duration {
	if s.smoothedGap == 0 {
		return loneStall
	}
	return max(minStall, stallFactor*s.smoothedGap)
}

// attemptStartedAt returns when the current attempt started.
func (s *activeStream) attemptStartedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAt
}

func (s *activeStream) lastEvent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEventAt
}

// receivesEventWithin waits for d and reports whether an event has arrived meanwhile, or the stream has ended.
func (s *activeStream) receivesEventWithin(d time.Duration) bool {
	before := s.lastEvent()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || s.lastEventAt.After(before)
}

// nextStallCheck returns the number of the current stall's checks so far and counts another one.
func (s *activeStream) nextStallCheck() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallChecks++
	return s.stallChecks - 1
}

func (s *activeStream) currentPath() path.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path
}

// takeCancelledLocally reports whether this instance cancelled the last attempt, and clears the flag.
func (s *activeStream) takeCancelledLocally() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := s.cancelledLocally
	s.cancelledLocally = false
	return cancelled
}

// resetStallTimer sets when the stream is checked for a stall again.
func (s *activeStream) resetStallTimer(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.stallTimer.Reset(after)
	}
}

// cancelAttempt cancels the current attempt, so that the stream is resumed on another target.
func (s *activeStream) cancelAttempt() {
	s.mu.Lock()
	cancel := s.cancel
	s.cancelledLocally = true
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// LogStreams logs each running stream with the time from the given moment to its receipt, negative if it was received before.
func (s *Server) LogStreams(since time.Time, message string) {
	for _, stream := range s.detector.activeStreams() {
		s.logger.Warn().Str("Request", stream.ID).Dur("ReceivedAfter", stream.ReceivedAt.Sub(since)).Dur("Age", time.Since(stream.ReceivedAt)).
			Dur("SinceLastEvent", time.Since(stream.lastEvent())).Int64("Events", stream.eventCount.Load()).Str("Targets", stream.currentPath().String()).Msg(message)
	}
}
