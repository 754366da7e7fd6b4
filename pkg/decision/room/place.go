package room

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/decayingcount"
)

const (
	// starvedFraction and starvedLargeFraction are how often, compared with all requests, those of a rank and large ones are admitted at
	// least.
	starvedFraction      = 0.33
	starvedLargeFraction = 0.8
	// smallWork and largeWork are the work, as a multiple of the usual work, below and above which its size no longer matters.
	smallWork = 0.5
	largeWork = 2.0
	// lostGoalFraction is the fraction of the route's timeout that a client may have used before its goal counts as lost.
	lostGoalFraction = 0.2
	// MaxLateWait is how long a request whose goal is lost may wait for room.
	MaxLateWait = 1200 * time.Millisecond
)

// Request describes a request for its position.
type Request struct {
	Hash        uint64 // Hash is a hash of the request's ID.
	Rank, Ranks int    // Rank is the request's rank among the service's Ranks ranks; 0 is the most urgent.
	// Work is the work that the request needs and UsualWork that of a usual one, in tokens. A request without a known work counts as
	// usual.
	Work, UsualWork int
	// TimeLeft is the time that the client still waits, and Timeout the time that the route gives a request.
	TimeLeft, Timeout time.Duration
}

// GoalLost reports whether the client has waited for so long that the request's goal is lost.
func (q Request) GoalLost() bool {
	return q.TimeLeft < q.Timeout-time.Duration(lostGoalFraction*float64(q.Timeout))
}

// isLarge reports whether the request needs so much work that it is ordered behind most others of its rank.
func (q Request) isLarge() bool {
	const large = (smallWork + largeWork) / 2
	return float64(q.Work) > large*float64(q.UsualWork)
}

// Place is the place of a request in the order.
type Place struct {
	Position float64 // Position is from 0 to 1. Requests at lower positions are served first.
	Ahead    float64 // Ahead is the part of all requests that have a more urgent rank.
}

// Place counts a request that arrives and returns its place.
func (r *Room) Place(q Request, now time.Time) Place {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := r.setRanks(q)
	r.ranks[rank].Add(rankTime, now)
	all := r.all.fraction(now)
	if r.ofRank[rank].fraction(now) < starvedFraction*all {
		return Place{}
	}
	before, sum := 0.0, 0.0
	for i := range r.ranks {
		n := r.ranks[i].Value(rankTime, now)
		sum += n
		if i < rank {
			before += n
		}
	}
	byWork := r.large.fraction(now) >= starvedLargeFraction*all
	own := r.ranks[rank].Value(rankTime, now)
	return Place{Position: min(1, (before+q.within(byWork)*own)/sum), Ahead: min(1, before/sum)}
}

// setRanks sets the number of ranks and returns the rank of a request. The lock must be held.
func (r *Room) setRanks(q Request) int {
	if n := max(q.Ranks, 1); len(r.ranks) != n {
		r.ranks, r.ofRank = make([]decayingcount.Count, n), make([]admissions, n)
	}
	return min(max(q.Rank, 0), len(r.ranks)-1)
}

// within returns the position of a request among those of its rank, from 0 to 1. Half of all requests are ordered by chance, and all of
// them unless byWork is set.
func (q Request) within(byWork bool) float64 {
	if q.GoalLost() {
		return 1
	}
	const parts = 1 << 20
	byChance := float64(q.Hash/2%parts) / parts
	if !byWork || q.Hash%2 == 0 || q.Work <= 0 || q.UsualWork <= 0 {
		return byChance
	}
	relative := float64(q.Work) / float64(q.UsualWork)
	return (min(max(relative, smallWork), largeWork) - smallWork) / (largeWork - smallWork)
}
