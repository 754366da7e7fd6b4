// Package room decides which requests get the room that targets have, and when the others come back.
//
// It answers the load of more requests than the targets of a model have memory for: at two or three times the usual load, or after a
// loss of targets. Without an order, chance decides who is served, and requests that come back after a refusal take the room of those
// that can still meet their goal.
//
// Each request has a position from 0, served first, to 1: the part of all requests that goes before it. Requests are ordered by rank,
// which follows from priorities, then by the work that they need; behind both of its rank comes a request whose goal is lost already.
// Requests behind the cutoff are turned away at once. The cutoff falls when a request before it finds no room, and rises when requests
// find room, so that it settles where the room ends.
//
// Neither a rank nor a size is starved: a rank whose requests were admitted much less often than all lately goes first until it has caught
// up, and large requests are ordered by chance for as long as they were admitted less often.
//
// Instances share the room since all see the load that the others put on the targets. They report their cutoffs to each other and move
// towards each other's, since an instance with few requests knows little by itself.
//
// A Room is safe for concurrent use.
//
// Usage:
//
//	r := room.New(random)
//	place := r.Place(request, now)
//	if !r.Admits(place, now) { ... }                 // It is turned away.
//	utilization := r.Utilization(place, limit, now)  // The part of the targets' memory that it may use.
//	r.Missed(place, now)                             // It found no room soon, or
//	r.Found(now)                                     // it did.
//	r.Decided(request, admitted, now)                // It was sent to targets, or turned away.
//	retryAfter := r.RetryAfter(lowest, timeLeft, now)
package room

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/decayingcount"
)

const (
	// lowestCutoff is the part of the requests that may always look for room.
	lowestCutoff = 0.05
	// missStep is subtracted from the cutoff with each request before it that finds no room.
	missStep = 0.16
	// findStep is added to the cutoff with a request that finds room, for each request in a row that did, up to maxFindStep.
	findStep    = 0.02
	maxFindStep = 0.1
	// fullStepRequests is the number of requests in turnedAwayTime up to which the steps are as large. With more requests they are
	// smaller in proportion, so that the cutoff moves as fast at an instance with many requests.
	fullStepRequests = 14
	// riseRate is added to the cutoff per second, so that an instance with few requests notices room.
	riseRate = 0.06
	// headroom is the fraction of the memory that requests leave free if all others are more urgent and many are turned away.
	headroom = 0.12
	// fullPressure is the fraction of positions behind the cutoff from which the whole headroom is left free.
	fullPressure = 0.25
	// maxTimeFraction is the longest Retry-After as a fraction of the time that the client still has.
	maxTimeFraction = 0.32
	// longRetryFraction is the fraction of requests turned away from which the longest Retry-After is given.
	longRetryFraction = 0.4
	// retrySpread is the part of the Retry-After that is drawn at random.
	retrySpread = 0.6
	// reportWeight is the weight of a report of another instance in the own cutoff.
	reportWeight = 0.1
	// reportTime is how long an instance reports its cutoff after it has turned no more requests away.
	reportTime = 3 * time.Second
)

// Room is the decision of one instance about the targets of one service.
type Room struct {
	mu      sync.Mutex
	random  *rand.Rand
	cutoff  float64
	at      time.Time             // at is the time of cutoff.
	belowAt time.Time             // belowAt is when the cutoff was last known to be below 1.
	inRow   int                   // inRow counts the requests that found room since the last one that did not.
	ranks   []decayingcount.Count // ranks holds the rate of requests of each rank.
	decided decayingcount.Count
	refused decayingcount.Count
	// all, ofRank and large hold how often requests were admitted: all, those of each rank, and the large ones.
	all, large admissions
	ofRank     []admissions
}

// New returns the decision of an instance that has seen no request yet.
func New(random *rand.Rand) *Room {
	return &Room{random: random, cutoff: 1}
}

