package membership

import (
	"net/netip"
	"time"
)

const (
	// TickInterval is how often the caller must call Tick. It bounds the delay that each hop adds to an update.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between probes of a healthy member.
	probeInterval = time.Second
	// ackTimeout is the timeout of a direct probe. The round-trip time between regions is less than 200 ms.
	// Two of these timeouts, each rounded up to a tick, and the response time of a Nack fit into one probe interval.
	ackTimeout = 300 * time.Millisecond
	// indirectProbeCount is the number of members that are asked to probe a member that did not answer.
	indirectProbeCount = 3
	// baseSuspicionTimeout is how long a suspected member may refute the suspicion, at a local health score of 0.
	baseSuspicionTimeout = 3 * time.Second
	// remoteSuspicionFactor lengthens the suspicion timeout at members that received the suspicion from another. The
	// member whose probe failed declares the death first; the others only do so if that member fails. Otherwise one
	// refutation that arrives late at one of thousands of receivers would make it declare a live member dead.
	remoteSuspicionFactor = 4
	// maxHealth bounds the local health score. The score is 0 if probes by this member are answered, and
	// increases if this member seems to be slow or partitioned from the others. Its timeouts are multiplied
	// by the score plus 1.
	maxHealth = 8
	// fanout is the number of Gossip packets that are sent on the next tick after an update, without waiting for a
	// probe.
	fanout = 3
	// syncInterval is the longest time between digest comparisons. The time starts at syncMinInterval and doubles
	// up to syncInterval, and starts again after a comparison that differed in more than syncResetBuckets buckets.
	syncInterval     = 10 * time.Second
	syncMinInterval  = 500 * time.Millisecond
	syncResetBuckets = 8
	// syncMaxPackets bounds the packets sent in response to one digest.
	syncMaxPackets = 8
	// deadProbeInterval is the time between probes of dead members. A probe is sent with the probability
	// dead/live, so that all live members together send each dead member one ping every two seconds.
	deadProbeInterval = 2 * time.Second
	// joinInterval is the time between pings of seeds while no other member is known. seedInterval is the time
	// between them afterwards, when only seeds that are not live members are pinged.
	seedInterval = 10 * time.Second
	joinInterval = 500 * time.Millisecond
	// deadRetention is how long the tombstone of a dead member is kept: longer than network partitions between
	// regions usually last. leftRetention is how long the tombstone of a departed member is kept: until every
	// outdated record of it has been replaced.
	deadRetention = time.Hour
	leftRetention = 10 * time.Minute
	// updateTTL bounds how long an update stays queued. Digest comparisons distribute what was not sent by then.
	// Because of this bound, a death that was declared during a network partition is not announced after the
	// partition has healed.
	updateTTL = 20 * time.Second
	// gossipRate and gossipBurst bound packets sent only to carry updates, in bytes/s and bytes. syncRate and
	// syncBurst bound responses to digests. Together they keep a member under 10 KB/s when many members fail or
	// restart at once; the steady state uses a small part.
	gossipRate, gossipBurst = 2000, 8000
	syncRate, syncBurst     = 4000, 16000
	// loadReportTTL is how long a load report is valid.
	loadReportTTL = time.Minute
	// leaveFanout is the number of members that a departing member sends its departure to; they relay it.
	leaveFanout = 8
	// purgeInterval is the time between searches for expired entries.
	purgeInterval = time.Second
	// maxIndirectProbes bounds the concurrent indirect probes that this member makes as a relay.
	maxIndirectProbes = 256
)

// Config is the initial configuration of a member list.
type Config struct {
	Fleet string           // Fleet is the name of the fleet; packets of another fleet are refused.
	Self  Member           // Self needs Name, DataCentre and Address. New sets the rest.
	Seeds []netip.AddrPort // Seeds are addresses of other members; see SetSeeds.
}
