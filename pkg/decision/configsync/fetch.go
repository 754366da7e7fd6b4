package configsync

import (
	"net/netip"
	"time"
)

// nextFetch returns the next fetch if one is due.
func (s *Syncer) nextFetch(now time.Time) []Action {
	if s.busy || s.latestKnown <= s.version || now.Before(s.nextAttempt) {
		return nil
	}
	peer, ok := s.chooseSource(now)
	if !ok {
		return nil
	}
	s.busy = true
	a := Action{Kind: Fetch, Peer: peer, After: s.version}
	a.Timeout = min(fetchTimeout<<s.doublings(), maxFetchTimeout)
	s.fromTable = !a.Peer.IsValid()
	if s.version == 0 || s.needsSnapshot {
		a.Kind, a.Timeout = FetchSnapshot, snapshotTimeout
	}
	return []Action{a}
}

// doublings returns how often timeouts and retry delays are doubled.
func (s *Syncer) doublings() int {
	return min(max(s.failures-quickFailures, 0), 4)
}

// chooseSource returns the peer to fetch from; an invalid address means the table. Peers come first,
// unless none has advertised a missing version. Once the instance has been behind for tableDelay, the
// table and peers take turns, since either may be unreachable.
func (s *Syncer) chooseSource(now time.Time) (peer netip.AddrPort, ok bool) {
	late := now.Sub(s.behindSince) >= tableDelay
	if len(s.sources) == 0 {
		return netip.AddrPort{}, late || !s.advertised
	}
	if late && !s.fromTable {
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

// Fetched handles the completion of a Fetch. Versions are those of the received changes, in the order
// received. Trimmed reports that the changes after a.After are no longer stored. Only a contiguous
// sequence that starts right after the active version is applied.
func (s *Syncer) Fetched(a Action, versions []uint64, trimmed bool, err error, now time.Time) []Action {
	s.busy = false
	if err != nil {
		s.failed(a, now)
		return nil
	}
	first, last := s.contiguous(versions)
	if last >= first {
		s.busy = true
		return []Action{{Kind: Apply, Peer: a.Peer, First: first, Last: last, Timeout: applyTimeout}}
	}
	if trimmed || len(versions) > 0 && versions[len(versions)-1] > s.version {
		s.needsSnapshot = true
		return s.nextFetch(now)
	}
	s.nothingNew(a)
	s.failed(a, now)
	return nil
}

// contiguous returns the longest sequence without gaps that starts right after the active version.
func (s *Syncer) contiguous(versions []uint64) (first, last uint64) {
	first, last = s.version+1, s.version
	for _, v := range versions {
		if v == last+1 {
			last = v
		}
	}
	return first, last
}

// nothingNew handles a response without newer versions. If the table itself has none, the latest
// known version does not exist.
func (s *Syncer) nothingNew(a Action) {
	if !a.Peer.IsValid() {
		s.latestKnown = s.version
		s.sources, s.advertised = nil, false
	}
}

// FetchedSnapshot handles the completion of a FetchSnapshot. A snapshot whose version is not higher
// than the active one is dropped.
func (s *Syncer) FetchedSnapshot(a Action, version uint64, err error, now time.Time) []Action {
	s.busy = false
	if err != nil {
		s.failed(a, now)
		return nil
	}
	if version <= s.version {
		s.nothingNew(a)
		s.failed(a, now)
		return nil
	}
	s.busy = true
	return []Action{{Kind: Apply, Peer: a.Peer, First: version, Last: version, Snapshot: true, Timeout: applyTimeout}}
}

// Applied handles the completion of an Apply. Last is the highest version of the action that is now
// active, and the error states why the rest was not applied. An error makes the syncer fetch a
// snapshot next, or changes if a snapshot failed.
func (s *Syncer) Applied(a Action, last uint64, err error, now time.Time) []Action {
	s.busy = false
	if last > s.version && last >= a.First && last <= a.Last {
		s.version = last
		s.behindSince = now
		s.failures = 0
		s.dropStaleSources()
	}
	if err != nil {
		s.needsSnapshot = !a.Snapshot
		s.failed(a, now)
		return nil
	}
	s.needsSnapshot = false
	return s.nextFetch(now)
}

// dropStaleSources removes the peers that have nothing newer.
func (s *Syncer) dropStaleSources() {
	kept := s.sources[:0]
	for _, o := range s.sources {
		if o.version > s.version {
			kept = append(kept, o)
		}
	}
	s.sources = kept
	s.advertised = len(kept) > 0
}

// failed counts a failure and schedules the next attempt. The delay grows with each failure and has
// a random part, so that many instances do not read the table at the same moment. The first failures
// with peers are followed by another attempt soon.
func (s *Syncer) failed(a Action, now time.Time) {
	if a.Peer.IsValid() {
		s.countPeerFailure(a.Peer)
	}
	s.failures++
	delay := min(retryDelay<<s.doublings(), maxRetryDelay)
	if s.doublings() == 0 && a.Peer.IsValid() {
		delay = peerRetryDelay
	}
	s.nextAttempt = now.Add(delay/2 + time.Duration(s.rand.Int64N(int64(delay/2))))
}
