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
	cost     float64 // cost is the mean cost.
	seconds  float64 // seconds is the mean time from admission to the end.
	weighted float64 // weighted is the mean of cost times seconds.
	running  float64 // running is the mean cost that ran concurrently.
}

func (s *serviceStats) observe(cost float64, took time.Duration, running float64) {
	seconds := took.Seconds()
	if s.cost == 0 {
		s.cost, s.seconds, s.weighted, s.running = cost, seconds, cost*seconds, running
		return
	}
	s.running += serviceSmoothing * (running - s.running)
	s.cost += serviceSmoothing * (cost - s.cost)
	s.seconds += serviceSmoothing * (seconds - s.seconds)
	s.weighted += serviceSmoothing * (cost*seconds - s.weighted)
}

// serviceTime returns the expected time of a request that runs while that much cost runs. Busy engines share their
// rate, so a request takes longer if more runs concurrently than was observed.
func (s *serviceStats) serviceTime(cost, running float64) time.Duration {
	if s.cost == 0 {
		return 0
	}
	slowdown := 1.0
	if s.running > 0 {
		slowdown += contentionMargin * max(running/s.running-1, 0)
	}
	return seconds(cost * s.seconds / s.cost * slowdown)
}

// drainTime returns the time in which a fully used system of that capacity serves a cost. By Little's law, the
// capacity is the rate times the mean time that a unit of cost stays.
func (s *serviceStats) drainTime(cost, capacity float64) time.Duration {
	if s.cost == 0 {
		return 0
	}
	if capacity <= 0 {
		return maximumRetryAfter
	}
	if s.running > 0 {
		capacity = min(capacity, s.running) // A higher concurrency was not observed to be served faster.
	}
	return seconds(cost * (s.weighted / s.cost) / capacity)
}

func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
