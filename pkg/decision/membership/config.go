package membership

import (
	"net/netip"
	"time"
)

const (
	// TickInterval is how often a driver calls Tick. It bounds the delay that each hop adds to news.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between probes of a healthy member.
	probeInterval = time.Second
	// ackTimeout is how long a direct answer may take. Regions are less than 200 ms apart there and back.
	// Two of them, each rounded up to a tick, and the way back of a Nack fit one probe interval.
	ackTimeout = 300 * time.Millisecond
	// helpers is the number of members asked to probe a member that did not answer.
	helpers = 3
	// suspicionTime is how long a suspected member may refute.
	suspicionTime = 3 * time.Second
	// hearsayFactor lengthens the suspicion at members that heard of it from another. The member that
	// raised it decides in time; the others only step in if that one dies. One late refutation among
	// thousands of receivers would otherwise declare a live member dead.
	hearsayFactor = 4
	// maxHealth bounds the local health score, which multiplies timeouts of a member that itself
	// answers late or is cut off.
	maxHealth = 8
	// fanout is the number of members that news is sent to at once.
	fanout = 3
	// syncInterval is the time between digest comparisons. It starts at syncCatchUp
	// and doubles, and starts again after a comparison that differed in more than syncManyBuckets.
	syncInterval    = 10 * time.Second
	syncCatchUp     = 500 * time.Millisecond
	syncManyBuckets = 8
	// syncPackets bounds the packets that answer one digest.
	syncPackets = 8
	// deadProbeInterval is the time between probes of a dead member, made with the probability
	// dead/live: all live members together then send each dead member one ping every two seconds.
	deadProbeInterval = 2 * time.Second
	// seedInterval is the time between pings of a seed that is not a live member, after joining.
	// joinInterval applies before.
	seedInterval = 10 * time.Second
	joinInterval = 500 * time.Millisecond
	// deadLife keeps dead members longer than regions usually lose contact. leftLife keeps departed
	// ones until every stale record of them has been replaced.
	deadLife = time.Hour
	leftLife = 10 * time.Minute
	// newsLife bounds how long an update stays queued. The digests repair what was not sent by then,
	// and a death that was declared during a cut is not announced after the cut has healed.
	newsLife = 20 * time.Second
	// newsRate and newsBurst bound packets sent only to carry news, in bytes/s and bytes. syncRate and
	// syncBurst bound answers to digests. They keep a member under 10 KB/s during a mass event;
	// the steady state uses a small part.
	newsRate, newsBurst = 2000, 8000
	syncRate, syncBurst = 4000, 16000
	// loadShareLife is how long a load share counts.
	loadShareLife = time.Minute
	// leaveFanout is the number of members told of a departure directly; they relay it.
	leaveFanout = 8
	// forgetInterval is the time between searches for expired entries.
	forgetInterval = time.Second
	// maxRelays bounds the probes made for others at the same time.
	maxRelays = 256
)

// Config is what an instance knows before it hears from others.
type Config struct {
	Fleet string // Fleet names the fleet; packets of another fleet are refused.
	Self  Member // Self needs Name, DataCentre and Address. New sets the rest.
	Seeds []netip.AddrPort
}
