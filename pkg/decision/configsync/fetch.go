package configsync

import (
	"net/netip"
	"time"
)

// next returns the next fetch if one is due.
func (s *Syncer) next(now time.Time) []Action {
	if s.busy || s.known <= s.version || now.Before(s.nextTry) {
		return nil
	}
	peer, ok := s.choose(now)
	if !ok {
		return nil
	}
	s.busy = true
	a := Action{Kind: Fetch, Peer: peer, After: s.version}
	a.Timeout = min(fetchTimeout<<s.excess(), maxFetchTimeout)
	s.table = !a.Peer.IsValid()
	if s.version == 0 || s.snapshot {
		a.Kind, a.Timeout = FetchSnapshot, snapshotTimeout
	}
	return []Action{a}
}

// excess is the number of doublings of timeouts and waits.
func (s *Syncer) excess() int {
	return min(max(s.failures-patientFailures, 0), 4)
}

// choose returns the peer to fetch from; not set means the table. Peers come first, unless none has
// said that it holds what is missing. Once the instance has been behind for some time, the table and
// peers take turns, since either may be out of reach.
func (s *Syncer) choose(now time.Time) (peer netip.AddrPort, ok bool) {
	late := now.Sub(s.behind) >= tableAfter
	if len(s.sources) == 0 {
		return netip.AddrPort{}, late || !s.told
	}
	if late && !s.table {
		return netip.AddrPort{}, true
	}
	least := s.sources[0]
	for _, i := range s.rand.Perm(len(s.sources)) {
		if o := s.sources[i]; o.failures <= least.failures {
			least = o
		}
	}
	return least.peer, true
}

// Fetched takes the versions of the fetched changes in the order received. Trimmed states that the
// changes after a.After are not kept any more. Only a run without a gap that starts right after the
// version in force is applied.
func (s *Syncer) Fetched(a Action, versions []uint64, trimmed bool, err error, now time.Time) []Action {
	s.busy = false
	if err != nil {
		s.failed(a, now)
		return nil
	}
	first, last := s.run(versions)
	if last >= first {
		s.busy = true
		return []Action{{Kind: Apply, Peer: a.Peer, First: first, Last: last, Timeout: applyTimeout}}
	}
	if trimmed || len(versions) > 0 && versions[len(versions)-1] > s.version {
		s.snapshot = true
		return s.next(now)
	}
	s.empty(a)
	s.failed(a, now)
	return nil
}

// run returns the longest run of versions that starts right after the one in force.
func (s *Syncer) run(versions []uint64) (first, last uint64) {
	first, last = s.version+1, s.version
	for _, v := range versions {
		if v == last+1 {
			last = v
		}
	}
	return first, last
}

// empty handles an answer without anything new. If the table itself has nothing newer, the version
// heard of does not exist.
func (s *Syncer) empty(a Action) {
	if !a.Peer.IsValid() {
		s.known = s.version
		s.sources, s.told = nil, false
	}
}

// FetchedSnapshot takes the version of a fetched snapshot. One that is not higher than the version in
// force is dropped.
func (s *Syncer) FetchedSnapshot(a Action, version uint64, err error, now time.Time) []Action {
	s.busy = false
	if err != nil {
		s.failed(a, now)
		return nil
	}
	if version <= s.version {
		s.empty(a)
		s.failed(a, now)
		return nil
	}
	s.busy = true
	return []Action{{Kind: Apply, Peer: a.Peer, First: version, Last: version, Snapshot: true, Timeout: applyTimeout}}
}

// Applied takes the highest version of the action that is now in force; the error states why the
// rest is not. After an error the whole configuration is tried, and after that changes again.
func (s *Syncer) Applied(a Action, last uint64, err error, now time.Time) []Action {
	s.busy = false
	if last > s.version && last >= a.First && last <= a.Last {
		s.version = last
		s.behind = now
		s.failures = 0
		s.dropStale()
	}
	if err != nil {
		s.snapshot = !a.Snapshot
		s.failed(a, now)
		return nil
	}
	s.snapshot = false
	return s.next(now)
}

// dropStale forgets the peers that have nothing newer.
func (s *Syncer) dropStale() {
	kept := s.sources[:0]
	for _, o := range s.sources {
		if o.version > s.version {
			kept = append(kept, o)
		}
	}
	s.sources = kept
	s.told = len(kept) > 0
}

// failed blames the peer and waits, longer after each failure and by a random part, so that many
// instances do not ask the table at the same moment. The first failures with peers are followed
// by another attempt soon.
func (s *Syncer) failed(a Action, now time.Time) {
	if a.Peer.IsValid() {
		s.blame(a.Peer)
	}
	s.failures++
	wait := min(retryAfter<<s.excess(), maxRetry)
	if s.excess() == 0 && a.Peer.IsValid() {
		wait = peerRetryAfter
	}
	s.nextTry = now.Add(wait/2 + time.Duration(s.rand.Int64N(int64(wait/2))))
}
