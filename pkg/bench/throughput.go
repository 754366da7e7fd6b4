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
	// overload is the load offered for throughput, relative to the bound.
	overload = 1.5
	// moderate is the load at which latencies are measured.
	moderate = 0.8
	// tail is the time for the last answers where the load is below the bound. What then still runs counts as Unknown.
	tail = 4 * time.Second
	// fullAfter is the time in which an overloaded fleet fills up: longer than an answer at the bound.
	fullAfter = 6 * time.Second
)

// policies are those that the settings name, ours first.
var policies = []string{"Cost", "Random", "RoundRobin", "LeastOutstanding"}

// PolicyResult is the measurement of one policy.
type PolicyResult struct {
	Policy        string                  `json:"Policy"`
	Throughput    float64                 `json:"Throughput"` // Throughput is in tokens/s of answers complete within their deadline, at 1.5 of the bound.
	OfBound       float64                 `json:"OfBound"`
	Overload      map[outcome.Outcome]int `json:"Overload"`      // Overload counts by outcome the requests that ended in the window at 1.5 of the bound.
	FirstToken    Percentiles             `json:"FirstToken"`    // FirstToken is at 0.8 of the bound, in milliseconds.
	BetweenTokens Percentiles             `json:"BetweenTokens"` // BetweenTokens is at 0.8 of the bound, in milliseconds.
	Moderate      map[outcome.Outcome]int `json:"Moderate"`      // Moderate counts the requests at 0.8 of the bound by outcome.
}

// ThroughputResult compares the policies.
type ThroughputResult struct {
	Measurement string         `json:"Measurement"`
	Seed        uint64         `json:"Seed"`
	Bound       float64        `json:"Bound"`
	Policies    []PolicyResult `json:"Policies"`
}

// Throughput measures every policy on the same arrivals.
func Throughput(ctx context.Context, o Options) (ThroughputResult, error) {
	o = o.withDefaults()
	result := ThroughputResult{Measurement: "Throughput", Seed: o.Seed}
	for _, policy := range o.Policies {
		f, err := o.startFleet(ctx, fleet.Options{Instances: o.Entries, Routing: policy})
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
	l := load{fleet: f, client: caller.New(), deadline: o.Deadline}
	defer l.client.Close()
	answers := l.playUntil(ctx, warmUp+o.Duration+tail, arrivals(o.Seed, moderate*f.Bound, warmUp+o.Duration))
	p := PolicyResult{Moderate: outcomes(answers)}
	p.FirstToken, p.BetweenTokens = latencies(answers)
	from := time.Now().Add(fullAfter)
	answers = l.playUntil(ctx, fullAfter+o.Duration, arrivals(o.Seed, overload*f.Bound, fullAfter+o.Duration))
	answers = slices.DeleteFunc(answers, func(s sent) bool {
		return s.answer.Ended.Before(from) || s.answer.Ended.After(from.Add(o.Duration))
	})
	p.Overload = outcomes(answers)
	p.Throughput = delivered(answers, o.Deadline) / o.Duration.Seconds()
	p.OfBound = p.Throughput / f.Bound
	return p
}

// playUntil cancels the questions that still run after a time.
func (l load) playUntil(ctx context.Context, length time.Duration, questions []arrival) []sent {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	return l.play(ctx, questions)
}

func outcomes(answers []sent) map[outcome.Outcome]int {
	counts := map[outcome.Outcome]int{}
	for _, s := range answers {
		counts[s.answer.Outcome]++
	}
	return counts
}

// delivered counts the tokens of answers complete within their deadline.
func delivered(answers []sent, deadline time.Duration) float64 {
	tokens := 0
	for _, s := range answers {
		if s.answer.Outcome == outcome.Done && s.answer.Ended.Sub(s.answer.Started) <= deadline {
			tokens += len(s.answer.ChunkTimes)
		}
	}
	return float64(tokens)
}

// latencies are those of the answers that started after the warm-up.
func latencies(answers []sent) (first, between Percentiles) {
	f, b := newRecorder(), newRecorder()
	for _, s := range answers {
		if s.at < warmUp || len(s.answer.ChunkTimes) == 0 {
			continue
		}
		f.add(s.answer.ChunkTimes[0].Sub(s.answer.Started))
		for i := 1; i < len(s.answer.ChunkTimes); i++ {
			b.add(s.answer.ChunkTimes[i].Sub(s.answer.ChunkTimes[i-1]))
		}
	}
	return f.percentiles(), b.percentiles()
}
