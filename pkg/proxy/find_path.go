package proxy

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// findPath returns a path whose first target's request limit allows the request. If the limits of all first targets are used
// up, it returns a requestLimited error.
func (s *activeStream) findPath(q path.Request) (path.Path, error) {
	var denied map[string]bool
	for {
		p, err := s.findUnlimitedPath(q)
		if err != nil && len(denied) > 0 && !s.hasFirstTarget(denied) {
			return nil, requestLimited.Wrap(err, "%d first targets take no more requests now", len(denied))
		}
		if err != nil || s.acquire(p[0].Target.Name) {
			return p, err
		}
		if denied == nil {
			denied = make(map[string]bool)
			q.FirstAllowed = func(name string) bool { return !denied[name] }
		}
		denied[p[0].Target.Name] = true
	}
}

// hasFirstTarget reports whether a path may begin at a target that is not denied, once there is room on the rest of the path.
func (s *activeStream) hasFirstTarget(denied map[string]bool) bool {
	for _, t := range s.snapshot.Targets[s.service.Name].Targets() {
		if t.AcceptsRequests() && t.Layers.Valid() && t.Layers.First == 0 && !denied[t.Name] && !s.server.isDead(t.Name) {
			return true
		}
	}
	return false
}

// findUnlimitedPath returns a path without the targets that the request must avoid. If there is none, it excludes only dead
// targets and those that have just refused a request; if all remaining paths need such a target, it returns a NoCapacity
// error, so that the request waits for them. A stream that has reached the target limit of its route gets a path that
// starts at one of the targets that may have run it.
func (s *activeStream) findUnlimitedPath(q path.Request) (path.Path, error) {
	q.Excluded = s.isExcluded
	if !s.headerSent {
		q.MaxUtilization = s.utilization(time.Now())
	}
	if s.targetLimitReached() {
		allowed := q.FirstAllowed
		q.FirstAllowed = func(name string) bool { return !s.mayHaveRun[name].IsZero() && (allowed == nil || allowed(name)) }
		q.Excluded = s.server.isDead
	}
	p, err := s.server.findPath(s.snapshot, s.activeRequest, q)
	if err == nil {
		return p, nil
	}
	q.Excluded = s.server.isDeadOrSaturated
	p, err = s.server.findPath(s.snapshot, s.activeRequest, q)
	if err == nil {
		return p, nil
	}
	q.Excluded = s.server.isDead
	if _, unsaturatedErr := s.server.findPath(s.snapshot, s.activeRequest, q); unsaturatedErr == nil {
		return nil, path.NoCapacity.Wrap(err, "the remaining targets have just refused requests")
	}
	return nil, err
}

// targetLimitReached reports whether the number of targets that may have run the stream has reached the MaxAttempts of
// its route. The stream may then be resumed only on one of these targets. Targets that have ended since do not count. A
// target that only does not respond counts: it may be slow, and still run the stream.
func (s *activeStream) targetLimitReached() bool {
	s.mu.Lock()
	mayHaveRun := maps.Clone(s.mayHaveRun)
	s.mu.Unlock()
	running := 0
	for name, at := range mayHaveRun {
		if !s.server.detector.hasEndedSince(name, at) {
			running++
		}
	}
	return running >= s.route.MaxAttempts
}

// findPath returns a path over the targets of the snapshot for a request. It fills in the token counts, the data centre
// and the loads of the query.
func (s *Server) findPath(snapshot *Snapshot, r *activeRequest, q path.Request) (path.Path, error) {
	q.PromptTokens, q.OutputTokens, q.DataCentre = r.Tokens.Prompt, r.expectedOutput(), s.dataCentre
	finder := snapshot.Targets[r.service.Name].PathFinder(r.service.Engine)
	now := time.Now()
	q.Loads = s.stats.Loads(finder.Targets(), now)
	started := r.eventCount.Load() > 0
	q.LinkAllowed = func(from, to string) bool { return s.linkBudget.Allows(from, to, started, now) }
	var found path.Path
	var err error
	s.withRandom(func(random *rand.Rand) { found, err = finder.Find(random, q) })
	return found, err
}

// takeLinks records the transfers between data centres that a path adds to the previous path of the stream, which is nil
// if the stream is sent to new targets.
func (s *activeStream) takeLinks(p, previous path.Path) {
	now := time.Now()
	occupied := s.service.Engine.TransferTime(s.Tokens.Prompt + s.expectedOutput())
	p.NewHops(previous, func(from, to string) { s.server.linkBudget.Take(from, to, occupied, now) })
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

// recordPossibleRun records that a target may have run the stream that was sent to it, unless err proves that it did not.
func (s *activeStream) recordPossibleRun(name string, sentAt time.Time, err error) {
	if didNotRun(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayHaveRun == nil {
		s.mayHaveRun = make(map[string]time.Time)
	}
	s.mayHaveRun[name] = sentAt
}