// Admits reports whether a request may look for room, or is turned away since those before it find too little.
func (r *Room) Admits(p Place, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Position <= r.currentCutoff(now)
}

// Utilization returns the fraction of the targets' memory that a request may use, of the fraction limit that the most urgent may use.
// While requests are turned away, those of less urgent ranks leave some room for the others, which would otherwise have to compete with
// them for each place that becomes free.
func (r *Room) Utilization(p Place, limit float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	pressure := min(1, (1-r.currentCutoff(now))/fullPressure)
	return limit * (1 - headroom*pressure*p.Ahead)
}

// currentCutoff returns the cutoff at a time. The lock must be held.
func (r *Room) currentCutoff(now time.Time) float64 {
	return min(1, r.cutoff+riseRate*max(now.Sub(r.at), 0).Seconds())
}

// Missed records that a request has not found room soon after it arrived.
func (r *Room) Missed(p Place, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inRow = 0
	if cutoff := r.currentCutoff(now); p.Position <= cutoff {
		r.cutoff, r.at = max(lowestCutoff, cutoff-missStep*r.stepScale(now)), now
	}
}

// stepScale returns the factor by which the steps of the cutoff are smaller, since there are many requests. The lock must be held.
func (r *Room) stepScale(now time.Time) float64 {
	return min(1, fullStepRequests/max(r.decided.Value(turnedAwayTime, now), 1))
}

// Report returns the cutoff for the other instances, and whether they need it.
func (r *Room) Report(now time.Time) (cutoff float64, needed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cutoff = r.currentCutoff(now)
	if cutoff < 1 {
		r.belowAt = now
	}
	return cutoff, now.Sub(r.belowAt) < reportTime
}

// AddReport moves the cutoff towards that of another instance. A cutoff out of range is ignored.
func (r *Room) AddReport(cutoff float64, now time.Time) {
	if !(cutoff >= 0 && cutoff <= 1) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.currentCutoff(now)
	r.cutoff, r.at = max(lowestCutoff, own+reportWeight*(cutoff-own)), now
}

// Found records that a request has found room soon after it arrived.
func (r *Room) Found(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inRow++
	r.cutoff, r.at = min(1, r.currentCutoff(now)+r.stepScale(now)*min(findStep*float64(r.inRow), maxFindStep)), now
}

// Decided records that a request was sent to targets, or turned away for want of room.
func (r *Room) Decided(q Request, admitted bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(admitted, now)
	r.ofRank[r.setRanks(q)].add(admitted, now)
	if q.isLarge() {
		r.large.add(admitted, now)
	}
	r.decided.Add(turnedAwayTime, now)
	if !admitted {
		r.refused.Add(turnedAwayTime, now)
	}
}

// RetryAfter returns when a client that is turned away should come back: later, the more are turned away, so that those who come back do
// not take the room of others and are not refused again. It is spread below a value from lowest to a fraction of the time that the client
// has left.
func (r *Room) RetryAfter(lowest, timeLeft time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(lowest, time.Duration(maxTimeFraction*float64(timeLeft)))
	share := min(1, r.refusedFraction(now)/longRetryFraction)
	upper := lowest + time.Duration(share*float64(longest-lowest))
	return upper - time.Duration(retrySpread*r.random.Float64()*float64(upper))
}

// refusedFraction returns the smoothed fraction of requests that are turned away. The lock must be held.
func (r *Room) refusedFraction(now time.Time) float64 {
	return min(1, r.refused.Value(turnedAwayTime, now)/max(r.decided.Value(turnedAwayTime, now), 1))
}

// State is what operators see of a Room.
type State struct {
	Cutoff  float64 `json:"Cutoff"`  // Cutoff is the position behind which requests are turned away.
	Refused float64 `json:"Refused"` // Refused is the fraction of requests that are turned away.
}

// State returns the state.
func (r *Room) State(now time.Time) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Cutoff: r.currentCutoff(now), Refused: r.refusedFraction(now)}
}
