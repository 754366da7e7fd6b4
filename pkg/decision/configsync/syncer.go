package configsync

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// ActionKind is an operation that the syncer requests from the driver.
type ActionKind string

const (
	// ReadHead reads the head row of the table, which contains the latest version. HeadRead takes the result.
	ReadHead ActionKind = "ReadHead"
	// Fetch fetches the changes after a version. Fetched takes the result.
	Fetch ActionKind = "Fetch"
	// FetchSnapshot fetches the whole configuration. FetchedSnapshot takes the result.
	FetchSnapshot ActionKind = "FetchSnapshot"
	// Apply applies the fetched changes with the versions First to Last, or the fetched snapshot if
	// Snapshot is set. Applied takes the result.
	Apply ActionKind = "Apply"
)

// Action is an operation for the driver, which must report the result of each one exactly once.
type Action struct {
	Kind     ActionKind
	Peer     netip.AddrPort // Peer is the instance to fetch from; an invalid address means the table.
	After    uint64         // After is the version that the changes must follow.
	First    uint64         // First is the lowest version to apply.
	Last     uint64         // Last is the highest version to apply.
	Snapshot bool           // Snapshot is set if an Apply applies a snapshot.
	Timeout  time.Duration  // Timeout is the time after which the driver must report an error.
}

const (
	// headTimeout bounds a read of the head row.
	headTimeout = time.Second
	// fetchTimeout bounds the first fetches of changes. After quickFailures consecutive failures, the timeout
	// doubles with each further one up to maxFetchTimeout, for large changes over slow links. A packet lost at
	// the start of a TCP connection costs a second, and at 5% loss one of 900 instances loses one several times
	// in a row, so the timeout is shorter than a second and another peer is tried sooner.
	fetchTimeout    = 500 * time.Millisecond
	maxFetchTimeout = 2 * time.Second
	quickFailures   = 4
	// snapshotTimeout bounds a fetch of the whole configuration, 7.6 MB at 3,800 workspaces, over a
	// link of 1 MB/s.
	snapshotTimeout = 10 * time.Second
	// applyTimeout bounds an apply.
	applyTimeout = 10 * time.Second
	// pollInterval is the time between reads of the head row by a poller.
	pollInterval = time.Second
	// pollersPerDataCentre is the number of instances of a data centre that read the head row at a time: one that always does, and
	// one in turn of the others.
	pollersPerDataCentre = 2
	// tableDelay is how long an instance that is behind fetches from peers only. 2,700 instances would
	// overload the table if they read each change from it.
	tableDelay = 2 * time.Second
	// peerRetryDelay is the delay after a failure with a peer, among the first quickFailures failures.
	peerRetryDelay = 100 * time.Millisecond
	// retryDelay is the delay after other failures. After quickFailures, it doubles with each failure up to
	// maxRetryDelay, which leaves time for a fetch within the six seconds after an outage ends.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxSources bounds the peers kept as sources.
	maxSources = 16
)

// Syncer decides whether one instance polls the head row, and from where the instance fetches. It must be
// created by New.
type Syncer struct {
	self     membership.Member
	rand     *rand.Rand
	isPoller bool // isPoller is set if this instance polls the head row now.
	rank     int  // rank is the number of live instances of the data centre with a higher rendezvous hash.
	standbys int  // standbys is the number of the other live instances of the data centre.

	peersExpected  bool      // peersExpected is set if addresses of other instances are known.
	started        time.Time // started is the time of the first tick.
	version        uint64    // version is the active version.
	latestKnown    uint64    // latestKnown is the highest version known to be advertised or committed.
	behindSince    time.Time // behindSince is when the instance fell behind, or made progress since.
	sources        []source  // sources are peers that have advertised a newer version than the active one.
	peerAdvertised bool      // peerAdvertised is set if a peer has advertised a version newer than the active one.

	inProgress    bool // inProgress is set while a fetch or an apply is in progress.
	needsSnapshot bool // needsSnapshot is set if the missing changes are not available any more.
	readingHead   bool // readingHead is set while the head row is read.
	nextPoll      time.Time
	nextAttempt   time.Time
	failures      int  // failures counts failed fetches and applies since a version was last applied.
	lastFromTable bool // lastFromTable is set if the last fetch went to the table.
}

