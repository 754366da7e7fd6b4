package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// find returns a path for the whole request that leaves out the targets that failed it. If there is none, it may pass
// through all but the dead ones.
func (s *session) find(q path.Request) (path.Path, error) {
	q.Excluded = s.avoid
	if s.exhausted() {
		q.FirstAllowed = func(name string) bool { return s.ran[name] }
		q.Excluded = s.server.dead
	}
	p, err := s.server.find(s.view, s.activeRequest, q)
	if err == nil {
		return p, nil
	}
	q.Excluded = s.server.dead
	return s.server.find(s.view, s.activeRequest, q)
}

// exhausted reports whether as many targets may have run the stream as its route allows. It may then go on only at one
// of these. Targets that were lost do not count.
func (s *session) exhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive := 0
	for name := range s.ran {
		if !s.server.dead(name) {
			alive++
		}
	}
	return alive >= s.route.MaxAttempts
}

// find returns a path among the targets of the view.
func (s *Server) find(v *Snapshot, r *activeRequest, q path.Request) (path.Path, error) {
	q.PromptTokens, q.OutputTokens, q.DataCentre = r.Tokens.Prompt, r.expected(), s.dataCentre
	finder := v.Targets[r.service.Name].PathFinder(r.service.Engine)
	q.Loads = s.meter.Loads(finder.Targets(), time.Now())
	var found path.Path
	var err error
	s.draw(func(random *rand.Rand) { found, err = finder.Find(random, q) })
	return found, err
}

// expected is the number of answer tokens to plan for.
func (r *activeRequest) expected() int {
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

// noteRun notes that a target may have run the stream.
func (s *session) noteRun(name string, err error) {
	if notRun(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran == nil {
		s.ran = make(map[string]bool)
	}
	s.ran[name] = true
}
