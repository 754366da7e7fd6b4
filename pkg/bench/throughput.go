package bench

import (
	"context"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

const (
	// overloadRatio is the load, relative to the bound, at which throughput is measured.
	overloadRatio = 1.5
	// moderateRatio is the load, relative to the bound, at which latencies are measured.
	moderateRatio = 0.8
	// completionTime is the time in which the last requests may complete when the load is below the bound. Requests that
	// still run then are cancelled and count as Unknown.
	completionTime = 4 * time.Second
	// saturationTime is the time in which an overloaded fleet becomes saturated. It is longer than a response takes at the
	// bound.
	saturationTime = 6 * time.Second
)

// policies are the routing policies of the settings. Cost is the default of the daemon.
var policies = []string{"Cost", "Random", "RoundRobin", "LeastOutstanding"}

// PolicyResult is the measurement of one policy.
type PolicyResult struct {
	Policy           string                  `json:"Policy"`
	Throughput       float64                 `json:"Throughput"` // Throughput is in tokens/s of responses complete within their deadline, at 1.5 times the bound.
	BoundRatio       float64                 `json:"OfBound"`
	OverloadOutcomes map[outcome.Outcome]int `json:"Overload"`      // OverloadOutcomes counts the requests that ended in the window at 1.5 times the bound.
	FirstToken       Percentiles             `json:"FirstToken"`    // FirstToken is the time to the first token at 0.8 times the bound, in milliseconds.
	BetweenTokens    Percentiles             `json:"BetweenTokens"` // BetweenTokens is the time between tokens at 0.8 times the bound, in milliseconds.
	ModerateOutcomes map[outcome.Outcome]int `json:"Moderate"`      // ModerateOutcomes counts the requests at 0.8 times the bound.
}

// ThroughputResult holds the measurements of all policies.
type ThroughputResult struct {
	Measurement string         `json:"Measurement"`
	Seed        uint64         `json:"Seed"`
	Bound       float64        `json:"Bound"`
	Policies    []PolicyResult `json:"Policies"`
}

// Throughput measures each policy on a new fleet, with the same arrivals.
func Throughput(ctx context.Context, o Options) (ThroughputResult, error) {
	o = o.withDefaults()
	result := ThroughputResult{Measurement: "Throughput", Seed: o.Seed}
	for _, policy := range o.Policies {
		f, err := o.startFleet(ctx, fleet.Options{Instances: o.Instances, Routing: policy})
		if err != nil {
			return result, err
		}
		result.Bound = f.Bound
		p := o.measurePolicy(ctx, f)
		f.Close()
		p.Policy = policy
		result.Policies = append(result.Policies, p)
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
	}
	return result, nil
}

func (o Options) measurePolicy(ctx context.Context, f *fleet.Fleet) PolicyResult {
	l := loadGenerator{fleet: f, client: caller.New(), deadline: o.Deadline}
	defer l.client.Close()
	requests := l.runWithTimeout(ctx, warmUp+o.Duration+completionTime, drawArrivals(o.Seed, moderateRatio*f.Bound, warmUp+o.Duration))
	p := PolicyResult{ModerateOutcomes: outcomes(requests)}
	p.FirstToken, p.BetweenTokens = latencies(requests)
	from := time.Now().Add(saturationTime)
	requests = l.runWithTimeout(ctx, saturationTime+o.Duration, drawArrivals(o.Seed, overloadRatio*f.Bound, saturationTime+o.Duration))
	requests = slices.DeleteFunc(requests, func(s sentRequest) bool {
		return s.response.Ended.Before(from) || s.response.Ended.After(from.Add(o.Duration))
	})
	p.OverloadOutcomes = outcomes(requests)
	p.Throughput = tokensWithinDeadline(requests, o.Deadline) / o.Duration.Seconds()
	p.BoundRatio = p.Throughput / f.Bound
	return p
}

// runWithTimeout is like run, but cancels the requests that still run after the timeout.
func (l loadGenerator) runWithTimeout(ctx context.Context, timeout time.Duration, arrivals []arrival) []sentRequest {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.run(ctx, arrivals)
}

func outcomes(requests []sentRequest) map[outcome.Outcome]int {
	counts := map[outcome.Outcome]int{}
	for _, s := range requests {
		counts[s.response.Outcome]++
	}
	return counts
}

// tokensWithinDeadline counts the tokens of the responses that were complete within their deadline.
func tokensWithinDeadline(requests []sentRequest, deadline time.Duration) float64 {
	tokens := 0
	for _, s := range requests {
		if s.response.Outcome == outcome.Done && s.response.Ended.Sub(s.response.Started) <= deadline {
			tokens += len(s.response.ChunkTimes)
		}
	}
	return float64(tokens)
}

// latencies returns the times to the first token and between tokens of the requests that arrived after the warm-up.
func latencies(requests []sentRequest) (first, between Percentiles) {
	firstToken, betweenTokens := newRecorder(), newRecorder()
	for _, s := range requests {
		if s.at < warmUp || len(s.response.ChunkTimes) == 0 {
			continue
		}
		firstToken.add(s.response.ChunkTimes[0].Sub(s.response.Started))
		for i := 1; i < len(s.response.ChunkTimes); i++ {
			betweenTokens.add(s.response.ChunkTimes[i].Sub(s.response.ChunkTimes[i-1]))
		}
	}
	return firstToken.percentiles(), betweenTokens.percentiles()
}
