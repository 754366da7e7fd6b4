package configsync

import (
	"net/netip"
	"time"
)

// nextFetch returns the next fetch if one is due, and marks it as in progress.
func (s *Syncer) nextFetch(now time.Time) []Action {
	if s.inProgress || s.latestKnown <= s.version || now.Before(s.nextAttempt) {
		return nil
	}
	peer, ok := s.chooseSource(now)
	if !ok {
		return nil
	}
	s.inProgress = true
	a := Action{Kind: Fetch, Peer: peer, After: s.version}
	a.Timeout = min(fetchTimeout<<s.delayDoublings(), maxFetchTimeout)
	s.lastFromTable = !a.Peer.IsValid()
	if s.version == 0 || s.needsSnapshot {
		a.Kind, a.Timeout = FetchSnapshot, snapshotTimeout
	}
	return []Action{a}
}

// delayDoublings returns how often timeouts and retry delays are doubled after the failures so far.
func (s *Syncer) delayDoublings() int {
	return min(max(s.failures-quickFailures, 0), 4)
}

// chooseSource returns the peer to fetch from, or an invalid address for the table. It returns false if
// there is nothing to fetch from yet. Peers come first, unless none has advertised a missing version.
// Once the instance has been behind for tableDelay, fetches alternate between the table and peers, since
// either may be unreachable.
func (s *Syncer) chooseSource(now time.Time) (peer netip.AddrPort, ok bool) {
	late := now.Sub(s.behindSince) >= tableDelay
	if len(s.sources) == 0 {
		return netip.AddrPort{}, late || !s.peerAdvertised
	}
	if late && !s.lastFromTable {
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

// Fetched handles the completion of the Fetch a. Versions are those of the received changes, in the order
// received. Trimmed reports that the change that follows a.After is no longer stored. Only a contiguous
// sequence that starts right after the active version is applied.
func (s *Syncer) Fetched(a Action, versions []uint64, trimmed bool, err error, now time.Time) []Action {
	s.inProgress = false
	if err != nil {
		s.recordFailure(a, now)
		return nil
	}
	first, last := s.contiguous(versions)
	if last >= first {
		s.inProgress = true
		return []Action{{Kind: Apply, Peer: a.Peer, First: first, Last: last, Timeout: applyTimeout}}
	}
	if trimmed || len(versions) > 0 && versions[len(versions)-1] > s.version {
		s.needsSnapshot = true
		return s.nextFetch(now)
	}
	s.handleNoNewVersion(a)
	s.recordFailure(a, now)
	return nil
}

// contiguous returns the first and last version of the longest sequence without gaps that starts right after the
// active version. If there is none, last is lower than first.
func (s *Syncer) contiguous(versions []uint64) (first, last uint64) {
	first, last = s.version+1, s.version
	for _, v := range versions {
		if v == last+1 {
			last = v
		}
	}
	return first, last
}

// handleNoNewVersion handles a response without versions newer than the active one. If the response came from
// the table, the latest known version does not exist, so it is reset to the active version.
func (s *Syncer) handleNoNewVersion(a Action) {
	if !a.Peer.IsValid() {
		s.latestKnown = s.version
		s.sources, s.peerAdvertised = nil, false
	}
}

// FetchedSnapshot handles the completion of the FetchSnapshot a. A snapshot whose version is not higher
// than the active one is dropped.
func (s *Syncer) FetchedSnapshot(a Action, version uint64, err error, now time.Time) []Action {
	s.inProgress = false
	if err != nil {
		s.recordFailure(a, now)
		return nil
	}
	if version <= s.version {
		s.handleNoNewVersion(a)
		s.recordFailure(a, now)
		return nil
	}
	s.inProgress = true
	return []Action{{Kind: Apply, Peer: a.Peer, First: version, Last: version, Snapshot: true, Timeout: applyTimeout}}
}

// Applied handles the completion of the Apply a. Last is the highest version of the action that was
// applied, and the error states why higher ones were not. After an error, the syncer fetches a snapshot
// next, or changes if a snapshot failed.
func (s *Syncer) Applied(a Action, last uint64, err error, now time.Time) []Action {
	s.inProgress = false
	if last > s.version && last >= a.First && last <= a.Last {
		s.version = last
		s.behindSince = now
		s.failures = 0
		s.dropStaleSources()
	}
	if err != nil {
		s.needsSnapshot = !a.Snapshot
		s.recordFailure(a, now)
		return nil
	}
	s.needsSnapshot = false
	return s.nextFetch(now)
}

// dropStaleSources removes the peers that have advertised no version newer than the active one.
func (s *Syncer) dropStaleSources() {
	kept := s.sources[:0]
	for _, o := range s.sources {
		if o.version > s.version {
			kept = append(kept, o)
		}
	}
	s.sources = kept
	s.peerAdvertised = len(kept) > 0
}

// recordFailure counts a failure and schedules the next attempt. The delay grows with each failure and has
// a random part, so that many instances do not read the table at the same moment. It is shorter after the
// first failures with peers.
func (s *Syncer) recordFailure(a Action, now time.Time) {
	if a.Peer.IsValid() {
		s.countPeerFailure(a.Peer)
	}
	s.failures++
	delay := min(retryDelay<<s.delayDoublings(), maxRetryDelay)
	if s.delayDoublings() == 0 && a.Peer.IsValid() {
		delay = peerRetryDelay
	}
	s.nextAttempt = now.Add(delay/2 + time.Duration(s.rand.Int64N(int64(delay/2))))
}
