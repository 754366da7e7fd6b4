package admission

import "time"

// serviceSmoothing is the weight of one finished request in the moving averages.
const serviceSmoothing = 0.05

// contentionMargin scales the expected slowdown of requests when more of them run concurrently than were observed.
// The prompts of a burst of arrivals are prefilled at the same time, which slows requests down by more than their
// number.
const contentionMargin = 1.5

// serviceStats holds moving averages over finished requests.
type serviceStats struct {
	meanCost        float64 // meanCost is the mean cost of a request.
	meanSeconds     float64 // meanSeconds is the mean time from admission to the end of a request.
	meanCostSeconds float64 // meanCostSeconds is the mean of cost times seconds.
	meanRunning     float64 // meanRunning is the mean total running cost when a request ended.
}

func (s *serviceStats) observe(cost float64, took time.Duration, running float64) {
	seconds := took.Seconds()
	if s.meanCost == 0 {
		s.meanCost, s.meanSeconds, s.meanCostSeconds, s.meanRunning = cost, seconds, cost*seconds, running
		return
	}
	s.meanRunning += serviceSmoothing * (running - s.meanRunning)
	s.meanCost += serviceSmoothing * (cost - s.meanCost)
	s.meanSeconds += serviceSmoothing * (seconds - s.meanSeconds)
	s.meanCostSeconds += serviceSmoothing * (cost*seconds - s.meanCostSeconds)
}

// serviceTime estimates the time that a request takes while requests of the total cost running are running. Busy
// engines share their rate, so a request takes longer if more cost runs concurrently than was observed.
func (s *serviceStats) serviceTime(cost, running float64) time.Duration {
	if s.meanCost == 0 {
		return 0
	}
	slowdown := 1.0
	if s.meanRunning > 0 {
		slowdown += contentionMargin * max(running/s.meanRunning-1, 0)
	}
	return seconds(cost * s.meanSeconds / s.meanCost * slowdown)
}

// drainTime estimates the time in which a fully used system of the given capacity serves the given cost. By Little's
// law, the capacity is the service rate times the mean service time of a unit of cost.
func (s *serviceStats) drainTime(cost, capacity float64) time.Duration {
	if s.meanCost == 0 {
		return 0
	}
	if capacity <= 0 {
		return maximumRetryAfter
	}
	if s.meanRunning > 0 {
		capacity = min(capacity, s.meanRunning) // A higher concurrency was not observed to be served faster.
	}
	return seconds(cost * (s.meanCostSeconds / s.meanCost) / capacity)
}

// seconds converts s to a duration of at most 24 hours.
func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
