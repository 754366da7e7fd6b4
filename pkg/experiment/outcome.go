package experiment

import (
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/emulator"
)

const (
	// window is the length of the windows in which credit is summed, by the time of arrival.
	window = 2 * time.Second
	// worstWindows is the number of windows that count as the worst.
	worstWindows = 2
	// lateCredit is what a complete answer earns that missed a goal.
	lateCredit = 0.5
	// fewest is the number of requests below which a window is left out.
	fewest = 5
)

// Outcome is what callers got by one policy.
type Outcome struct {
	Policy    string         `json:"Policy"`
	Requests  int            `json:"Requests"`
	Credit    float64        `json:"Credit"`  // Credit is the mean over all requests.
	Worst     float64        `json:"Worst"`   // Worst is the mean over the worst windows.
	Refused   int            `json:"Refused"` // Refused counts the requests without a path.
	Broken    int            `json:"Broken"`  // Broken counts the streams that a loss ended.
	Late      int            `json:"Late"`    // Late counts complete answers that missed a goal.
	First     Quantiles      `json:"First"`   // First is the time to the first event.
	Longest   Quantiles      `json:"Longest"` // Longest is the longest pause of each stream.
	Targets   emulator.Stats `json:"Targets"`
	Intervals []float64      `json:"Intervals"` // Intervals are the credits of the windows, -1 for those with too few requests.
}

// Quantiles are of times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"P50"`
	P95 float64 `json:"P95"`
	P99 float64 `json:"P99"`
}

func quantiles(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	at := func(q float64) float64 {
		return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

func newOutcome(name string, s *Settings, all []*request, counts emulator.Stats) Outcome {
	o := Outcome{Policy: name, Requests: len(all), Targets: counts}
	n := int((s.Length + window - 1) / window)
	sums, numbers := make([]float64, n), make([]int, n)
	var first, longest []time.Duration
	for _, r := range all {
		credit := o.count(s, r)
		if r.end == complete {
			first, longest = append(first, r.first), append(longest, r.longest)
		}
		i := int(r.arrival.at / window)
		sums[i] += credit
		numbers[i]++
		o.Credit += credit
	}
	o.Credit /= float64(max(len(all), 1))
	o.First, o.Longest = quantiles(first), quantiles(longest)
	var windows []float64
	for i := range sums {
		o.Intervals = append(o.Intervals, -1)
		if numbers[i] >= fewest {
			o.Intervals[i] = sums[i] / float64(numbers[i])
			windows = append(windows, o.Intervals[i])
		}
	}
	slices.Sort(windows)
	worst := windows[:min(worstWindows, len(windows))]
	for _, w := range worst {
		o.Worst += w / float64(len(worst))
	}
	return o
}

// count counts a request and returns its credit. One that has not ended counts as broken.
func (o *Outcome) count(s *Settings, r *request) float64 {
	switch {
	case r.end == refused:
		o.Refused++
		return 0
	case r.end != complete:
		o.Broken++
		return 0
	case r.first > s.Requests.FirstEvent || r.longest > s.Requests.Pause:
		o.Late++
		return lateCredit
	default:
		return 1
	}
}
