package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TargetCrashed records that a target crashed, and returns the requests that ran on it, each with
// its verdict after the crash. Held requests must not be retried.
func (d *Detector) TargetCrashed(target string, now time.Time) []Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := d.running[target]
	delete(d.running, target)
	d.sequence++
	c := &crash{target: target, at: now, remoteSuspect: d.remoteSuspects[target].After(now)}
	for _, r := range batch {
		d.removeFromPath(r.request, target)
	}
	all := d.withEnded(target, batch)
	delete(d.ended, target)
	for _, r := range all {
		if !slices.Contains(c.fingerprints, r.fingerprint) {
			c.fingerprints = append(c.fingerprints, r.fingerprint)
		}
	}
	slices.Sort(c.fingerprints)
	d.countCrash(c, all)
	delete(d.responded, target)
	d.keepRecent(c)
	d.prune(now)
	return d.verdicts(batch, now)
}

// withEnded returns the given runs together with the runs that ended on the target without progress.
func (d *Detector) withEnded(target string, batch map[string]*run) map[string]*run {
	all := map[string]*run{}
	for _, r := range d.ended[target] {
		all[r.request] = r
	}
	maps.Copy(all, batch)
	return all
}

// countCrash counts a crash against the content that ran on the target, unless the content is cleared by
// its progress or the run belongs to a path that had already failed.
func (d *Detector) countCrash(c *crash, batch map[string]*run) {
	for _, fingerprint := range c.fingerprints {
		runs := runsOf(batch, fingerprint)
		s, known := d.suspects[fingerprint]
		if !known || c.at.Sub(s.lastCrash) > suspectTTL {
			if !slices.ContainsFunc(runs, func(r *run) bool { return !r.progressed }) {
				continue // All runs made progress, so the content is no suspect (see RequestProgressed).
			}
			s = &suspect{fingerprint: fingerprint, crashes: 1, first: c}
			d.suspects[fingerprint] = s
		} else if r := s.repeatedRun(runs); r != nil && !r.progressed {
			d.countRepeat(s, r, c)
		} else {
			// A late notice of a crash on the path that failed before says nothing about the path of the
			// retry. A crash after the content made progress says nothing about the content.
			continue
		}
		s.lastSequence = d.sequence
		s.lastCrash = c.at
		s.requests = nil
		for _, r := range runs {
			s.requests = append(s.requests, r.request)
		}
	}
}

// countRepeat counts a further crash against a suspect. Only the first two crashes are kept in full.
func (d *Detector) countRepeat(s *suspect, r *run, c *crash) {
	s.crashes++
	s.cleared = false
	if s.second != nil {
		return
	}
	copied := r.started <= s.lastSequence
	s.second = c
	s.ambiguous = s.first.attributed
	s.confirmed = copied || d.responded[c.target] > s.lastSequence
}

// repeatedRun returns a run that is evidence of its own, apart from the last crash, or nil. It prefers
// a run without progress. Runs on the other targets of the path that failed in the last crash don't
// count, since these targets may have died together with the first one. They do count if several copies
// ran on the target of the last crash: one copy may have caused that crash and another one this crash.
func (s *suspect) repeatedRun(runs []*run) *run {
	var found *run
	for _, r := range runs {
		if r.started <= s.lastSequence && len(s.requests) == 1 && s.requests[0] == r.request {
			continue
		}
		if found == nil || !r.progressed {
			found = r
		}
	}
	return found
}

// runsOf returns the runs of the content in the batch, ordered by request.
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

func (d *Detector) keepRecent(c *crash) {
	d.recent = append(d.recent, c)
	if len(d.recent) > maxRecentCrashes {
		d.recent = slices.Delete(d.recent, 0, len(d.recent)-maxRecentCrashes)
	}
}

// verdicts returns the requests of the batch with their verdicts, ordered by request.
func (d *Detector) verdicts(batch map[string]*run, now time.Time) []Suspect {
	suspects := make([]Suspect, 0, len(batch))
	for _, r := range batch {
		suspects = append(suspects, Suspect{
			Request:     r.request,
			Fingerprint: r.fingerprint,
			Verdict:     d.check(r.fingerprint, now),
		})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Request, b.Request) })
	return suspects
}

// prune drops the oldest suspects over maxSuspects. Once per pruneInterval, it also drops expired entries.
func (d *Detector) prune(now time.Time) {
	dropOldest(d.suspects, maxSuspects, func(s *suspect) time.Time { return s.lastCrash })
	if now.Sub(d.lastPruned).Abs() < pruneInterval {
		return
	}
	d.lastPruned = now
	for fingerprint, s := range d.suspects {
		if now.Sub(s.lastCrash) > suspectTTL {
			delete(d.suspects, fingerprint)
		}
	}
	dropExpired(d.quarantined, now)
	dropExpired(d.remoteHolds, now)
	dropExpired(d.remoteSuspects, now)
	if len(d.suspects) == 0 {
		clear(d.responded)
	}
}

func dropExpired[K comparable](m map[K]time.Time, now time.Time) {
	for key, until := range m {
		if !until.After(now) {
			delete(m, key)
		}
	}
}

// dropOldest drops the entries with the earliest times once m exceeds the limit. It keeps seven eighths
// of the limit, so that the cost of sorting is spread over many insertions.
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
