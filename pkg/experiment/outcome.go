package experiment

import (
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/emulator"
)

const (
	// windowLength is the length of the windows over which credit is averaged, by the time of arrival.
	windowLength = 2 * time.Second
	// worstWindows is the number of windows with the lowest credit that make up the worst credit.
	worstWindows = 2
	// lateScore is the score of a complete response that missed a goal.
	lateScore = 0.5
	// minWindowRequests is the number of requests below which a window is ignored.
	minWindowRequests = 5
)

// Outcome is the result of one policy.
type Outcome struct {
	Policy        string         `json:"Policy"`
	Requests      int            `json:"Requests"`
	Credit        float64        `json:"Credit"`  // Credit is the mean score of all requests.
	WorstCredit   float64        `json:"Worst"`   // WorstCredit is the mean of the lowest window credits.
	Refused       int            `json:"Refused"` // Refused counts the requests for which no path was found in time.
	Broken        int            `json:"Broken"`  // Broken counts all other incomplete requests, such as those that a target failure ended.
	Late          int            `json:"Late"`    // Late counts complete responses that missed a goal.
	FirstEvent    Quantiles      `json:"First"`   // FirstEvent is the time to the first event.
	LongestGap    Quantiles      `json:"Longest"` // LongestGap is the longest event gap of each stream.
	Targets       emulator.Stats `json:"Targets"`
	WindowCredits []float64      `json:"Intervals"` // WindowCredits are the credits of the windows, -1 for those with too few requests.
}

// Quantiles are quantiles of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"P50"`
	P95 float64 `json:"P95"`
	P99 float64 `json:"P99"`
}

func quantiles(durations []time.Duration) Quantiles {
	if len(durations) == 0 {
		return Quantiles{}
	}
	slices.Sort(durations)
	at := func(q float64) float64 {
		return float64(durations[int(q*float64(len(durations)-1))]) / float64(time.Millisecond)
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

func newOutcome(name string, s *Settings, requests []*request, stats emulator.Stats) Outcome {
	o := Outcome{Policy: name, Requests: len(requests), Targets: stats}
	windowCount := int((s.Duration + windowLength - 1) / windowLength)
	creditSums, requestCounts := make([]float64, windowCount), make([]int, windowCount)
	var firstEvents, longestGaps []time.Duration
	for _, r := range requests {
		score := o.addRequest(s, r)
		if r.result == complete {
			firstEvents, longestGaps = append(firstEvents, r.firstEvent), append(longestGaps, r.longestGap)
		}
		i := int(r.arrival.at / windowLength)
		creditSums[i] += score
		requestCounts[i]++
		o.Credit += score
	}
	o.Credit /= float64(max(len(requests), 1))
	o.FirstEvent, o.LongestGap = quantiles(firstEvents), quantiles(longestGaps)
	var windowCredits []float64
	for i := range creditSums {
		o.WindowCredits = append(o.WindowCredits, -1)
		if requestCounts[i] >= minWindowRequests {
			o.WindowCredits[i] = creditSums[i] / float64(requestCounts[i])
			windowCredits = append(windowCredits, o.WindowCredits[i])
		}
	}
	slices.Sort(windowCredits)
	worst := windowCredits[:min(worstWindows, len(windowCredits))]
	for _, w := range worst {
		o.WorstCredit += w / float64(len(worst))
	}
	return o
}

// addRequest counts a request and returns its score. A request that has not ended counts as broken.
func (o *Outcome) addRequest(s *Settings, r *request) float64 {
	switch {
	case r.result == refused:
		o.Refused++
		return 0
	case r.result != complete:
		o.Broken++
		return 0
	case r.firstEvent > s.Requests.FirstEventGoal || r.longestGap > s.Requests.EventGapGoal:
		o.Late++
		return lateScore
	default:
		return 1
	}
}
