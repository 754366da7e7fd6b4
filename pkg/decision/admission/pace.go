package admission

import "time"

// paceSmoothing is the weight of one finished request.
const paceSmoothing = 0.05

// pace is the observed speed of service, smoothed over finished requests.
type pace struct {
	cost     float64 // cost is the mean cost.
	seconds  float64 // seconds is the mean time from admission to the end.
	weighted float64 // weighted is the mean of cost times seconds.
}

func (p *pace) observe(cost float64, took time.Duration) {
	seconds := took.Seconds()
	if p.cost == 0 {
		p.cost, p.seconds, p.weighted = cost, seconds, cost*seconds
		return
	}
	p.cost += paceSmoothing * (cost - p.cost)
	p.seconds += paceSmoothing * (seconds - p.seconds)
	p.weighted += paceSmoothing * (cost*seconds - p.weighted)
}

// service returns the expected time of a request that runs.
func (p *pace) service(cost float64) time.Duration {
	if p.cost == 0 {
		return 0
	}
	return seconds(cost * p.seconds / p.cost)
}

// drain returns the time in which a full system of that capacity serves work of that cost. By
// Little's law, capacity is the rate times the mean time that a unit of cost stays.
func (p *pace) drain(cost, capacity float64) time.Duration {
	if p.cost == 0 {
		return 0
	}
	if capacity <= 0 {
		return maximumRetryAfter
	}
	return seconds(cost * (p.weighted / p.cost) / capacity)
}

func seconds(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