// source is a peer to fetch from.
type source struct {
	peer     netip.AddrPort
	version  uint64 // version is the highest one that the peer has advertised.
	failures int    // failures counts the failed fetches from the peer.
}

// New returns a syncer for an instance without an active version. The instance is a poller until SetMembers
// decides otherwise.
func New(self membership.Member, r *rand.Rand) *Syncer {
	return &Syncer{self: self, rand: r, isPoller: true}
}

// ExpectPeers sets whether addresses of other instances are known. If so, an instance without an active version
// does not poll for the first two seconds, and only fetches from peers. A fleet that starts at once would
// otherwise read the whole configuration from the platform thousands of times.
func (s *Syncer) ExpectPeers(expected bool) { s.peersExpected = expected }

// Version returns the active version; 0 means none. It never decreases.
func (s *Syncer) Version() uint64 { return s.version }

// LatestKnown returns the highest version known to be advertised or committed, including the active one.
func (s *Syncer) LatestKnown() uint64 { return max(s.latestKnown, s.version) }

// Ready reports whether a version is active. An instance without one must not accept requests.
func (s *Syncer) Ready() bool { return s.version > 0 }

// IsPoller reports whether this instance polls the head row.
func (s *Syncer) IsPoller() bool { return s.isPoller }

// Tick returns the actions that are due, and marks them as in progress.
func (s *Syncer) Tick(now time.Time) []Action {
	var actions []Action
	if s.started.IsZero() {
		s.started = now
	}
	s.updatePoller(now)
	waitForPeers := s.peersExpected && s.version == 0 && now.Sub(s.started) < tableDelay
	if s.isPoller && !waitForPeers && !s.readingHead && !now.Before(s.nextPoll) {
		s.readingHead = true
		s.nextPoll = now.Add(pollInterval)
		actions = append(actions, Action{Kind: ReadHead, Timeout: headTimeout})
	}
	return append(actions, s.nextFetch(now)...)
}

// HeadRead handles the completion of a ReadHead. A version that is not higher than the active one is ignored,
// since the table may have been restored from an older copy.
func (s *Syncer) HeadRead(version uint64, err error, now time.Time) []Action {
	s.readingHead = false
	if err != nil {
		return nil
	}
	return s.VersionCommitted(version, now)
}

// VersionCommitted handles the notice that a version was committed to the table.
func (s *Syncer) VersionCommitted(version uint64, now time.Time) []Action {
	s.raiseLatestKnown(version, now)
	return s.nextFetch(now)
}

// VersionAdvertised handles the notice of a peer that a version is active on it.
func (s *Syncer) VersionAdvertised(peer netip.AddrPort, version uint64, now time.Time) []Action {
	if version <= s.version {
		return nil
	}
	s.raiseLatestKnown(version, now)
	s.peerAdvertised = true
	s.addSource(source{peer: peer, version: version})
	return s.nextFetch(now)
}

// raiseLatestKnown raises the latest known version, if the given version is higher.
func (s *Syncer) raiseLatestKnown(version uint64, now time.Time) {
	if version <= s.version || version <= s.latestKnown {
		return
	}
	if s.latestKnown <= s.version {
		s.behindSince = now
	}
	s.latestKnown = version
}

// addSource adds a peer to the sources, in place of a random one if there are maxSources already.
func (s *Syncer) addSource(n source) {
	for i := range s.sources {
		if s.sources[i].peer == n.peer {
			s.sources[i].version = max(s.sources[i].version, n.version)
			return
		}
	}
	if len(s.sources) < maxSources {
		s.sources = append(s.sources, n)
		return
	}
	s.sources[s.rand.IntN(maxSources)] = n
}

// countPeerFailure counts a failure of the peer and removes the peer from the sources after the third.
func (s *Syncer) countPeerFailure(peer netip.AddrPort) {
	for i := range s.sources {
		if s.sources[i].peer == peer {
			s.sources[i].failures++
		}
	}
	s.sources = slices.DeleteFunc(s.sources, func(o source) bool { return o.failures > 2 })
}
