package admission

import "time"

// paceSmoothing is the weight of one finished request.
const paceSmoothing = 0.05

// crowdMargin scales how much slower requests are expected to become beside more others than were observed. A crowd that
// comes at once reads its prompts together, which slows it down by more than its number.
const crowdMargin = 1.5

// pace is the observed speed of service, smoothed over finished requests.
type pace struct {
	cost     float64 // cost is the mean cost.
	seconds  float64 // seconds is the mean time from admission to the end.
	weighted float64 // weighted is the mean of cost times seconds.
	running  float64 // running is the mean of the cost that ran beside them.
}

func (p *pace) observe(cost float64, took time.Duration, running float64) {
	seconds := took.Seconds()
	if p.cost == 0 {
		p.cost, p.seconds, p.weighted, p.running = cost, seconds, cost*seconds, running
		return
	}
	p.running += paceSmoothing * (running - p.running)
	p.cost += paceSmoothing * (cost - p.cost)
	p.seconds += paceSmoothing * (seconds - p.seconds)
	p.weighted += paceSmoothing * (cost*seconds - p.weighted)
}

// service returns the expected time of a request that runs beside that much. Engines that are busy
// share their rate, so with more beside it than was observed a request takes longer.
func (p *pace) service(cost, running float64) time.Duration {
	if p.cost == 0 {
		return 0
	}
	crowding := 1.0
	if p.running > 0 {
		crowding += crowdMargin * max(running/p.running-1, 0)
	}
	return seconds(cost * p.seconds / p.cost * crowding)
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
	if p.running > 0 {
		capacity = min(capacity, p.running) // More at once was not seen to be served faster.
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
