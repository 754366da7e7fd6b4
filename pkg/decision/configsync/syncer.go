package configsync

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// ActionKind is what an action asks the driver for.
type ActionKind string

const (
	// ReadHead asks for the head row of the table. The answer goes to HeadRead.
	ReadHead ActionKind = "ReadHead"
	// Fetch asks for the changes after a version. The answer goes to Fetched.
	Fetch ActionKind = "Fetch"
	// FetchSnapshot asks for the whole configuration. The answer goes to FetchedSnapshot.
	FetchSnapshot ActionKind = "FetchSnapshot"
	// Apply asks to apply the fetched changes with the versions From to To, or the fetched snapshot
	// if Snapshot is set. The answer goes to Applied.
	Apply ActionKind = "Apply"
)

// Action is a request to the driver. The driver must answer each one exactly
// once.
type Action struct {
	Kind     ActionKind
	Peer     netip.AddrPort // Peer is whom to fetch from; not set means the table.
	After    uint64         // After is the version that the changes must follow.
	First    uint64         // First is the lowest version to apply.
	Last     uint64         // Last is the highest version to apply.
	Snapshot bool
	Timeout  time.Duration // Timeout is when the driver gives up and answers with an error.
}

const (
	// headTimeout bounds a read of the head row.
	headTimeout = time.Second
	// fetchTimeout bounds the first fetch of changes. After patientFailures, it doubles
	// with each failure up to maxFetchTimeout, for large changes over slow links. A lost packet at the start of a TCP connection costs a second, and at 5% loss
	// one of 900 instances meets that several times in a row: another peer is asked sooner than that.
	fetchTimeout    = 500 * time.Millisecond
	maxFetchTimeout = 2 * time.Second
	patientFailures = 4
	// snapshotTimeout bounds a fetch of the whole configuration, 7.6 MB at 3,800 workspaces, over a
	// link of 1 MB/s.
	snapshotTimeout = 10 * time.Second
	// applyTimeout bounds an apply.
	applyTimeout = 10 * time.Second
	// pollInterval is the time between reads of the head row by a poller.
	pollInterval = time.Second
	// pollers is the number of instances of a data centre that read the head row. Two, so that one
	// may fail without a delay.
	pollers = 2
	// tableAfter is how long an instance that is behind tries peers only. 2,700 instances would
	// overload the table if they read each change from it.
	tableAfter = 2 * time.Second
	// peerRetryAfter is the time to the next attempt after one of patientFailures with a peer.
	peerRetryAfter = 100 * time.Millisecond
	// retryAfter is the time to the next attempt after more, and after any failure of the table. It doubles with each failure up to maxRetry, which leaves room for a fetch within the
	// six seconds after an outage ends.
	retryAfter = 250 * time.Millisecond
	maxRetry   = 2 * time.Second
	// maxSources bounds the peers remembered to hold a version that is missing here.
	maxSources = 16
)

// Syncer decides who polls the head row, and who fetches from whom. It must be made by New.
type Syncer struct {
	self  membership.Member
	rand  *rand.Rand
	polls bool

	expected bool      // expected is set if peers may turn up
	started  time.Time // started is the time of the first tick
	version  uint64    // version is the one in force here
	known    uint64    // known is the highest version heard of
	behind   time.Time
	sources  []source
	told     bool // told is set if a peer said that it holds more than what is in force

	busy     bool // busy is set while a fetch or an apply is under way
	snapshot bool // snapshot is set if the missing changes cannot be had any more
	reading  bool // reading is set while the head row is read
	nextPoll time.Time
	nextTry  time.Time
	failures int  // failures counts failed attempts since the last success
	table    bool // table is set if the last fetch went to the table
}

// source is a peer that said it holds a version.
type source struct {
	peer     netip.AddrPort
	version  uint64
	failures int
}

// New returns a spreader for an instance that holds no version yet. It polls until SetMembers tells
// of others.
func New(self membership.Member, r *rand.Rand) *Syncer {
	return &Syncer{self: self, rand: r, polls: true}
}

// ExpectPeers tells whether addresses of other instances are known. A new instance then gives peers the
// first two seconds before it polls. A whole fleet that starts at once would otherwise read the whole
// configuration from the platform thousands of times.
func (s *Syncer) ExpectPeers(expected bool) { s.expected = expected }

// Version returns the version in force here; 0 means none. It never falls.
func (s *Syncer) Version() uint64 { return s.version }

// LatestKnown returns the highest version heard of.
func (s *Syncer) LatestKnown() uint64 { return max(s.known, s.version) }

// Ready reports whether a version is in force. An instance without one must not take requests.
func (s *Syncer) Ready() bool { return s.version > 0 }

// IsPoller reports whether this instance reads the head row.
func (s *Syncer) IsPoller() bool { return s.polls }

// Tick returns the actions that are due.
func (s *Syncer) Tick(now time.Time) []Action {
	var actions []Action
	if s.started.IsZero() {
		s.started = now
	}
	waits := s.expected && s.version == 0 && now.Sub(s.started) < tableAfter
	if s.polls && !waits && !s.reading && !now.Before(s.nextPoll) {
		s.reading = true
		s.nextPoll = now.Add(pollInterval)
		actions = append(actions, Action{Kind: ReadHead, Timeout: headTimeout})
	}
	return append(actions, s.next(now)...)
}

// HeadRead takes the answer to ReadHead. A lower version than the one in force is ignored: the
// table may have been restored from an older copy.
func (s *Syncer) HeadRead(version uint64, err error, now time.Time) []Action {
	s.reading = false
	if err != nil {
		return nil
	}
	return s.CommittedVersion(version, now)
}

// CommittedVersion takes a version that the table has accepted.
func (s *Syncer) CommittedVersion(version uint64, now time.Time) []Action {
	s.learn(version, now)
	return s.next(now)
}

// PeerVersion takes what a peer states about the version that it holds.
func (s *Syncer) PeerVersion(peer netip.AddrPort, version uint64, now time.Time) []Action {
	if version <= s.version {
		return nil
	}
	s.learn(version, now)
	s.told = true
	s.addSource(source{peer: peer, version: version})
	return s.next(now)
}

func (s *Syncer) learn(version uint64, now time.Time) {
	if version <= s.version || version <= s.known {
		return
	}
	if s.known <= s.version {
		s.behind = now
	}
	s.known = version
}

// addSource remembers the peer; if there are too many, it replaces a random one.
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

// blame counts a failure of the peer and drops it after the third.
func (s *Syncer) blame(peer netip.AddrPort) {
	for i := range s.sources {
		if s.sources[i].peer == peer {
			s.sources[i].failures++
		}
	}
	s.sources = slices.DeleteFunc(s.sources, func(o source) bool { return o.failures > 2 })
}
