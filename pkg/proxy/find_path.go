package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// findPath returns a path without the targets that the request must avoid. If there is none, it excludes only dead
// targets. A stream that has reached the target limit of its route gets a path that starts at one of the targets that
// may have run it.
func (s *activeStream) findPath(q path.Request) (path.Path, error) {
	q.Excluded = s.isExcluded
	if s.targetLimitReached() {
		q.FirstAllowed = func(name string) bool { return s.mayHaveRun[name] }
		q.Excluded = s.server.isDead
	}
	p, err := s.server.findPath(s.snapshot, s.activeRequest, q)
	if err == nil {
		return p, nil
	}
	q.Excluded = s.server.isDead
	return s.server.findPath(s.snapshot, s.activeRequest, q)
}

// targetLimitReached reports whether the number of live targets that may have run the stream has reached the
// MaxAttempts of its route. The stream may then be resumed only on one of these targets. Dead targets do not count.
func (s *activeStream) targetLimitReached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive := 0
	for name := range s.mayHaveRun {
		if !s.server.isDead(name) {
			alive++
		}
	}
	return alive >= s.route.MaxAttempts
}

// findPath returns a path over the targets of the snapshot for a request. It fills in the token counts, the data centre
// and the loads of the query.
func (s *Server) findPath(snapshot *Snapshot, r *activeRequest, q path.Request) (path.Path, error) {
	q.PromptTokens, q.OutputTokens, q.DataCentre = r.Tokens.Prompt, r.expectedOutput(), s.dataCentre
	finder := snapshot.Targets[r.service.Name].PathFinder(r.service.Engine)
	q.Loads = s.stats.Loads(finder.Targets(), time.Now())
	var found path.Path
	var err error
	s.withRandom(func(random *rand.Rand) { found, err = finder.Find(random, q) })
	return found, err
}

// expectedOutput returns the number of output tokens to plan for.
func (r *activeRequest) expectedOutput() int {
	switch {
	case r.Tokens.LengthHint > 0 && r.Tokens.Output > 0:
		return min(r.Tokens.LengthHint, r.Tokens.Output)
	case r.Tokens.LengthHint > 0:
		return r.Tokens.LengthHint
	case r.Tokens.Output > 0:
		return min(r.Tokens.Output, 2*max(r.service.Engine.TypicalOutputTokens, 1))
	default:
		return r.service.Engine.TypicalOutputTokens
	}
}

// recordPossibleRun records that a target may have run the stream, unless err proves that it did not.
func (s *activeStream) recordPossibleRun(name string, err error) {
	if didNotRun(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayHaveRun == nil {
		s.mayHaveRun = make(map[string]bool)
	}
	s.mayHaveRun[name] = true
}
