package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TargetCrashed notes that a target died, and returns the requests that ran on it, each with the verdict
// so far. Held requests must not be run again.
func (l *Detector) TargetCrashed(target string, now time.Time) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.running[target]
	delete(l.running, target)
	l.sequence++
	in := &incident{target: target, at: now, shared: l.remote[target].After(now)}
	for _, r := range batch {
		l.leave(r.request, target)
	}
	all := l.withLeft(target, batch)
	for _, r := range all {
		if !slices.Contains(in.members, r.fingerprint) {
			in.members = append(in.members, r.fingerprint)
		}
	}
	slices.Sort(in.members)
	l.implicate(in, all)
	delete(l.alive, target)
	l.remember(in)
	l.prune(now)
	return l.suspectsOf(batch, now)
}

// withLeft adds the runs that ended on a target without progress to those that ran there.
func (l *Detector) withLeft(target string, batch map[string]*run) map[string]*run {
	all := map[string]*run{}
	for _, r := range l.left[target] {
		all[r.request] = r
	}
	delete(l.left, target)
	maps.Copy(all, batch)
	return all
}

// implicate updates the suspects of an incident.
func (l *Detector) implicate(in *incident, batch map[string]*run) {
	for _, fingerprint := range in.members {
		runs := runsOf(batch, fingerprint)
		s, known := l.suspects[fingerprint]
		if !known || in.at.Sub(s.at) > suspectLife {
			if !slices.ContainsFunc(runs, func(r *run) bool { return !r.progressed }) {
				continue // It had come through the whole route, which clears it as Progress does.
			}
			s = &suspect{fingerprint: fingerprint, crashes: 1, first: in}
			l.suspects[fingerprint] = s
		} else if r := s.again(runs); r != nil && !r.progressed {
			l.countAgain(s, r, in)
		} else {
			// A late notice of a death on the lost route says nothing about the present one, and
			// nor does a crash after the content had come through the whole route.
			continue
		}
		s.last = l.sequence
		s.at = in.at
		s.requests = nil
		for _, r := range runs {
			s.requests = append(s.requests, r.request)
		}
	}
}

// countAgain counts a further crash against a suspect.
func (l *Detector) countAgain(s *suspect, r *run, in *incident) {
	s.crashes++
	s.cleared = false
	if s.second != nil {
		return
	}
	copied := r.started <= s.last
	s.second = in
	s.doubtful = s.first.explained
	s.proven = copied || l.alive[in.target] > s.last
}

// again returns a run that counts as a further run of the content, one without progress if there
// is any. The other targets of the route that was lost in the last crash don't count, since they
// may have died together with it. They do count if several copies were lost: one copy may have
// caused the last crash and another one this.
func (s *suspect) again(runs []*run) *run {
	var found *run
	for _, r := range runs {
		if r.started <= s.last && len(s.requests) == 1 && s.requests[0] == r.request {
			continue
		}
		if found == nil || !r.progressed {
			found = r
		}
	}
	return found
}

func runsOf(batch map[string]*run, fingerprint uint64) []*run {
	var runs []*run
	for _, r := range batch {
		if r.fingerprint == fingerprint {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.request, b.request) })
	return runs
}

func (l *Detector) remember(in *incident) {
	l.recent = append(l.recent, in)
	if len(l.recent) > maxRecent {
		l.recent = slices.Delete(l.recent, 0, len(l.recent)-maxRecent)
	}
}

func (l *Detector) suspectsOf(batch map[string]*run, now time.Time) []Suspect {
	suspects := make([]Suspect, 0, len(batch))
	for _, r := range batch {
		suspects = append(suspects, Suspect{
			Request:     r.request,
			Fingerprint: r.fingerprint,
			Verdict:     l.check(r.fingerprint, now),
		})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Request, b.Request) })
	return suspects
}

// prune drops the oldest suspects beyond the bound and, once a second, what has expired.
func (l *Detector) prune(now time.Time) {
	dropOldest(l.suspects, maxSuspects, func(s *suspect) time.Time { return s.at })
	if now.Sub(l.pruned).Abs() < pruneEvery {
		return
	}
	l.pruned = now
	for fingerprint, s := range l.suspects {
		if now.Sub(s.at) > suspectLife {
			delete(l.suspects, fingerprint)
		}
	}
	dropExpired(l.quarantined, now)
	dropExpired(l.holds, now)
	dropExpired(l.remote, now)
	if len(l.suspects) == 0 {
		clear(l.alive)
	}
}

func dropExpired[K comparable](m map[K]time.Time, now time.Time) {
	for key, until := range m {
		if !until.After(now) {
			delete(m, key)
		}
	}
}

// dropOldest reduces m to seven eighths of the limit once it exceeds the limit, so that the cost of
// sorting is spread over many entries.
func dropOldest[V any](m map[uint64]V, limit int, at func(V) time.Time) {
	if len(m) <= limit {
		return
	}
	keys := make([]uint64, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(at(m[a]).Compare(at(m[b])), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(m)-limit*7/8] {
		delete(m, key)
	}
}
