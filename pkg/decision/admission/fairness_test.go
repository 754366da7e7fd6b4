package admission_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/admission"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// workloadSpec describes the traffic of one workspace.
type workloadSpec struct {
	workspace string
	weight    int
	priority  configuration.Priority
	rate      float64 // rate is in requests/s, each of cost 10 and 1 s of service on average.
	timeout   time.Duration
}

// workloadResult counts what one workspace got.
type workloadResult struct {
	offered, admitted, refused, expired int
	waits, latencies                    []time.Duration // waits are the times until admission, latencies those until completion.
}

func p95(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)*95/100]
}

type timedEvent struct {
	at time.Time
	id string
}

type eventHeap []timedEvent

func (c eventHeap) Len() int           { return len(c) }
func (c eventHeap) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c eventHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *eventHeap) Push(x any)        { *c = append(*c, x.(timedEvent)) }
func (c *eventHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulate offers the traffic of the sources for a time to a system that runs 50 requests concurrently.
func simulate(sources []workloadSpec, length time.Duration) map[string]*workloadResult {
	q := admission.New()
	q.SetCapacity(epoch, 500)
	result := map[string]*workloadResult{}
	arrived, owner := map[string]time.Time{}, map[string]string{}
	random := rand.New(rand.NewPCG(3, 4))
	var ends eventHeap
	take := func(now time.Time, decisions []admission.Decision) {
		for _, d := range decisions {
			s := result[owner[d.ID]]
			switch d.Verdict {
			case admission.Admitted:
				s.admitted++
				s.waits = append(s.waits, now.Sub(arrived[d.ID]))
				took := time.Duration((0.5 + random.Float64()) * float64(time.Second))
				s.latencies = append(s.latencies, now.Sub(arrived[d.ID])+took)
				heap.Push(&ends, timedEvent{at: now.Add(took), id: d.ID})
			case admission.Refused:
				s.refused++
				if d.Reason == admission.ReasonExpired {
					s.expired++
				}
			}
		}
	}
	var arrivals eventHeap
	for _, s := range sources {
		result[s.workspace] = &workloadResult{}
		own := rand.New(rand.NewPCG(5, uint64(len(s.workspace))<<8+uint64(s.workspace[0])))
		for at := epoch; at.Before(epoch.Add(length)); {
			at = at.Add(time.Duration(own.ExpFloat64() / s.rate * float64(time.Second)))
			arrivals = append(arrivals, timedEvent{at: at, id: s.workspace})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	byName := map[string]workloadSpec{}
	for _, s := range sources {
		byName[s.workspace] = s
	}
	for i, a := range arrivals {
		for len(ends) > 0 && ends[0].at.Before(a.at) {
			end := heap.Pop(&ends).(timedEvent)
			q.Done(end.at, end.id)
			take(end.at, q.Tick(end.at))
		}
		s, id := byName[a.id], fmt.Sprint(i)
		arrived[id], owner[id] = a.at, a.id
		result[a.id].offered++
		ticket := admission.Request{ID: id, Workspace: a.id, Weight: s.weight, Priority: s.priority, Cost: 10}
		if s.timeout > 0 {
			ticket.Deadline = a.at.Add(s.timeout)
		}
		take(a.at, append([]admission.Decision{q.Submit(a.at, ticket)}, q.Tick(a.at)...))
	}
	return result
}

// TestNoisyNeighbour guards against one workspace at ten times its share that delays the others. Ten workspaces share
// 50 requests/s; the others use 0.95 of their share in all runs.
func TestNoisyNeighbour(t *testing.T) {
	run := func(large float64) (others, itself *workloadResult) {
		var sources []workloadSpec
		if large > 0 {
			sources = append(sources, workloadSpec{"large", 1, configuration.Interactive, large, 10 * time.Second})
		}
		for i := range 9 {
			sources = append(sources, workloadSpec{fmt.Sprintf("%c", 'a'+i), 1, configuration.Interactive, 0.95 * 5, 10 * time.Second})
		}
		result := simulate(sources, 300*time.Second)
		others = &workloadResult{}
		for _, s := range sources {
			if s.workspace != "large" {
				others.waits = append(others.waits, result[s.workspace].waits...)
				others.latencies = append(others.latencies, result[s.workspace].latencies...)
				others.refused += result[s.workspace].refused
			}
		}
		return others, result["large"]
	}
	absent, _ := run(0)
	share, _ := run(5)
	tenfold, large := run(50)
	for name, s := range map[string]*workloadResult{"without it": absent, "at its share": share, "at ten times": tenfold} {
		t.Logf("others, %s: p95 wait %v, p95 latency %v, refused %d", name, p95(s.waits), p95(s.latencies), s.refused)
	}
	t.Logf("the large workspace: offered %d, admitted %d, refused %d, of these after waiting %d", large.offered, large.admitted, large.refused, large.expired)
	qt.Check(t, tenfold.refused, qt.Equals, 0)
	qt.Check(t, float64(p95(tenfold.waits)) <= 1.2*float64(p95(share.waits)), qt.IsTrue)
	qt.Check(t, float64(p95(tenfold.latencies)) <= 1.2*float64(p95(absent.latencies)), qt.IsTrue)
	qt.Check(t, float64(large.expired) < 0.05*float64(large.refused), qt.IsTrue)
}

// TestShares guards against shares that do not follow the weights under contention.
func TestShares(t *testing.T) {
	result := simulate([]workloadSpec{
		{"a", 1, configuration.Interactive, 100, 10 * time.Second},
		{"bb", 2, configuration.Interactive, 100, 10 * time.Second},
		{"ccc", 4, configuration.Interactive, 100, 10 * time.Second},
	}, 120*time.Second)
	total := result["a"].admitted + result["bb"].admitted + result["ccc"].admitted
	for name, want := range map[string]float64{"a": 1. / 7, "bb": 2. / 7, "ccc": 4. / 7} {
		got := float64(result[name].admitted) / float64(total)
		t.Logf("%s: share %.3f, want %.3f, p95 wait %v", name, got, want, p95(result[name].waits))
		qt.Check(t, got > want*0.95 && got < want*1.05, qt.IsTrue)
	}
}

// TestAgeing guards against a class that starves below overloaded ones, and against a lower class that takes more
// than its fraction from those above.
func TestAgeing(t *testing.T) {
	result := simulate([]workloadSpec{
		{"schedule", 1, configuration.Schedule, 100, 10 * time.Second},
		{"interactive", 1, configuration.Interactive, 100, 10 * time.Second},
		{"batch", 1, configuration.Batch, 20, 0},
	}, 120*time.Second)
	total := 0
	for _, s := range result {
		total += s.admitted
	}
	share := func(name string) float64 { return float64(result[name].admitted) / float64(total) }
	t.Logf("shares: schedule %.3f, interactive %.3f, batch %.3f", share("schedule"), share("interactive"), share("batch"))
	qt.Check(t, share("interactive") > 0.05, qt.IsTrue)
	qt.Check(t, share("batch") > 0.05, qt.IsTrue)
	qt.Check(t, share("schedule") > 0.8, qt.IsTrue)
}
